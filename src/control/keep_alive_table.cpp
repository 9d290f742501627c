#include "control/keep_alive_table.h"

#include <algorithm>

namespace walnut::control {

namespace {

/// A plan is recomputed after this time even within an idle period.
constexpr base::Duration kPlanLifetime = std::chrono::minutes(5);
/// Shortest time between two plans of a target that is used repeatedly.
constexpr base::Duration kMinReplanInterval = std::chrono::seconds(20);

WeightsInfo weightsOf(const CellState& state, const DemandTarget& target,
                      const resource::ModelSpec& model) {
  if (!target.adapter.empty()) {
    const auto* adapter = state.findAdapter(target.adapter);
    return adapter == nullptr ? WeightsInfo{}
                              : WeightsInfo{adapter->checkpoint, adapter->checkpointBytes,
                                            adapter->acceleratorBytes};
  }
  const auto* version = state.findModelVersion(model.activeVersion);
  return version == nullptr ? WeightsInfo{}
                            : WeightsInfo{version->checkpoint, version->checkpointBytes,
                                          version->acceleratorBytes};
}

bool inPool(const resource::Engine& engine, const resource::EnginePoolSpec& pool) {
  return pool.machineClass.empty() || pool.machineClass == engine.machineClass;
}

/// @return the fraction of an accelerator's memory that the bytes take, based on the first engine
/// of the pool.
double shareOf(const CellState& state, std::uint64_t bytes, const resource::EnginePoolSpec& pool) {
  for (const auto& [id, engine] : state.engines()) {
    if (inPool(engine, pool) && !engine.acceleratorBytes.empty() &&
        engine.acceleratorBytes.front() > 0) {
      return std::min(
          1.0, static_cast<double>(bytes) / static_cast<double>(engine.acceleratorBytes.front()));
    }
  }
  return 1.0;
}

resource::Version budgetVersion(const CellState& state, const resource::ModelSpec& model) {
  const auto found = state.resources().find({resource::Kind::capacityBudget, model.budget});
  return found == state.resources().end() ? 0 : found->second.version;
}

}  // namespace

const HoldPlan& KeepAliveTable::planOf(const PlacementInput& input, const UsageTracker& usage,
                                       const DemandTarget& target,
                                       const resource::ModelSpec& model) {
  const base::TimePoint lastUse = usage.lastUse(target);
  const resource::Version version = budgetVersion(input.state, model);
  const auto [found, added] = entries_.try_emplace(target);
  Entry& entry = found->second;
  const bool isCurrent = entry.lastUse == lastUse && input.now < entry.computedAt + kPlanLifetime;
  const bool isTooRecent = input.now < entry.computedAt + kMinReplanInterval;
  if (added || entry.budgetVersion != version || (!isCurrent && !isTooRecent)) {
    entry = {computePlan(input, usage, target, model), lastUse, input.now, version};
  }
  return entry.plan;
}

HoldPlan KeepAliveTable::computePlan(const PlacementInput& input, const UsageTracker& usage,
                                     const DemandTarget& target,
                                     const resource::ModelSpec& model) const {
  const resource::CapacityBudgetSpec budget = input.state.budgetOf(model);
  const WeightsInfo weights = weightsOf(input.state, target, model);
  const resource::EnginePoolSpec pool = input.state.poolOf(model);
  KeepAliveSubject subject{usage.gapsOf(target), usage.allGaps(), 0, {}};
  subject.acceleratorShare = shareOf(input.state, weights.acceleratorBytes, pool);
  subject.coldStart = coldStartOf(input, weights, model);
  return makeKeepAlivePolicy(budget)->plan(subject);
}

/// Estimates the cold start from the nearest cache tier on any engine of the pool.
base::Duration KeepAliveTable::coldStartOf(const PlacementInput& input, const WeightsInfo& weights,
                                           const resource::ModelSpec& model) const {
  const resource::EnginePoolSpec pool = input.state.poolOf(model);
  LoadSource nearest = LoadSource::store;
  for (const auto& [id, engine] : input.state.engines()) {
    const auto tier = input.monitor.nearestCacheTier(id, weights.checkpoint);
    if (!tier || !inPool(engine, pool) || !input.takesWork(engine)) {
      continue;
    }
    const bool inMemory = *tier == engine::CacheTier::hostMemory;
    nearest = std::min(nearest, inMemory ? LoadSource::hostMemory : LoadSource::localDisk);
  }
  return loadTimes_.estimate(nearest, weights.checkpointBytes);
}

}  // namespace walnut::control
