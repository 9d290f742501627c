#pragma once
/// @file
/// Process clock of the real drivers.

#include "walnut/base/time.h"

namespace walnut::runtime {

/// @return the time of a monotonic clock that is anchored to the Unix epoch at the first call and
/// also advances while the process is stopped.
base::TimePoint now();

/// @return a seed from the system's random device.
std::uint64_t randomSeed();

}  // namespace walnut::runtime
