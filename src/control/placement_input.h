#pragma once
/// @file
/// Input of the placement policy.

#include <map>
#include <set>

#include "control/cell_state.h"
#include "control/demand_table.h"
#include "control/engine_monitor.h"
#include "control/ledger_index.h"
#include "control/usage_tracker.h"

namespace walnut::control {

/// Read-only view of the cell for one run of the placement policy.
struct PlacementInput {
  base::TimePoint now;
  const CellState& state;
  const LedgerIndex& ledger;
  const EngineMonitor& monitor;
  const std::map<DemandTarget, TotalDemand>& demand;
  const UsageTracker& usage;
  const std::set<AcceleratorPlace>& unledgered;
  /// Replicas with a proposal in progress.
  const ReplicaIds& changing;
  /// True once all routers have had time to report to this leader: from then on, a target without
  /// demand is idle.
  bool routersReported = false;

  /// @return true if the engine may get new replicas and its replicas may serve.
  bool takesWork(const resource::Engine& engine) const {
    return engine.status == resource::EngineStatus::live &&
           engine.incarnation != base::Incarnation{} && !state.drained(engine.id);
  }
  bool takesWork(const base::EngineId& engine) const {
    const auto found = state.engines().find(engine);
    return found != state.engines().end() && takesWork(found->second);
  }
  /// @return true if the replica is loaded or being loaded on an engine that takes work.
  bool serves(const resource::Replica& replica) const {
    return replica.state != resource::ReplicaState::unloading && takesWork(replica.engine);
  }
  /// @return true if streams wait for this servable of a previous version, or for an adapter on top
  /// of it.
  bool hasPreviousVersionDemand(const resource::Servable& servable) const {
    for (auto entry = demand.lower_bound({servable.model, "", ""});
         entry != demand.end() && entry->first.model == servable.model; ++entry) {
      const bool same = entry->first.version == servable.version &&
                        (servable.adapter.empty() || entry->first.adapter == servable.adapter);
      if (same && entry->second.waiting() > 0) {
        return true;
      }
    }
    return false;
  }
  /// @return the demand of the target; empty if no router reports any.
  TotalDemand demandOf(const DemandTarget& target) const {
    const auto found = demand.find(target);
    return found == demand.end() ? TotalDemand{} : found->second;
  }
};

/// @return the demand target that a servable of the active version serves.
inline DemandTarget targetOf(const resource::Servable& servable) {
  return {servable.model, servable.adapter, ""};
}

/// @return the servable of the model itself: for an adapter, the model that it is loaded on.
inline resource::Servable baseOf(resource::Servable servable) {
  servable.adapter.clear();
  return servable;
}

}  // namespace walnut::control
