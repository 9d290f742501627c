#include "routing/retry_budget.h"

#include <algorithm>

namespace walnut::routing {

void RetryBudget::firstAttempt(base::TimePoint now) { firstAttempts_.add(now); }

double RetryBudget::allowed(base::TimePoint now) {
  const double whole = floor_ + ratio_ * static_cast<double>(firstAttempts_.total(now));
  if (!earnsFrom_) {
    return whole;
  }
  const std::chrono::duration<double> age = now - *earnsFrom_;
  return whole * std::min(1.0, age / std::chrono::duration<double>(kEarningTime));
}

bool RetryBudget::hasRetry(base::TimePoint now) {
  return static_cast<double>(retries_.total(now) + reserved_) + 1.0 <= allowed(now);
}

bool RetryBudget::takeRetry(base::TimePoint now) {
  if (!hasRetry(now)) {
    return false;
  }
  retries_.add(now);
  return true;
}

bool RetryBudget::reserveRetry(base::TimePoint now) {
  if (!hasRetry(now)) {
    return false;
  }
  ++reserved_;
  return true;
}

bool RetryBudget::useReservedRetry(base::TimePoint now) {
  if (static_cast<double>(retries_.total(now)) + 1.0 > allowed(now)) {
    return false;
  }
  releaseReservedRetry();
  retries_.add(now);
  return true;
}

void RetryBudget::releaseReservedRetry() { --reserved_; }

RetryBudget::Usage RetryBudget::usage(base::TimePoint now) {
  return {firstAttempts_.total(now), retries_.total(now), allowed(now)};
}

}  // namespace walnut::routing
