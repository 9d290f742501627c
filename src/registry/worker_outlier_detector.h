#pragma once
/// @file
/// Detection of workers that fail the requests sent by gateways.

#include "control/outlier_detector.h"
#include "walnut/protocol/messages.h"
#include "walnut/registry/worker.h"

namespace walnut::registry {

using WorkerOutlierDetector = control::OutlierDetector<WorkerId, protocol::ConnectionId>;

}  // namespace walnut::registry
