#include "registry/load_concurrency.h"

#include <algorithm>

namespace walnut::registry {

namespace {

/// Up to this multiple of its declared time a load counts as in time: heartbeats tell its end with
/// a delay of some hundred ms, and loads take two seconds and more.
constexpr double kOnTime = 1.15;
/// A load that is much shorter came from elsewhere than the store: it tells nothing.
constexpr double kTooShort = 0.8;
/// Growth for each load in time, once the store's number was met, divided by the limit: a load more
/// at once after four rounds, as each try makes loads late.
constexpr double kSlowGrowth = 0.25;

}  // namespace

void LoadConcurrency::observe(std::size_t underWayAtStart, double lateness, bool limitReached) {
  if (lateness < kTooShort) {
    return;
  }
  if (lateness <= kOnTime) {
    lastEstimate_ = 0;
    if (limitReached) {
      grow();
    }
  } else {
    shrink(static_cast<double>(underWayAtStart) / lateness);
  }
}

void LoadConcurrency::grow() { limit_ += probing_ ? 1.0 : kSlowGrowth / limit_; }

/// A single late load may be a late heartbeat or a slow worker: two in a row count, and the more
/// favourable of them.
void LoadConcurrency::shrink(double estimate) {
  const double former = lastEstimate_;
  lastEstimate_ = estimate;
  if (former > 0) {
    probing_ = false;
    limit_ = std::clamp(std::max(former, estimate), kLeastLimit, limit_);
  }
}

}  // namespace walnut::registry
