#pragma once
/// @file
/// Processor time of a process.

#include <string>

#include "walnut/base/error.h"
#include "walnut/base/time.h"

namespace walnut::rehearsal {

/// @param statLine text of /proc/PID/stat.
/// @param ticksPerSecond of the system's clock.
/// @return user and system time together; `malformedInput` if the text is not such a line.
base::Result<base::Duration> parseProcessCpu(const std::string& statLine, long ticksPerSecond);

/// @return processor time used so far, of all threads; `notFound` if there is no such process.
base::Result<base::Duration> processCpu(int pid);

}  // namespace walnut::rehearsal
