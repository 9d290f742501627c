#include "routing/retry_budget.h"

#include <algorithm>

namespace walnut::routing {

namespace {
constexpr base::Duration kBucketWidth = std::chrono::seconds(1);
}  // namespace

RetryBudget::Bucket& RetryBudget::bucket(base::TimePoint now) {
  while (!buckets_.empty() && now - buckets_.front().begin >= kWindow) {
    first_ -= buckets_.front().first;
    retries_ -= buckets_.front().retries;
    buckets_.pop_front();
  }
  if (buckets_.empty() || now - buckets_.back().begin >= kBucketWidth) {
    buckets_.push_back({now, 0, 0});
  }
  return buckets_.back();
}

void RetryBudget::firstAttempt(base::TimePoint now) {
  ++bucket(now).first;
  ++first_;
}

double RetryBudget::allowed(base::TimePoint now) const {
  const double whole = floor_ + ratio_ * static_cast<double>(first_);
  if (!earnsFrom_) {
    return whole;
  }
  const std::chrono::duration<double> age = now - *earnsFrom_;
  return whole * std::min(1.0, age / std::chrono::duration<double>(kEarningTime));
}

bool RetryBudget::takeRetry(base::TimePoint now) {
  Bucket& current = bucket(now);
  if (static_cast<double>(retries_) + 1.0 > allowed(now)) {
    return false;
  }
  ++current.retries;
  ++retries_;
  return true;
}

RetryBudget::Usage RetryBudget::usage(base::TimePoint now) {
  bucket(now);
  return {first_, retries_, allowed(now)};
}

}  // namespace walnut::routing
