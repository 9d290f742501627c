#pragma once
/// @file
/// Processor time and memory of a controller's logic alone, without sockets, threads and disk.

#include <vector>

#include "scale/measurement.h"

namespace walnut::scale {

/// Processor time of the leader over engines, routers, demand entries, changes and claims; memory
/// and snapshot over the size of the state.
std::vector<Series> measureControllerLogic();

}  // namespace walnut::scale
