/// @file
/// The part of the placement policy that decides which workers load adapters.

#include <algorithm>
#include <limits>

#include "registry/placement_round.h"

namespace walnut::registry {

namespace {

using catalog::ModelSpec;

std::size_t adapterCount(const PlacementWorker& worker) {
  std::size_t count = 0;
  for (const HeldModel& held : worker.holdings.models) {
    count += held.adapters.size();
  }
  return count;
}

/// @return a software version at which requests wait for the adapter while a worker of that version
/// holds the model but none has the adapter; empty if there is none.
std::string versionWithoutAdapter(const PlacementRound& round, const ModelKey& key) {
  std::map<std::string, bool> hasAdapter;  // By the versions of the workers that hold the model.
  for (const PlacementWorker& worker : round.workers()) {
    if (worker.serving && worker.holdings.find(key.model) != nullptr &&
        worker.unloadingModel != key.model) {
      hasAdapter[worker.softwareVersion] |= worker.holdings.holds(key.model, key.adapter);
    }
  }
  for (const auto& [version, waiting] : round.demand().versionsWaitedFor(key)) {
    const auto found = hasAdapter.find(version);
    if (found != hasAdapter.end() && !found->second) {
      return version;
    }
  }
  return {};
}

}  // namespace

void PlacementPolicy::placeAdapters(PlacementRound& round) const {
  for (const auto& [key, count] : round.demand().waiting()) {
    if (key.service != service_ || key.adapter.empty()) {
      continue;
    }
    const bool isHeld = std::any_of(round.workers().begin(), round.workers().end(),
                                    [&key = key](const PlacementWorker& worker) {
                                      return worker.serving &&
                                             worker.holdings.holds(key.model, key.adapter) &&
                                             worker.unloadingModel != key.model;
                                    });
    const ModelSpec* model = round.spec(key.model);
    const std::string version = versionWithoutAdapter(round, key);
    if (model != nullptr && (!isHeld || !version.empty())) {
      placeAdapter(round, *model, key.adapter, version);
    }
  }
}

/// @param version if not empty, only workers of that software version are considered.
void PlacementPolicy::placeAdapter(PlacementRound& round, const ModelSpec& model,
                                   const std::string& adapter, const std::string& version) {
  const PlacementWorker* best = nullptr;
  double bestCost = std::numeric_limits<double>::infinity();
  for (const PlacementWorker& worker : round.workers()) {
    if (!round.canOrder(worker) || !worker.canLoadAdapters ||
        worker.holdings.find(model.name) == nullptr || worker.unloadingModel == model.name ||
        !(version.empty() || worker.softwareVersion == version)) {
      continue;
    }
    const bool isFull = adapterCount(worker) >= round.engine().adapterSlots ||
                        round.freeMegabytes(worker) < model.adapterMegabytes;
    const double cost = worker.running + static_cast<double>(adapterCount(worker)) +
                        (isFull ? static_cast<double>(round.engine().slots) : 0);
    if (cost < bestCost) {
      bestCost = cost;
      best = &worker;
    }
  }
  if (best == nullptr) {
    return;
  }
  const bool isFull = adapterCount(*best) >= round.engine().adapterSlots ||
                      round.freeMegabytes(*best) < model.adapterMegabytes;
  if (!isFull) {
    round.order({best->id, OrderOperation::load, model.name, adapter, false});
    return;
  }
  // Evict the least recently requested adapter.
  std::optional<PlacementStep> unload;
  base::TimePoint oldest = base::kNever;
  for (const HeldModel& held : best->holdings.models) {
    for (const std::string& name : held.adapters) {
      const DemandFigures adapterDemand = round.figures(held.name, name);
      const bool isProtected =
          adapterDemand.waiting > 0 || best->recentAdapters.count({held.name, name}) != 0;
      if (!isProtected && adapterDemand.lastArrival < oldest) {
        oldest = adapterDemand.lastArrival;
        unload = PlacementStep{best->id, OrderOperation::unload, held.name, name, false};
      }
    }
  }
  if (unload) {
    round.order(std::move(*unload));
  }
}

}  // namespace walnut::registry
