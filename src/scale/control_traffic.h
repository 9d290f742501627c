#pragma once
/// @file
/// Messages and bytes between one router and the controllers, in virtual time.

#include <vector>

#include "scale/measurement.h"

namespace walnut::scale {

/// @return for each kind of message its messages and bytes a second, over sweeps of the requests a
/// second, of the targets, of the changes a second and of the controllers. Exact for the seed: it
/// depends on no machine.
std::vector<Series> measureControlTraffic();

}  // namespace walnut::scale
