#pragma once
/// @file
/// Selection of the workers that a placement plan for a large service considers.

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "registry/demand_book.h"
#include "registry/worker_index.h"

namespace walnut::registry {

/// The workers that a plan considers. With thousands of workers a plan needs the busy ones, some
/// holders of each requested model, and some workers that may load models. Of the other holders of
/// a model only the number is needed.
struct PlanningPool {
  std::set<WorkerId> workers;
  std::set<WorkerId> loadTargets;     ///< Members of `workers` that may be ordered to load models.
  std::set<WorkerId> adapterTargets;  ///< Members of `workers` that may be ordered adapters.
  /// Number of other workers that serve a model, by model.
  std::map<std::string, std::uint32_t> otherHolders;
};

/// @name Numbers of workers of one service
/// @{
/// A service with at most this many workers is planned with all of them.
inline constexpr std::size_t kMaxPlannedWorkers = 512;
inline constexpr std::size_t kPlannedTargets = 64;
inline constexpr std::size_t kPlannedHolders = 4;  ///< Holders of each requested model.
/// @}
/// A model or adapter that was not requested within this time is not planned for.
inline constexpr base::Duration kPlannedDemandAge = std::chrono::seconds(20);

/// Selects the workers to consider in a plan for a large service.
/// @param start the worker from which targets are chosen, in the order of identifiers. It is the
/// same throughout a leadership, so that the reports already read from the targets stay useful.
PlanningPool choosePlanningPool(const std::string& service, const WorkerIndex& index,
                                const DemandBook& demand, const WorkerId& start,
                                base::TimePoint now);

}  // namespace walnut::registry
