#pragma once
/// @file
/// Which workers fail what gateways send them.

#include "control/failure_judge.h"
#include "walnut/protocol/messages.h"
#include "walnut/registry/worker.h"

namespace walnut::registry {

using WorkerJudge = control::FailureJudge<WorkerId, protocol::ConnectionId>;

}  // namespace walnut::registry
