#pragma once
/// @file
/// Estimates how long loads take, from the loads that the leader has observed.

#include <array>
#include <cstdint>

#include "walnut/base/time.h"

namespace walnut::control {

/// Location of a checkpoint, in order of distance from the accelerator.
enum class LoadSource : std::uint8_t { hostMemory = 0, localDisk = 1, store = 2 };

/// Moving average of the load rate in bytes per second for each source. It starts with typical
/// values of such machines, which the first loads correct.
class LoadTimeEstimate {
 public:
  void observe(LoadSource source, std::uint64_t bytes, base::Duration duration);
  base::Duration estimate(LoadSource source, std::uint64_t bytes) const;

 private:
  static constexpr double kGiB = 1024.0 * 1024 * 1024;
  std::array<double, 3> bytesPerSecond_ = {8 * kGiB, 2 * kGiB, 1 * kGiB};
};

}  // namespace walnut::control
