#include "registry/starting_retry_pool.h"

#include <algorithm>
#include <cmath>

namespace walnut::registry {

void StartingRetryPool::closeUntil(base::TimePoint time) {
  closedUntil_ = std::max(closedUntil_, time);
}

std::uint32_t StartingRetryPool::grant(double slack, std::size_t gateways, base::TimePoint now) {
  const double available = left(now);
  if (!std::isfinite(slack) || slack <= 0 || available <= 0) {
    return 0;
  }
  const double share =
      kStartingRetriesFraction / static_cast<double>(std::max<std::size_t>(1, gateways));
  const double even = std::floor(std::min(share, available / 2) * slack);
  const double retries = std::min(std::max(1.0, even), std::floor(available * slack));
  if (retries < 1) {
    return 0;
  }
  grants_.push_back({now, retries / slack});
  return static_cast<std::uint32_t>(retries);
}

double StartingRetryPool::left(base::TimePoint now) {
  while (!grants_.empty() && now - grants_.front().grantedAt >= kHold) {
    grants_.pop_front();
  }
  if (now < closedUntil_) {
    return 0;
  }
  double left = kStartingRetriesFraction;
  for (const Grant& grant : grants_) {
    left -= grant.fraction;
  }
  return std::max(0.0, left);
}

}  // namespace walnut::registry
