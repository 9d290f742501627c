/// @file
/// The part of a placement run that looks ahead: expected demand, and the replicas that are kept
/// for it. It is used only in services where replicas are slow to add.

#include <algorithm>

#include "registry/full_models.h"
#include "registry/placement_round.h"

namespace walnut::registry {

namespace {

/// Factor by which a model's load must exceed that of another model's remaining replicas to take
/// one of them. It keeps two models in demand from taking the same place from each other in turn.
constexpr double kTakingFactor = 2.0;
/// Time until an unloaded model serves again, without the load itself.
constexpr base::Duration kReloadOverhead = std::chrono::milliseconds(600);
/// Cost that keeps a replica from being unloaded for any model.
constexpr double kProtectedCost = 1000.0;

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

bool isOnDisk(const PlacementWorker& worker, const std::string& model) {
  return std::find(worker.holdings.onDisk.begin(), worker.holdings.onDisk.end(), model) !=
         worker.holdings.onDisk.end();
}

}  // namespace

void PlacementRound::lookAhead(std::map<std::string, RequestMean>& means) {
  looksAhead_ = true;
  requestMeans_ = &means;
  for (const catalog::ModelSpec& model : engine_.models) {
    const auto found = replicas_.find(model.name);
    if (found == replicas_.end() || found->second.present == 0) {
      continue;
    }
    Replicas& replicas = found->second;
    if (replicas.serving > 0) {
      // They wait for a slot at a worker of the model, not for a load.
      const std::uint32_t waiting = figures(model.name).waiting;
      replicas.running += waiting;
      replicas.queued += waiting;
    }
    means[model.name].update(now_, replicas.running);
    if (replicas.running == 0) {
      continue;
    }
    const base::Duration load = hasNearCopy(model.name) ? model.diskLoadTime : model.storeLoadTime;
    growth_[model.name] = demand_.growth({service_, model.name, {}}, load + kReloadOverhead, now_);
  }
  std::erase_if(means, [this](const auto& entry) { return replicas(entry.first).present == 0; });
}

double PlacementRound::growth(const std::string& model) const {
  const auto found = growth_.find(model);
  return found == growth_.end() ? 1 : found->second;
}

double PlacementRound::expectedLoadWith(const std::string& model, std::uint32_t workers) const {
  return loadWith(model, workers) * growth(model);
}

double PlacementRound::keptLoadWith(const std::string& model, std::uint32_t workers) const {
  const double load = loadWith(model, workers) * std::max(1.0, growth(model));
  if (requestMeans_ == nullptr) {
    return load;
  }
  const auto mean = requestMeans_->find(model);
  const double slots = std::max(1.0, static_cast<double>(engine_.slots) * workers);
  return mean == requestMeans_->end() ? load : std::max(load, mean->second.value() / slots);
}

bool PlacementRound::hasNearCopy(const std::string& model) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const PlacementWorker& worker) {
    return worker.serving && worker.canLoadModels && worker.holdings.find(model) == nullptr &&
           worker.loadingModel != model && tier(worker, model) != WeightTier::store;
  });
}

/// The requests that would be lost while the unload waits for its running requests, and until a
/// replica serves again, count as cost. They are lost only if the other replicas have no room.
double PlacementRound::demandCost(const PlacementWorker& worker, const std::string& model,
                                  double takerLoad) const {
  const Replicas counts = replicas(model);
  const std::uint32_t remaining = counts.serving > 0 ? counts.serving - 1 : 0;
  // Without another replica, the load of this one shows the demand.
  const double kept = keptLoadWith(model, std::max(remaining, 1U));
  if (kept <= kScaleOutShare) {
    return 0;
  }
  // Below half of the slots the others can still take its requests, at the cost below. Rarely used
  // models need places, too.
  if (kept > kFullShare && takerLoad < kTakingFactor * kept) {
    return kProtectedCost;
  }
  const catalog::ModelSpec* modelSpec = spec(model);
  const base::Duration load =
      modelSpec == nullptr
          ? base::Duration::zero()
          : (isOnDisk(worker, model) ? modelSpec->diskLoadTime : modelSpec->storeLoadTime);
  const double replicaCount = std::max(counts.serving, 1U);
  // Rate x mean run time = running requests.
  return (counts.running + figures(model).rate * seconds(load + kReloadOverhead)) / replicaCount;
}

}  // namespace walnut::registry
