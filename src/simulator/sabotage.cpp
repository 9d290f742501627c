#include "simulator/sabotage.h"

namespace walnut::simulator {

const std::vector<SabotageInfo>& sabotageTable() {
  static const std::vector<SabotageInfo> kTable = {
      {Sabotage::engineLoadsUnordered,
       "engine-loads-unordered",
       {Point::replicasAsDecided},
       "an engine loads one more replica than it was ordered to"},
      {Sabotage::engineObeysStaleOrders,
       "engine-obeys-stale-orders",
       {Point::replicasAsDecided, Point::memoryNeverOvercommitted},
       "engines obey load orders that arrive a second time, much later"},
      {Sabotage::engineOverstatesMemory,
       "engine-overstates-memory",
       {Point::memoryNeverOvercommitted},
       "engines report twice the accelerator memory that they have"},
      {Sabotage::edgeSwallowsAnswers,
       "edge-swallows-answers",
       {Point::endedInTime},
       "a router's edge drops some terminal answers"},
      {Sabotage::edgeAnswersTwice,
       "edge-answers-twice",
       {Point::endedInTime},
       "a router's edge sends some terminal answers twice"},
      {Sabotage::engineCrossesStreams,
       "engine-crosses-streams",
       {Point::wholeAnswer},
       "engines send tokens of one answer on the stream of another"},
      {Sabotage::engineDropsLastToken,
       "engine-drops-last-token",
       {Point::wholeAnswer},
       "engines end an answer with its last token missing"},
      {Sabotage::engineDeniesExecution,
       "engine-denies-execution",
       {Point::notRunIsTrue},
       "engines fail attempts that they ran and say that these never started"},
      {Sabotage::networkResendsGenerate,
       "network-resends-generate",
       {Point::atMostOnce},
       "an intermediary sends generate calls to a second engine as well"},
      {Sabotage::edgeKeepsLeavingEngine,
       "edge-keeps-leaving-engine",
       {Point::leavingGetsNoWork},
       "a router's edge sends attempts to a drained engine"},
      {Sabotage::routerKilledOnPlannedStop,
       "router-killed-on-planned-stop",
       {Point::plannedStopCutsNothing},
       "a planned stop of a router ends its process at once"},
      {Sabotage::diskLosesSyncedWrites,
       "disk-loses-synced-writes",
       {Point::configurationInForce, Point::consensus},
       "disks forget synced writes when all controllers crash together"},
      {Sabotage::edgeHidesConfiguration,
       "edge-hides-configuration",
       {Point::configurationInForce},
       "a router's transport strips changes of adapters from what it delivers"},
      {Sabotage::edgeAcknowledgesEarly,
       "edge-acknowledges-early",
       {Point::configurationInForce},
       "a controller's resource edge acknowledges some writes and drops them"},
  };
  return kTable;
}

std::optional<SabotageInfo> findSabotage(const std::string& name) {
  for (const SabotageInfo& info : sabotageTable()) {
    if (name == info.name) {
      return info;
    }
  }
  return std::nullopt;
}

}  // namespace walnut::simulator
