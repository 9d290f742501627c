#pragma once
/// @file
/// Faults of the rehearsal kit that the oracle must catch. None of them is in the product: each is
/// planted in a stand-in or in an edge of the simulator.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "simulator/violation.h"

namespace walnut::simulator {

enum class Sabotage : std::uint8_t {
  none,
  engineLoadsUnordered,
  engineObeysStaleOrders,
  engineOverstatesMemory,
  edgeSwallowsAnswers,
  edgeAnswersTwice,
  engineCrossesStreams,
  engineDropsLastToken,
  engineDeniesExecution,
  networkResendsGenerate,
  edgeKeepsLeavingEngine,
  routerKilledOnPlannedStop,
  diskLosesSyncedWrites,
  edgeHidesConfiguration,
  edgeAcknowledgesEarly,
};

struct SabotageInfo {
  Sabotage sabotage = Sabotage::none;
  const char* name = "";
  std::vector<Point> points;  ///< The run must violate one of these, and no other point.
  const char* description = "";
};

/// @return all sabotages, in order.
const std::vector<SabotageInfo>& sabotageTable();

/// @return the sabotage of that name.
std::optional<SabotageInfo> findSabotage(const std::string& name);

}  // namespace walnut::simulator
