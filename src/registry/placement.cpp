#include "registry/placement.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace walnut::registry {

namespace {

using catalog::EngineSpec;
using catalog::ModelSpec;

/// Share of the store's rate that is used: loads are counted in windows that nobody aligns.
constexpr double kStoreRateShare = 0.9;
/// A wake that has not come about in this time is decided anew.
constexpr base::Duration kWakeLifetime = std::chrono::seconds(15);
/// Arrivals a second from which a model is held by two workers.
constexpr double kSecondReplicaRate = 0.6;
/// Requests per replica, as a share of a worker's slots, from which another replica is added.
constexpr double kScaleOutShare = 0.4;
/// Seconds that an arrival a second is worth when a replica is chosen to make room.
constexpr double kRateWeight = 5.0;
constexpr double kLastReplicaCost = 0.5;
constexpr double kRecentUseCost = 1.0;
constexpr base::Duration kRecentUse = std::chrono::seconds(10);
/// A replica that somebody waits for never makes room.
constexpr double kWantedCost = 1000.0;

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

const ModelSpec* findModel(const EngineSpec& engine, const std::string& name) {
  for (const ModelSpec& model : engine.models) {
    if (model.name == name) {
      return &model;
    }
  }
  return nullptr;
}

}  // namespace

void StoreRate::taken(base::TimePoint now) {
  if (perSecond_ > 0) {
    const auto gap = std::chrono::duration<double>(1.0 / (perSecond_ * kStoreRateShare));
    nextAt_ = std::max(nextAt_, now) + std::chrono::duration_cast<base::Duration>(gap);
  }
}

/// One run of the policy: its inputs, and what was decided so far.
struct PlacementPolicy::Round {
  const EngineSpec& engine;
  const std::vector<PlacementWorker>& workers;
  const DemandBook& demand;
  StoreRate& store;
  base::TimePoint now;
  std::string service;
  std::vector<PlacementStep> steps;
  std::set<WorkerId> ordered;

  DemandFigures figures(const std::string& model, const std::string& adapter = {}) const {
    return demand.figures({service, model, adapter}, now);
  }

  bool mayOrder(const PlacementWorker& worker) const {
    return worker.mayBeOrdered && worker.serving && ordered.count(worker.id) == 0;
  }

  void order(PlacementStep step) {
    ordered.insert(step.worker);
    steps.push_back(std::move(step));
  }

  const PlacementWorker* find(const WorkerId& id) const {
    for (const PlacementWorker& worker : workers) {
      if (worker.id == id) {
        return &worker;
      }
    }
    return nullptr;
  }

  /// @return workers that serve the model or are about to.
  std::uint32_t replicas(const std::string& model) const {
    std::uint32_t count = 0;
    for (const PlacementWorker& worker : workers) {
      const bool held = worker.holdings.find(model) != nullptr && worker.retiring != model;
      if (worker.serving && (held || worker.arriving == model)) {
        ++count;
      }
    }
    return count;
  }

  double freeMegabytes(const PlacementWorker& worker) const {
    double used = 0;
    for (const HeldModel& held : worker.holdings.models) {
      if (const ModelSpec* model = findModel(engine, held.name)) {
        used += model->weightsMegabytes +
                model->adapterMegabytes * static_cast<double>(held.adapters.size());
      }
    }
    if (worker.arriving && worker.holdings.find(*worker.arriving) == nullptr) {
      const ModelSpec* model = findModel(engine, *worker.arriving);
      used += model == nullptr ? 0 : model->weightsMegabytes;
    }
    return engine.weightsMegabytes - used;
  }

  static std::size_t adapterCount(const PlacementWorker& worker) {
    std::size_t count = 0;
    for (const HeldModel& held : worker.holdings.models) {
      count += held.adapters.size();
    }
    return count;
  }

  base::Duration loadTime(const PlacementWorker& worker, const ModelSpec& model) const {
    if (contains(worker.holdings.inMemory, model.name)) {
      return model.memoryLoadTime;
    }
    return contains(worker.holdings.onDisk, model.name) ? model.diskLoadTime : model.storeLoadTime;
  }

