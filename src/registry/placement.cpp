#include "registry/placement.h"

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <utility>

namespace walnut::registry {

namespace {

using catalog::EngineSpec;
using catalog::ModelSpec;

/// A wake that has not come about in this time is decided anew.
constexpr base::Duration kWakeLifetime = std::chrono::seconds(15);
/// Arrivals a second from which a model is held by two workers.
constexpr double kSecondReplicaRate = 0.6;
/// Of a model's rate, in the order of wakes, if it has two replicas or more.
constexpr double kCrowdedShare = 0.1;
/// Seconds of cost that a second replica is worth, for each arrival a second.
constexpr double kSecondReplicaWorth = 6.0;
/// Running requests per replica, as a share of a worker's slots, from which another replica is
/// added. Far below 1: reading the prompts of others makes pauses in a stream long before slots run
/// out.
constexpr double kScaleOutShare = 0.1;
/// @name Cost of unloading a replica, in seconds of a request's wait
/// @{
/// Of a surplus one, of the second last one, of the last one.
constexpr double kSurplusCost = 0.1;
constexpr double kSecondCost = 0.4;
constexpr double kLastCost = 0.5;
/// For each arrival a second, of a surplus one, of the second last one, of the last one.
constexpr double kSurplusRateCost = 0.05;
constexpr double kSecondRateCost = 0.2;
constexpr double kLastRateCost = 5.0;
/// If the others would be loaded beyond kScaleOutShare without it.
constexpr double kOverloadCost = 5.0;
/// An unload waits for the requests that run: for each one, and at most.
constexpr double kRunningCost = 1.0;
constexpr double kMaxRunningCost = 4.0;
constexpr double kRecentUseCost = 1.0;
/// For each adapter that is dropped with it.
constexpr double kHeldAdapterCost = 0.05;
/// @}
/// Of holding up adapters, for each arrival a second, and at most.
constexpr double kAdapterCost = 2.0;
constexpr double kMaxAdapterCost = 4.0;
/// A wake that has not led to a load in this time is decided anew: the worker may be waiting for
/// long requests to end.
constexpr base::Duration kWakePatience = std::chrono::milliseconds(1500);
/// A worker that has room at this cost has it at once.
constexpr double kEasyRoomCost = 0.9;
/// Of choosing a worker that has an order under way, in seconds.
constexpr double kBusyCost = 2.0;
constexpr base::Duration kRecentUse = std::chrono::seconds(10);
/// A replica that somebody waits for never makes room.
constexpr double kWantedCost = 1000.0;

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

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

  struct ModelSummary {
    std::uint32_t replicas = 0;  ///< Workers that serve it or are about to.
    std::uint32_t serving = 0;   ///< Workers that serve it.
    std::uint32_t running = 0;
    std::uint32_t takingAdapters = 0;  ///< Workers that hold it and take adapters now.
  };
  std::unordered_map<std::string, const ModelSpec*> specs;
  std::unordered_map<std::string, ModelSummary> models;

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

  /// Counts what the rest asks for again and again.
  void summarise() {
    for (const ModelSpec& model : engine.models) {
      specs.emplace(model.name, &model);
    }
    for (const PlacementWorker& worker : workers) {
      const bool takesAdapters = worker.serving && !worker.arriving && !worker.retiring;
      for (const HeldModel& held : worker.holdings.models) {
        if (worker.holdings.find(held.name) != &held) {
          continue;  // Named twice by its worker.
        }
        ModelSummary& summary = models[held.name];
        summary.running += demand.running(worker.id, held.name);
        if (worker.serving && worker.retiring != held.name) {
          ++summary.replicas;
          ++summary.serving;
        }
        summary.takingAdapters += takesAdapters ? 1 : 0;
      }
      const bool arriving =
          worker.serving && worker.arriving && worker.holdings.find(*worker.arriving) == nullptr;
      if (arriving) {
        ++models[*worker.arriving].replicas;
      }
    }
  }

  const ModelSpec* spec(const std::string& name) const {
    const auto found = specs.find(name);
    return found == specs.end() ? nullptr : found->second;
  }

