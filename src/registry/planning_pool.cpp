#include "registry/planning_pool.h"

#include <algorithm>

namespace walnut::registry {

namespace {

/// Adds at most `maxCount` workers from `start` on, continuing with the first after the last.
void addWorkersFrom(const WorkerIndex::Workers& workers, const WorkerId& start,
                    std::size_t maxCount, std::set<WorkerId>& chosen) {
  auto next = workers.lower_bound(start);
  const std::size_t count = std::min(maxCount, workers.size());
  for (std::size_t added = 0; added < count; ++added) {
    next = next == workers.end() ? workers.begin() : next;
    chosen.insert(*next);
    ++next;
  }
}

}  // namespace

PlanningPool choosePlanningPool(const std::string& service, const WorkerIndex& index,
                                const DemandBook& demand, const WorkerId& start,
                                base::TimePoint now) {
  PlanningPool pool;
  const WorkerIndex::Workers& all = index.of(service);
  addWorkersFrom(all, start, kPlannedTargets, pool.loadTargets);
  pool.workers = pool.loadTargets;
  for (const WorkerLoad& load : demand.loads()) {
    if (all.count(load.worker) != 0) {
      pool.workers.insert(load.worker);
    }
  }
  for (const ModelKey& key : demand.requestedSince(service, now - kPlannedDemandAge)) {
    const WorkerIndex::Workers& holders = index.holding(service, key.model);
    addWorkersFrom(holders, start, kPlannedHolders, pool.workers);
    if (key.adapter.empty()) {
      continue;
    }
    const std::string adapter = WorkerIndex::adapterName(key.model, key.adapter);
    addWorkersFrom(index.holding(service, adapter), start, 1, pool.workers);
    if (demand.waiting().count(key) != 0) {
      addWorkersFrom(holders, start, kPlannedHolders, pool.adapterTargets);
    }
  }
  for (const auto& [model, holders] : index.models(service)) {
    pool.otherHolders[model] = static_cast<std::uint32_t>(holders.size());
  }
  for (const WorkerId& worker : pool.workers) {
    for (const std::string& model : index.heldBy(worker)) {
      --pool.otherHolders[model];
    }
  }
  return pool;
}

}  // namespace walnut::registry
