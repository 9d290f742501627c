#pragma once
/// @file
/// A cell's replicated state of any size, built by the state machine itself.

#include "scale/synthetic_cell.h"
#include "walnut/consensus/raft.h"
#include "walnut/control/controller.h"

namespace walnut::scale {

/// Where the engines of a cell are, by their number.
using EngineEndpoints = std::vector<base::Endpoint>;

/// Applies the commands of all declarations, registrations and placements.
/// @param endpoints one for each engine of `size`.
/// @return a snapshot of the state, or the error of the first command that was refused.
base::Result<consensus::Snapshot> buildSnapshot(const control::ControllerOptions& options,
                                                const CellSize& size,
                                                const consensus::Membership& membership,
                                                const EngineEndpoints& endpoints);

}  // namespace walnut::scale
