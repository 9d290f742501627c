#pragma once
/// @file
/// How many replicas each model and adapter should have, apart from where.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "control/keep_alive_table.h"
#include "control/placement_input.h"

namespace walnut::control {

/// Why a replica is needed; the first is served first.
/// `ahead`: nobody waits yet; takes only memory that is free and what the store has to spare.
enum class Urgency : std::uint8_t { interactive = 0, batch = 1, standby = 2, ahead = 3 };

/// Replicas that a servable lacks.
struct ReplicaNeed {
  resource::Servable servable;
  std::uint32_t count = 0;
  std::uint64_t bytes = 0;         ///< On one accelerator.
  std::uint64_t adapterBytes = 0;  ///< Room that demanded adapters will want beside it.
  std::string checkpoint;
  std::uint64_t checkpointBytes = 0;
  resource::ModelSpec model;
  Urgency urgency = Urgency::standby;
  base::TimePoint deadline = base::kNever;  ///< Of the first that waits.
  bool formerVersion = false;               ///< Streams have to go on with it.
};

/// Outcome of a run, both in a deterministic order.
struct TargetPlan {
  std::vector<ReplicaNeed> needs;        ///< Most urgent first.
  std::vector<base::ReplicaId> surplus;  ///< To be unloaded; adapters before their model.
  /// When the passing of time alone changes the plan of a planned model: a hold time ends, or a
  /// wake period begins or ends.
  std::map<std::string, base::TimePoint> dueAt;
};

/// Plans the models and their adapters from the input alone.
/// @param usage is told what is in use, and which servables need all the replicas that they have.
TargetPlan planTargets(const PlacementInput& input, const std::set<std::string>& models,
                       UsageTracker& usage, KeepAliveTable& keepAlive);

}  // namespace walnut::control
