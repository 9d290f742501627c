#pragma once
/// @file
/// Observed load durations, from the first waiting request to a ready replica, and the estimate for
/// the next load.

#include <cstddef>
#include <vector>

#include "routing/moving_average.h"
#include "walnut/base/time.h"

namespace walnut::routing {

/// Estimates the duration of the next load. While the last load is recent, its conditions are
/// assumed to persist, so the moving average counts. Later the shortest of the last few counts, so
/// that no request is refused for a slowness that may be over, e.g. that of the store or of a cell
/// without a leader.
class LoadTimes {
 public:
  void observe(base::TimePoint now, base::Duration sample);
  /// @param fallback estimate if nothing was observed.
  base::Duration estimate(base::TimePoint now, base::Duration fallback) const;

 private:
  /// Period for which a load counts as recent: that in which slow loads of one cause follow each
  /// other.
  static constexpr base::Duration kRecentPeriod = std::chrono::seconds(60);
  static constexpr std::size_t kMaxSamples = 8;
  /// Fewer old loads than this may all have had one cause; the estimate is then at most the
  /// fallback.
  static constexpr std::size_t kMinSamples = 3;

  MovingAverage average_;
  /// Latest samples, the oldest first. Not a deque, since an empty one takes half a kilobyte and
  /// there are thousands of targets, most of which were never loaded for this router.
  std::vector<base::Duration> recentSamples_;
  base::TimePoint observedAt_;
};

}  // namespace walnut::routing
