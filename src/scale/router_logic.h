#pragma once
/// @file
/// Processor time of a router's logic alone, without sockets and threads.

#include <vector>

#include "scale/measurement.h"

namespace walnut::scale {

/// Processor time of a request over its tokens, its target's replicas and the streams that are
/// open; of an idle second; of a change. Each point is measured several times.
std::vector<Series> measureRouterLogic();

}  // namespace walnut::scale
