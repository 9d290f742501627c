#include "routing/load_times.h"

#include <algorithm>

namespace walnut::routing {

void LoadTimes::observe(base::TimePoint now, base::Duration sample) {
  average_.observe(sample);
  recentSamples_.push_back(sample);
  if (recentSamples_.size() > kMaxSamples) {
    recentSamples_.erase(recentSamples_.begin());
  }
  observedAt_ = now;
}

base::Duration LoadTimes::estimate(base::TimePoint now, base::Duration fallback) const {
  if (recentSamples_.empty()) {
    return fallback;
  }
  const base::Duration average = average_.valueOr(fallback);
  if (now - observedAt_ < kRecentPeriod) {
    return average;
  }
  const base::Duration least = *std::min_element(recentSamples_.begin(), recentSamples_.end());
  return recentSamples_.size() < kMinSamples ? std::min(least, fallback) : std::min(average, least);
}

}  // namespace walnut::routing
