#pragma once
/// @file
/// Computes how many replicas each model and adapter should have. Where they go is decided later.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "control/keep_alive_table.h"
#include "control/placement_input.h"

namespace walnut::control {

/// Reason why a replica is needed, most urgent first.
/// `ahead`: no request waits yet; the load may use only free memory and spare bandwidth of the
/// store.
enum class Urgency : std::uint8_t { interactive = 0, batch = 1, standby = 2, preload = 3 };

/// Number of replicas that a servable lacks, with what is needed to place them.
struct ReplicaNeed {
  resource::Servable servable;
  std::uint32_t count = 0;
  std::uint64_t bytes = 0;  ///< Memory on one accelerator.
  /// Memory that requested adapters of the model will need next to it.
  std::uint64_t adapterBytes = 0;
  std::string checkpoint;
  std::uint64_t checkpointBytes = 0;
  resource::ModelSpec model;
  Urgency urgency = Urgency::standby;
  base::TimePoint deadline = base::kNever;  ///< Earliest deadline of the waiting requests.
  /// True for a previous version that open streams must continue with.
  bool previousVersion = false;
};

/// Result of a planning run, in a deterministic order.
struct TargetPlan {
  std::vector<ReplicaNeed> needs;        ///< Most urgent first.
  std::vector<base::ReplicaId> surplus;  ///< Replicas to unload; adapters before their model.
  /// For each planned model, the time when its plan changes without any event: a hold time ends, or
  /// a preload period begins or ends.
  std::map<std::string, base::TimePoint> dueAt;
};

/// Plans these models and their adapters.
/// @param usage is updated with the targets in use and the servables that need all of their
/// replicas.
TargetPlan planTargets(const PlacementInput& input, const std::set<std::string>& models,
                       UsageTracker& usage, KeepAliveTable& keepAlive);

}  // namespace walnut::control
