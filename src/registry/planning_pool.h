#pragma once
/// @file
/// The workers that a plan for a large service looks at.

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "registry/demand_book.h"
#include "registry/worker_index.h"

namespace walnut::registry {

/// Where replicas are plenty, a plan needs who is busy, some holders of what is asked for, and some
/// workers that may load; not each of thousands. How many more hold a model is counted.
struct PlanningPool {
  std::set<WorkerId> workers;
  std::set<WorkerId> targets;         ///< Of these, who may be ordered to load a model.
  std::set<WorkerId> adapterHolders;  ///< Of these, who may be ordered to load an adapter.
  std::map<std::string, std::uint32_t> outside;  ///< By model, how many others serve it.
};

/// @name Workers of one service
/// @{
/// Up to so many, a plan looks at all of them.
inline constexpr std::size_t kMostPlanned = 512;
inline constexpr std::size_t kPlannedTargets = 64;
inline constexpr std::size_t kPlannedHolders = 4;  ///< Of each model that is asked for.
/// @}
/// What nobody has asked for in this time needs no plan.
inline constexpr base::Duration kPlannedSince = std::chrono::seconds(20);

/// @param start where among the workers the targets begin: the same for one leadership, so that
/// what is known of them stays known.
PlanningPool choosePlanningPool(const std::string& service, const WorkerIndex& index,
                                const DemandBook& demand, const WorkerId& start,
                                base::TimePoint now);

}  // namespace walnut::registry