  bool fromStore(const PlacementWorker& worker, const ModelSpec& model) const {
    return !contains(worker.holdings.inMemory, model.name) &&
           !contains(worker.holdings.onDisk, model.name);
  }

  /// @return what it costs, in seconds of a request's wait, to unload a model from a worker.
  double unloadCost(const HeldModel& held) const {
    const DemandFigures wanted = figures(held.name);
    const std::uint32_t count = replicas(held.name);
    double cost = kRateWeight * wanted.rate / std::max<std::uint32_t>(count, 1);
    if (count <= 1) {
      cost += kLastReplicaCost + (wanted.waiting > 0 ? kWantedCost : 0);
    }
    const bool recent =
        wanted.lastArrival != base::TimePoint() && now - wanted.lastArrival < kRecentUse;
    return cost + (recent ? kRecentUseCost / std::max<std::uint32_t>(count, 1) : 0);
  }

  /// @return the models to unload from a worker so that `megabytes` are free, cheapest first, and
  /// their cost; infinite if it can't be done.
  std::pair<std::vector<std::string>, double> roomFor(const PlacementWorker& worker,
                                                      double megabytes) const {
    double free = freeMegabytes(worker);
    std::vector<std::pair<double, const HeldModel*>> candidates;
    for (const HeldModel& held : worker.holdings.models) {
      candidates.emplace_back(unloadCost(held), &held);
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<std::string> unloads;
    double cost = 0;
    for (const auto& [price, held] : candidates) {
      if (free >= megabytes) {
        break;
      }
      const ModelSpec* model = findModel(engine, held->name);
      free += model == nullptr
                  ? 0
                  : model->weightsMegabytes +
                        model->adapterMegabytes * static_cast<double>(held->adapters.size());
      cost += price;
      unloads.push_back(held->name);
    }
    if (free < megabytes) {
      return {{}, std::numeric_limits<double>::infinity()};
    }
    return {std::move(unloads), cost};
  }
};

std::vector<PlacementStep> PlacementPolicy::plan(const EngineSpec& engine,
                                                 const std::vector<PlacementWorker>& workers,
                                                 const DemandBook& demand, StoreRate& store,
                                                 base::TimePoint now) {
  Round round{engine, workers, demand, store, now, service_, {}, {}};
  store.setRate(engine.storeLoadsPerSecond);
  dropEndedWakes(round);
  chooseWakes(round);
  for (const auto& [model, wake] : wakes_) {
    carryOut(round, model, wake);
  }
  placeAdapters(round);
  return std::move(round.steps);
}

void PlacementPolicy::dropEndedWakes(const Round& round) {
  std::erase_if(wakes_, [&round](const auto& entry) {
    const PlacementWorker* worker = round.find(entry.second.worker);
    return worker == nullptr || !worker->serving || worker->holdings.find(entry.first) != nullptr ||
           round.now - entry.second.since > kWakeLifetime;
  });
}

void PlacementPolicy::chooseWakes(Round& round) {
  for (const ModelSpec& model : round.engine.models) {
    if (wakes_.count(model.name) != 0) {
      continue;
    }
    const DemandFigures wanted = round.figures(model.name);
    const std::uint32_t replicas = round.replicas(model.name);
    if (replicas == 0 && wanted.waiting > 0) {
      wakeModel(round, model.name);
    } else if (replicas == 1 && wanted.rate >= kSecondReplicaRate) {
      wakeModel(round, model.name);
    }
  }
}

void PlacementPolicy::wakeModel(Round& round, const std::string& name) {
  const ModelSpec& model = *findModel(round.engine, name);
  const bool first = round.replicas(name) == 0;
  const PlacementWorker* best = nullptr;
  double bestCost = std::numeric_limits<double>::infinity();
  for (const PlacementWorker& worker : round.workers) {
    const bool waking = std::any_of(wakes_.begin(), wakes_.end(), [&worker](const auto& entry) {
      return entry.second.worker == worker.id;
    });
    if (!worker.serving || waking || worker.holdings.find(name) != nullptr) {
      continue;
    }
    const double load =
        round.engine.slots == 0 ? 0 : static_cast<double>(worker.running) / round.engine.slots;
    const double busy = worker.mayBeOrdered ? 0 : 1;
    const double cost = seconds(round.loadTime(worker, model)) + load + busy +
                        round.roomFor(worker, model.weightsMegabytes).second;
    if (cost < bestCost) {
      bestCost = cost;
      best = &worker;
    }
  }
  const double worth = first ? kWantedCost : kRateWeight * round.figures(name).rate;
  if (best != nullptr && (first ? bestCost < worth : bestCost < worth + 2)) {
    wakes_[name] = {best->id, round.now};
  }
}

void PlacementPolicy::carryOut(Round& round, const std::string& name, const Wake& wake) {
  const PlacementWorker& worker = *round.find(wake.worker);
  const ModelSpec* model = findModel(round.engine, name);
  if (model == nullptr || !round.mayOrder(worker) || worker.arriving || worker.retiring) {
    return;
  }
  const auto [unloads, cost] = round.roomFor(worker, model->weightsMegabytes);
  if (cost == std::numeric_limits<double>::infinity()) {
    return;
  }
  if (!unloads.empty()) {
    round.order({worker.id, OrderOperation::unload, unloads.front(), {}, false});
    return;
  }
  const bool fromStore = round.fromStore(worker, *model);
  if (fromStore && !round.store.allows(round.now)) {
    return;
  }
  if (fromStore) {
    round.store.taken(round.now);
  }
  round.order({worker.id, OrderOperation::load, name, {}, fromStore});
}

void PlacementPolicy::placeAdapters(Round& round) {
  for (const auto& [key, count] : round.demand.waiting()) {
    if (key.service != service_ || key.adapter.empty()) {
      continue;
    }
    const bool held = std::any_of(
        round.workers.begin(), round.workers.end(), [&key = key](const PlacementWorker& worker) {
          return worker.serving && worker.holdings.holds(key.model, key.adapter) &&
                 worker.retiring != key.model;
        });
    const ModelSpec* model = findModel(round.engine, key.model);
    if (!held && model != nullptr) {
      placeAdapter(round, *model, key.adapter);
    }
  }
}

void PlacementPolicy::placeAdapter(Round& round, const ModelSpec& model,
                                   const std::string& adapter) {
  const PlacementWorker* best = nullptr;
  double bestCost = std::numeric_limits<double>::infinity();
  for (const PlacementWorker& worker : round.workers) {
    if (!round.mayOrder(worker) || worker.holdings.find(model.name) == nullptr ||
        worker.retiring == model.name) {
      continue;
    }
    const bool full = Round::adapterCount(worker) >= round.engine.adapterSlots ||
                      round.freeMegabytes(worker) < model.adapterMegabytes;
    const double cost = worker.running + static_cast<double>(Round::adapterCount(worker)) +
                        (full ? static_cast<double>(round.engine.slots) : 0);
    if (cost < bestCost) {
      bestCost = cost;
      best = &worker;
    }
  }
  if (best == nullptr) {
    return;
  }
  const bool full = Round::adapterCount(*best) >= round.engine.adapterSlots ||
                    round.freeMegabytes(*best) < model.adapterMegabytes;
  if (!full) {
    round.order({best->id, OrderOperation::load, model.name, adapter, false});
    return;
  }
  // The adapter that was wanted least recently makes room.
  std::optional<PlacementStep> unload;
  base::TimePoint oldest = base::kNever;
  for (const HeldModel& held : best->holdings.models) {
    for (const std::string& name : held.adapters) {
      const base::TimePoint used = round.figures(held.name, name).lastArrival;
      if (used < oldest) {
        oldest = used;
        unload = PlacementStep{best->id, OrderOperation::unload, held.name, name, false};
      }
    }
  }
  if (unload) {
    round.order(std::move(*unload));
  }
}

}  // namespace walnut::registry
