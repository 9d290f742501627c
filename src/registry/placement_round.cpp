#include "registry/placement_round.h"

#include <algorithm>
#include <cmath>

namespace walnut::registry {

namespace {

using catalog::ModelSpec;

/// @name Cost of unloading a replica
/// All costs are in seconds of request waiting time. See docs/DECISIONS.md.
/// @{
/// Cost of unloading a surplus replica, and of unloading the second last one.
constexpr double kSurplusCost = 0.1;
constexpr double kSecondLastCost = 0.4;
/// The corresponding additional costs for each arrival per second.
constexpr double kSurplusRateCost = 0.05;
constexpr double kSecondLastRateCost = 0.2;
/// Cost if the load of the remaining replicas would exceed kScaleOutShare, for each multiple of it.
constexpr double kOverloadCost = 5.0;
/// Cost for each running request, since an unload waits for them, and its maximum.
constexpr double kRunningCost = 1.0;
constexpr double kMaxRunningCost = 4.0;
/// Cost for each adapter that is unloaded with the model.
constexpr double kHeldAdapterCost = 0.05;
/// Cost that keeps a replica for which requests wait from ever being unloaded.
constexpr double kWaitedForCost = 1000.0;
/// @}

/// @name Cost of unloading the last replica
/// @{
/// Cost if the next request would be late, the additional cost for each arrival per second, and
/// the additional cost if the model was requested within kRecentUse.
constexpr double kLateReloadCost = 0.5;
constexpr double kLateReloadRateCost = 5.0;
constexpr double kRecentUseCost = 1.0;
constexpr base::Duration kRecentUse = std::chrono::seconds(10);
/// Cost for each request since the last answer, and its maximum: if the model were unloaded now, a
/// load for these requests would be wasted. The values are those of running requests.
constexpr double kUnservedRequestCost = 1.0;
constexpr double kMaxUnservedRequestCost = 4.0;
/// Cost if the next request would still be in time, and for each arrival per second.
constexpr double kTimelyReloadCost = 0.1;
constexpr double kTimelyReloadRateCost = 0.5;
/// Time until an unloaded model serves again, without the load itself: waiting for a free worker,
/// unloading another model, and reporting the demand and the result.
constexpr double kReloadOverheadSeconds = 0.6;
/// Additional cost if no disk would hold the model any more.
constexpr double kLastCopyCost = 2.0;
/// @}

/// Time after the last request for which callers of an unserved model are expected to return.
constexpr base::Duration kUnservedReturnTime = std::chrono::seconds(10);

/// Arrivals per second from which a model is assumed never to become idle: streams last seconds.
constexpr double kBusyRate = 0.6;

/// Weight of a priority level relative to the next higher one.
constexpr double kPriorityFactor = 0.7;

/// Cost of delaying adapter loads for each arrival per second, and its maximum.
constexpr double kAdapterDelayCost = 2.0;
constexpr double kMaxAdapterDelayCost = 4.0;

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

PlacementRound::PlacementRound(const catalog::EngineSpec& engine,
                               const std::vector<PlacementWorker>& workers,
                               const DemandBook& demand, StoreScheduler& store,
                               const std::string& service, base::TimePoint now)
    : engine_(engine),
      workers_(workers),
      demand_(demand),
      store_(store),
      service_(service),
      now_(now) {
  countReplicas();
}

/// Computes the specifications and counts by model, which the rest of the run reads many times.
void PlacementRound::countReplicas() {
  for (const ModelSpec& model : engine_.models) {
    specs_.emplace(model.name, &model);
  }
  for (const PlacementWorker& worker : workers_) {
    std::set<std::string> copies(worker.holdings.inMemory.begin(), worker.holdings.inMemory.end());
    copies.insert(worker.holdings.onDisk.begin(), worker.holdings.onDisk.end());
    const bool takesAdapters = worker.serving && !worker.loadingModel && !worker.unloadingModel;
    for (const HeldModel& held : worker.holdings.models) {
      if (worker.holdings.find(held.name) != &held) {
        continue;  // The worker lists the model twice.
      }
      Replicas& replicas = replicas_[held.name];
      const std::uint32_t running = demand_.running(worker.id, held.name);
      replicas.running += running;
      replicas.queued += running * queuedShare(worker);
      if (worker.serving && worker.unloadingModel != held.name) {
        ++replicas.present;
        ++replicas.serving;
      }
      replicas.takingAdapters += takesAdapters ? 1 : 0;
      copies.insert(held.name);
    }
    if (worker.serving && worker.loadingModel &&
        worker.holdings.find(*worker.loadingModel) == nullptr) {
      ++replicas_[*worker.loadingModel].present;
      copies.insert(*worker.loadingModel);
    }
    for (const std::string& model : copies) {
      replicas_[model].copies += worker.serving ? 1 : 0;
    }
  }
}

void PlacementRound::addUnplannedWorkers(const std::map<std::string, std::uint32_t>& workers) {
  for (const auto& [model, count] : workers) {
    if (count > 0) {
      Replicas& replicas = replicas_[model];
      replicas.present += count;
      replicas.serving += count;
      replicas.takingAdapters += count;
      replicas.copies += count;
    }
  }
}

double PlacementRound::queuedShare(const PlacementWorker& worker) const {
  const double running = demand_.running(worker.id);
  return engine_.slots == 0 || running <= engine_.slots
             ? 0
             : 1.0 - static_cast<double>(engine_.slots) / running;
}

const ModelSpec* PlacementRound::spec(const std::string& model) const {
  const auto found = specs_.find(model);
  return found == specs_.end() ? nullptr : found->second;
}

PlacementRound::Replicas PlacementRound::replicas(const std::string& model) const {
  const auto found = replicas_.find(model);
  return found == replicas_.end() ? Replicas{} : found->second;
}

DemandFigures PlacementRound::figures(const std::string& model, const std::string& adapter) const {
  return demand_.figures({service_, model, adapter}, now_);
}

bool PlacementRound::hasUnservedModelWithoutCopy(const std::set<std::string>& postponed) const {
  const auto needsStore = [this, &postponed](const ModelSpec& model) {
    const bool canBeLoaded =
        model.weightsMegabytes <= engine_.weightsMegabytes && postponed.count(model.name) == 0;
    if (!canBeLoaded || replicas(model.name).copies > 0) {
      return false;
    }
    const DemandFigures modelDemand = figures(model.name);
    const bool mayReturn =
        modelDemand.unservedRequests > 0 && now_ < modelDemand.lastArrival + kUnservedReturnTime;
    return mayReturn || modelDemand.waiting > 0;
  };
  return std::any_of(engine_.models.begin(), engine_.models.end(), needsStore);
}

std::string PlacementRound::versionToAdd(const std::string& model) const {
  std::map<std::string, std::uint32_t> waited = demand_.versionsWaitedFor({service_, model, {}});
  if (waited.empty()) {
    return {};
  }
  std::set<std::string> present;
  for (const PlacementWorker& worker : workers_) {
    if (worker.serving) {
      present.insert(worker.softwareVersion);
      const bool holds = worker.holdings.find(model) != nullptr && worker.unloadingModel != model;
      if (holds || worker.loadingModel == model) {
        waited.erase(worker.softwareVersion);
      }
    }
  }
  std::string most;
  std::uint32_t count = 0;
  for (const auto& [version, waiting] : waited) {
    if (present.count(version) != 0 && waiting > count) {
      most = version;
      count = waiting;
    }
  }
  return most;
}

bool PlacementRound::canOrder(const PlacementWorker& worker) const {
  return worker.canTakeOrders && worker.serving && ordered_.count(worker.id) == 0;
}

void PlacementRound::order(PlacementStep step) {
  ordered_.insert(step.worker);
  steps_.push_back(std::move(step));
}

WeightTier PlacementRound::tier(const PlacementWorker& worker, const std::string& model) const {
  if (contains(worker.holdings.inMemory, model)) {
    return WeightTier::hostMemory;
  }
  return contains(worker.holdings.onDisk, model) ? WeightTier::disk : WeightTier::store;
}

base::Duration PlacementRound::loadTime(WeightTier tier, const ModelSpec& model) {
  switch (tier) {
    case WeightTier::hostMemory:
      return model.memoryLoadTime;
    case WeightTier::disk:
      return model.diskLoadTime;
    case WeightTier::store:
      break;
  }
  return model.storeLoadTime;
}

double PlacementRound::freeMegabytes(const PlacementWorker& worker) const {
  double used = 0;
  for (const HeldModel& held : worker.holdings.models) {
    if (const ModelSpec* model = spec(held.name)) {
      used += model->weightsMegabytes +
              model->adapterMegabytes * static_cast<double>(held.adapters.size());
    }
  }
  if (worker.loadingModel && worker.holdings.find(*worker.loadingModel) == nullptr) {
    const ModelSpec* model = spec(*worker.loadingModel);
    used += model == nullptr ? 0 : model->weightsMegabytes;
  }
  return engine_.weightsMegabytes - used;
}

double PlacementRound::loadWith(const std::string& model, std::uint32_t workers) const {
  const double slots = std::max<double>(engine_.slots, 1) * workers;
  return replicas(model).running / std::max(slots, 1.0);
}

double PlacementRound::adapterBlockCost(const PlacementWorker& worker) const {
  double cost = 0;
  for (const HeldModel& held : worker.holdings.models) {
    const bool isTakingAdapters = worker.serving && !worker.loadingModel && !worker.unloadingModel;
    const bool isServedElsewhere =
        replicas(held.name).takingAdapters > (isTakingAdapters ? 1U : 0U);
    if (!isServedElsewhere) {
      const double rate = demand_.adapterRate(service_, held.name, now_);
      cost += std::min(kMaxAdapterDelayCost, kAdapterDelayCost * rate);
    }
  }
  return cost;
}

double PlacementRound::unloadCost(const PlacementWorker& worker, const HeldModel& held,
                                  double takerLoad) const {
  // A replica that is still being loaded serves no requests yet, so it doesn't count.
  const std::uint32_t count = replicas(held.name).serving;
  const double running = demand_.running(worker.id, held.name);
  const double wait = std::min(kRunningCost * running, kMaxRunningCost) +
                      (looksAhead_ ? demandCost(worker, held.name, takerLoad) : 0);
  if (count <= 1) {
    return wait + lastReplicaCost(worker, held.name);
  }
  const double rate = figures(held.name).rate;
  double cost = wait + kHeldAdapterCost * static_cast<double>(held.adapters.size());
  const double loadWithout = loadWith(held.name, count - 1);
  if (loadWithout > kScaleOutShare) {
    cost += kOverloadCost * loadWithout / kScaleOutShare;
  }
  return cost + (count == 2 ? kSecondLastCost + kSecondLastRateCost * rate
                            : kSurplusCost + kSurplusRateCost * rate);
}

/// A model whose target latency covers a reload from disk is cheap to unload. A model that is
/// expected sooner, or that would have to be loaded from the store, is expensive.
double PlacementRound::lastReplicaCost(const PlacementWorker& worker,
                                       const std::string& model) const {
  const DemandFigures modelDemand = figures(model);
  const ModelSpec* modelSpec = spec(model);
  const bool isRecent =
      modelDemand.lastArrival != base::TimePoint() && now_ - modelDemand.lastArrival < kRecentUse;
  if (modelDemand.waiting > 0) {
    return kWaitedForCost;
  }
  const double unservedCost =
      std::min(kUnservedRequestCost * modelDemand.unservedRequests, kMaxUnservedRequestCost);
  const bool isOnDisk = contains(worker.holdings.onDisk, model);
  const bool hasOtherCopy = replicas(model).copies > 1;
  const double urgency = std::pow(kPriorityFactor, modelDemand.priority);
  double cost = unservedCost + (isOnDisk || hasOtherCopy ? 0 : kLastCopyCost);
  const double reloadTime =
      (modelSpec == nullptr ? 0 : seconds(modelSpec->diskLoadTime)) + kReloadOverheadSeconds;
  if (isOnDisk && reloadTime <= seconds(modelDemand.targetLatency)) {
    return cost + kTimelyReloadCost + kTimelyReloadRateCost * urgency * modelDemand.rate;
  }
  return cost + kLateReloadCost + kLateReloadRateCost * urgency * modelDemand.rate +
         (isRecent ? kRecentUseCost : 0);
}

/// @return true if the model has requests on the worker, but so low an arrival rate that it will
/// soon have none.
bool PlacementRound::becomesIdle(const PlacementWorker& worker, const std::string& model) const {
  return demand_.running(worker.id, model) > 0 && replicas(model).serving <= 1 &&
         figures(model).rate < kBusyRate;
}

UnloadPlan PlacementRound::planUnloads(const PlacementWorker& worker, double megabytes,
                                       double takerLoad) const {
  double free = freeMegabytes(worker);
  if (free >= megabytes) {
    return {};
  }
  std::vector<std::pair<double, const HeldModel*>> candidates;
  for (const HeldModel& held : worker.holdings.models) {
    candidates.emplace_back(unloadCost(worker, held, takerLoad), &held);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& left, const auto& right) { return left.first < right.first; });
  UnloadPlan unloadPlan;
  for (const auto& [price, held] : candidates) {
    if (free >= megabytes) {
      break;
    }
    const ModelSpec* model = spec(held->name);
    free += model == nullptr
                ? 0
                : model->weightsMegabytes +
                      model->adapterMegabytes * static_cast<double>(held->adapters.size());
    unloadPlan.cost += price;
    unloadPlan.unloads.push_back(held->name);
    unloadPlan.hasEndingRequests = unloadPlan.hasEndingRequests || becomesIdle(worker, held->name);
  }
  if (free < megabytes) {
    return {{}, std::numeric_limits<double>::infinity(), false};
  }
  return unloadPlan;
}

}  // namespace walnut::registry
