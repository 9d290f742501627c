#pragma once
/// @file
/// Messages and bytes between all roles of a whole cell, in virtual time.

#include <vector>

#include "scale/local_cell.h"
#include "scale/measurement.h"

namespace walnut::scale {

/// One cell after the other, of the whole size's proportions, swept over the number of routers: 7.5
/// engines and 19.25 adapters a router, 230 models, 50 requests a second a router. What changes in
/// a cell (loads, unloads, an operator's changes) is of the whole size in all of them, so that each
/// router hears what it would hear there.
/// @return messages and bytes a second of each kind, for each way between two roles: of one router,
/// one engine and one follower on average, and in all. The counts depend on no machine; the
/// processor time of the leader does.
base::Result<std::vector<Series>> measureCellTraffic(const std::vector<double>& routers);

}  // namespace walnut::scale
