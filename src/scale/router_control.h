#pragma once
/// @file
/// Processor time that a router spends on control, apart from its requests.

#include <vector>

#include "scale/measurement.h"

namespace walnut::scale {

/// The same requests, in virtual time, with and without demand reports and probes: the difference
/// is what these take. Decision logic and codec; the transport's system calls are not in it.
std::vector<Series> measureRouterControl();

}  // namespace walnut::scale
