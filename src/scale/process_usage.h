#pragma once
/// @file
/// Processor time and memory of processes, as the kernel counts them.

#include <sys/types.h>

#include <cstdint>

#include "walnut/base/error.h"

namespace walnut::scale {

/// Counted since the process started, but for `residentBytes` and `threads`, which are of now.
struct ProcessUsage {
  double processorSeconds = 0;  ///< User and system, all threads.
  std::uint64_t residentBytes = 0;
  std::uint64_t threads = 0;
};

/// Reads /proc/PID/stat.
/// @return `fileError` if there is no such process, `malformedInput` if the line isn't understood.
base::Result<ProcessUsage> readProcessUsage(pid_t process);

/// @return user and system time of this process, by getrusage, in seconds.
double ownProcessorSeconds();
/// @return processor time of the calling thread, in seconds.
double threadProcessorSeconds();
/// @return bytes that this process has allocated from the heap and not freed.
std::uint64_t heapBytesInUse();

}  // namespace walnut::scale
