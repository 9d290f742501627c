#include "routing/retry_budget.h"

#include <algorithm>

namespace walnut::routing {

void RetryBudget::firstAttempt(base::TimePoint now) { firstAttempts_.add(now); }

void RetryBudget::grant(std::uint32_t retries, base::TimePoint until) {
  granted_ = retries;
  grantedUntil_ = until;
}

double RetryBudget::allowed(base::TimePoint now) {
  const double byRatio = ratio_ * static_cast<double>(firstAttempts_.total(now));
  if (!earnsFrom_) {
    return floor_ + byRatio;
  }
  const std::chrono::duration<double> age = now - *earnsFrom_;
  const double earned = std::min(1.0, age / std::chrono::duration<double>(kEarningTime));
  return floor_ * earned + byRatio;
}

bool RetryBudget::hasRetry(base::TimePoint now) {
  return static_cast<double>(retries_.total(now) + reserved_) + 1.0 <= allowed(now);
}

bool RetryBudget::takeRetry(base::TimePoint now) {
  if (!hasRetry(now)) {
    return takeGranted(now);
  }
  retries_.add(now);
  return true;
}

bool RetryBudget::takeGranted(base::TimePoint now) {
  if (granted_ == 0 || now >= grantedUntil_) {
    return false;
  }
  --granted_;
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
  return {firstAttempts_.total(now), retries_.total(now), allowed(now),
          now < grantedUntil_ ? granted_ : 0};
}

}  // namespace walnut::routing
