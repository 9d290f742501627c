#pragma once
/// @file
/// Time types of the decision logic, which receives time as an input and never reads a clock.

#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <chrono>
#include <cstdint>

namespace walnut::base {

/// All durations have microsecond resolution.
using Duration = std::chrono::microseconds;

/// Tag of the process clock: monotonic, anchored to the Unix epoch when the process starts. It
/// never goes backwards; across processes clocks agree only within the stated clock skew.
struct ProcessClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<ProcessClock, duration>;
};

using TimePoint = ProcessClock::time_point;

/// Time point that is never reached; means that no wakeup is needed.
inline constexpr TimePoint kNever = TimePoint::max();

/// @return microseconds since the Unix epoch, for messages and files.
constexpr std::int64_t toMicros(TimePoint time) { return time.time_since_epoch().count(); }

/// @return the time point for `micros` microseconds since the Unix epoch.
constexpr TimePoint fromMicros(std::int64_t micros) { return TimePoint(Duration(micros)); }

}  // namespace walnut::base