  ModelSummary summary(const std::string& model) const {
    const auto found = models.find(model);
    return found == models.end() ? ModelSummary{} : found->second;
  }

  /// @return workers that serve the model or are about to.
  std::uint32_t replicas(const std::string& model) const { return summary(model).replicas; }

  double freeMegabytes(const PlacementWorker& worker) const {
    double used = 0;
    for (const HeldModel& held : worker.holdings.models) {
      if (const ModelSpec* model = spec(held.name)) {
        used += model->weightsMegabytes +
                model->adapterMegabytes * static_cast<double>(held.adapters.size());
      }
    }
    if (worker.arriving && worker.holdings.find(*worker.arriving) == nullptr) {
      const ModelSpec* model = spec(*worker.arriving);
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

  /// @return the load of a model's other replicas if one is taken away, as a share of their slots.
  double loadWithout(const std::string& model, std::uint32_t count) const {
    const double slots = std::max<double>(engine.slots, 1) * (count - 1);
    return summary(model).running / std::max(slots, 1.0);
  }

  /// @return what it costs to keep a worker busy with a model: it takes no adapters meanwhile, and
  /// those of models that no other worker serves have to wait.
  double adapterBlockCost(const PlacementWorker& worker) const {
    double cost = 0;
    for (const HeldModel& held : worker.holdings.models) {
      const bool own = worker.serving && !worker.arriving && !worker.retiring;
      const bool elsewhere = summary(held.name).takingAdapters > (own ? 1U : 0U);
      if (!elsewhere) {
        cost +=
            std::min(kMaxAdapterCost, kAdapterCost * demand.adapterRate(service, held.name, now));
      }
    }
    return cost;
  }

  /// @return what it costs, in seconds of a request's wait, to unload a model from a worker.
  double unloadCost(const PlacementWorker& worker, const HeldModel& held) const {
    const DemandFigures wanted = figures(held.name);
    // One that is still coming serves nobody yet.
    const std::uint32_t count = summary(held.name).serving;
    const double running = demand.running(worker.id, held.name);
    double cost = std::min(kRunningCost * running, kMaxRunningCost);
    if (count <= 1) {
      const bool recent =
          wanted.lastArrival != base::TimePoint() && now - wanted.lastArrival < kRecentUse;
      return cost + kLastCost + kLastRateCost * wanted.rate + (recent ? kRecentUseCost : 0) +
             (wanted.waiting > 0 ? kWantedCost : 0);
    }
    if (loadWithout(held.name, count) > kScaleOutShare) {
      cost += kOverloadCost;
    }
    cost += kHeldAdapterCost * static_cast<double>(held.adapters.size());
    return cost + (count == 2 ? kSecondCost + kSecondRateCost * wanted.rate
                              : kSurplusCost + kSurplusRateCost * wanted.rate);
  }

  /// @return the models to unload from a worker so that `megabytes` are free, cheapest first, and
  /// their cost; infinite if it can't be done.
  std::pair<std::vector<std::string>, double> roomFor(const PlacementWorker& worker,
                                                      double megabytes) const {
    double free = freeMegabytes(worker);
    std::vector<std::pair<double, const HeldModel*>> candidates;
    for (const HeldModel& held : worker.holdings.models) {
      candidates.emplace_back(unloadCost(worker, held), &held);
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<std::string> unloads;
    double cost = 0;
    for (const auto& [price, held] : candidates) {
      if (free >= megabytes) {
        break;
      }
      const ModelSpec* model = spec(held->name);
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
  Round round{engine, workers, demand, store, now, service_, {}, {}, {}, {}};
  round.summarise();
  dropEndedWakes(round);
  chooseWakes(round);
  // An adapter takes some ms, a model seconds in which its worker takes no adapter.
  placeAdapters(round);
  for (const std::string& model : byWorth_) {
    carryOut(round, model, wakes_.at(model));
  }
  return std::move(round.steps);
}

void PlacementPolicy::dropEndedWakes(const Round& round) {
  std::erase_if(wakes_, [this, &round](const auto& entry) {
    const auto& [model, wake] = entry;
    const PlacementWorker* worker = round.find(wake.worker);
    const base::Duration age = round.now - wake.since;
    return worker == nullptr || !worker->serving || worker->holdings.find(model) != nullptr ||
           age > kWakeLifetime ||
           (age > kWakePatience && worker->arriving != model &&
            hasBetterWorker(round, model, wake));
  });
}

/// The chosen worker may have to wait for long requests to end before it has room.
bool PlacementPolicy::hasBetterWorker(const Round& round, const std::string& model,
                                      const Wake& wake) const {
  const ModelSpec* spec = round.spec(model);
  return spec == nullptr ||
         std::any_of(round.workers.begin(), round.workers.end(),
                     [&round, &wake, spec](const PlacementWorker& worker) {
                       return worker.id != wake.worker && round.mayOrder(worker) &&
                              !worker.arriving && !worker.retiring &&
                              round.roomFor(worker, spec->weightsMegabytes).second < kEasyRoomCost;
                     });
}

void PlacementPolicy::chooseWakes(Round& round) {
  std::vector<std::pair<double, std::string>> wanted;
  for (const ModelSpec& model : round.engine.models) {
    const DemandFigures figures = round.figures(model.name);
    const std::uint32_t replicas = round.replicas(model.name);
    const bool cold = replicas == 0 && figures.waiting > 0;
    const bool alone = replicas == 1 && figures.rate >= kSecondReplicaRate;
    const bool crowded =
        replicas > 0 && round.loadWithout(model.name, replicas + 1) > kScaleOutShare;
    if (cold || alone || crowded) {
      // What waits now, and what would wait if the only replica were lost.
      const double share = replicas >= 2 ? kCrowdedShare : 1.0;
      wanted.emplace_back(share * figures.rate + (cold ? figures.waiting : 0), model.name);
    }
  }
  std::sort(wanted.rbegin(), wanted.rend());
  byWorth_.clear();
  for (const auto& [worth, name] : wanted) {
    if (wakes_.count(name) == 0) {
      wakeModel(round, name);
    }
    if (wakes_.count(name) != 0) {
      byWorth_.push_back(name);
    }
  }
}

void PlacementPolicy::wakeModel(Round& round, const std::string& name) {
  const ModelSpec& model = *round.spec(name);
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
    const bool orderUnderWay = worker.arriving || worker.retiring || !worker.mayBeOrdered;
    const double busy = orderUnderWay ? kBusyCost : 0;
    const double cost = seconds(round.loadTime(worker, model)) + load + busy +
                        round.adapterBlockCost(worker) +
                        round.roomFor(worker, model.weightsMegabytes).second;
    if (cost < bestCost) {
      bestCost = cost;
      best = &worker;
    }
  }
  const double worth = first ? kWantedCost : kSecondReplicaWorth * round.figures(name).rate;
  if (best != nullptr && bestCost < worth) {
    wakes_[name] = {best->id, round.now};
  }
}

void PlacementPolicy::carryOut(Round& round, const std::string& name, const Wake& wake) {
  const PlacementWorker& worker = *round.find(wake.worker);
  const ModelSpec* model = round.spec(name);
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
  if (fromStore && !round.store.allows()) {
    return;
  }
  if (fromStore) {
    round.store.taken();
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
    const ModelSpec* model = round.spec(key.model);
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
    if (!round.mayOrder(worker) || !worker.mayTakeAdapters ||
        worker.holdings.find(model.name) == nullptr || worker.retiring == model.name) {
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
      const DemandFigures wanted = round.figures(held.name, name);
      const bool protectedNow =
          wanted.waiting > 0 || best->newAdapters.count({held.name, name}) != 0;
      if (!protectedNow && wanted.lastArrival < oldest) {
        oldest = wanted.lastArrival;
        unload = PlacementStep{best->id, OrderOperation::unload, held.name, name, false};
      }
    }
  }
  if (unload) {
    round.order(std::move(*unload));
  }
}

}  // namespace walnut::registry
