#pragma once
/// @file
/// Bytes of the messages between the system's own processes and of the engines' reports.

#include <vector>

#include "scale/measurement.h"

namespace walnut::scale {

/// Frames as they are on the wire, without TCP. Exact: they depend on no machine.
std::vector<Series> measureMessageSizes();

}  // namespace walnut::scale
