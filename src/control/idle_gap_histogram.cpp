#include "control/idle_gap_histogram.h"

#include <algorithm>
#include <cmath>

namespace walnut::control {

namespace {
/// Keeps the longest gap within the last bar, whose upper end is not part of it.
constexpr double kJustBelow = 0.999;
}  // namespace

IdleGapHistogram::IdleGapHistogram(double limit)
    : limit_(limit),
      histogram_(std::make_tuple(LogAxis(kBars, kShortestSeconds, kLongestSeconds))) {}

void IdleGapHistogram::record(base::Duration gap) {
  const double seconds = std::chrono::duration<double>(gap).count();
  if (seconds < kShortestSeconds) {
    return;
  }
  histogram_(std::min(seconds, kLongestSeconds * kJustBelow));
  total_ += 1;
  if (total_ > limit_) {
    histogram_ *= 0.5;
    total_ *= 0.5;
  }
}

std::vector<GapBar> IdleGapHistogram::bars() const {
  std::vector<GapBar> bars;
  bars.reserve(kBars);
  const LogAxis& axis = histogram_.axis(std::integral_constant<unsigned, 0>{});
  for (int index = 0; index < static_cast<int>(kBars); ++index) {
    bars.push_back({axis.value(index), axis.value(index + 1), histogram_.at(index)});
  }
  return bars;
}

}  // namespace walnut::control
