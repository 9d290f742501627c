#pragma once
/// @file
/// What the placement policy decides from.

#include <map>
#include <set>

#include "control/cell_state.h"
#include "control/demand_table.h"
#include "control/engine_monitor.h"
#include "control/ledger_index.h"
#include "control/usage_tracker.h"

namespace walnut::control {

/// A view for one run of the policy.
struct PlacementInput {
  base::TimePoint now;
  const CellState& state;
  const LedgerIndex& ledger;
  const EngineMonitor& monitor;
  const std::map<DemandTarget, TotalDemand>& demand;
  const UsageTracker& usage;
  const std::set<AcceleratorPlace>& unledgered;
  /// Replicas with a proposal under way.
  const ReplicaIds& changing;
  /// All routers have had time to report to this leader: what has no demand is idle.
  bool settled = false;

  /// @return true if the engine may be given new replicas, and its replicas work.
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
  /// @return true if streams have to go on with this servable of a former version, or with an
  /// adapter over it.
  bool formerVersionWanted(const resource::Servable& servable) const {
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
  /// @return demand of the target; none if no router reports it.
  TotalDemand demandOf(const DemandTarget& target) const {
    const auto found = demand.find(target);
    return found == demand.end() ? TotalDemand{} : found->second;
  }
};

/// @return the target whose demand a servable of the active version answers.
inline DemandTarget targetOf(const resource::Servable& servable) {
  return {servable.model, servable.adapter, ""};
}

/// @return the model itself, of an adapter's servable.
inline resource::Servable baseOf(resource::Servable servable) {
  servable.adapter.clear();
  return servable;
}

}  // namespace walnut::control
