#include "control/load_time_estimate.h"

#include <algorithm>

namespace walnut::control {

namespace {
/// Weight of the latest load: the average covers about ten loads.
constexpr double kLatestWeight = 0.1;
/// Lower bound for the duration of a load, in seconds; it bounds the rate of a load that seemed to
/// finish at once.
constexpr double kMinSeconds = 0.01;
}  // namespace

void LoadTimeEstimate::observe(LoadSource source, std::uint64_t bytes, base::Duration duration) {
  const double seconds = std::max(kMinSeconds, std::chrono::duration<double>(duration).count());
  double& rate = bytesPerSecond_.at(static_cast<std::size_t>(source));
  // Averages the times, not the rates, so that slow loads count in full.
  const double secondsPerByte = seconds / std::max(1.0, static_cast<double>(bytes));
  rate = 1.0 / ((1 - kLatestWeight) / rate + kLatestWeight * secondsPerByte);
}

base::Duration LoadTimeEstimate::estimate(LoadSource source, std::uint64_t bytes) const {
  const double seconds =
      static_cast<double>(bytes) / bytesPerSecond_.at(static_cast<std::size_t>(source));
  return base::Duration(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace walnut::control
