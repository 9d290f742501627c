#include "registry/placement.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

#include "registry/cold_load_benefit.h"
#include "registry/placement_round.h"

namespace walnut::registry {

namespace {

using catalog::ModelSpec;

/// Capacity that was freed for a model and not used in this time is no longer reserved for it.
constexpr base::Duration kReservationLifetime = std::chrono::seconds(5);
/// Cost difference in seconds by which another worker must be better to replace the one where
/// capacity is being freed: about the time of an unload and of its notification.
constexpr double kReservationAdvantage = 0.5;
/// Factor on a model's arrival rate in the sort order of candidates if it has two replicas or more.
constexpr double kFurtherReplicaRateShare = 0.1;
/// Cost in seconds that a further replica is worth, for each arrival per second.
constexpr double kFurtherReplicaBenefit = 6.0;
/// Cost in seconds that a replica is worth at most if requests wait for it. It allows unloading any
/// model except one that requests wait for.
constexpr double kUrgentReplicaBenefit = 1000.0;
/// Least number of requests queued at a model's workers that counts as a queue. A single one may
/// only be a late notification.
constexpr double kMinQueuedRequests = 2.0;
/// Cost in seconds of a load from the store, while models without a copy need it, of a cold model
/// that a worker could load from its disk instead: so much later a load from disk may end.
constexpr double kCopiedModelStoreCost = 8.0;
/// Time between the end of an order and the acceptance of the next: notification and planning.
constexpr double kOrderGapSeconds = 0.1;

/// @name Models that come too late for the callers that wait
/// @{
/// Gateways are notified of a model that takes this long: callers wait for a stream at least as
/// long.
constexpr base::Duration kForecastThreshold = std::chrono::seconds(2);
/// Time after the last request for a late model until it is no longer to be loaded.
constexpr base::Duration kLateModelRetention = std::chrono::seconds(20);
/// @}

/// @name Models that stay unserved although requests keep coming
/// @{
/// Time from which an unserved model counts as starved, longer than a load from disk takes. It is
/// to be loaded also between two requests, while these come no further apart than the second time.
constexpr base::Duration kStarvedAfter = std::chrono::seconds(4);
constexpr base::Duration kStarvedRequestGap = std::chrono::seconds(10);
/// @}

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

std::string_view placementReasonName(PlacementReason reason) {
  switch (reason) {
    case PlacementReason::neighbour:
      return "neighbour";
    case PlacementReason::spare:
      return "spare";
    case PlacementReason::rising:
      return "rising";
    case PlacementReason::queueing:
      return "queueing";
    case PlacementReason::cold:
      return "cold";
  }
  return "unknown";
}

std::vector<PlacementStep> PlacementPolicy::plan(
    const catalog::EngineSpec& engine, const std::vector<PlacementWorker>& workers,
    const DemandBook& demand, StoreScheduler& store, base::TimePoint now,
    const std::set<std::string>& postponed, const std::map<std::string, std::uint32_t>& outside) {
  PlacementRound round(engine, workers, demand, store, service_, now);
  round.addUnplannedWorkers(outside);
  if (replicasAreSlowToAdd_) {
    round.lookAhead(requestMeans_);
    updateFullModels(round);
  } else {
    fullModels_.clear();
    keepsWorkersForFullModels_ = false;
  }
  queued_.clear();
  outlook_.clear();
  previousStoreQueue_ = std::exchange(storeQueue_, 0);
  contenders_.clear();
  dropExpiredReservations(round);
  dropOutdatedLateModels(round);
  // Adapters come first: their load takes some milliseconds, that of a model takes seconds during
  // which its worker can load no adapter.
  placeAdapters(round);
  std::vector<Candidate> candidates = findCandidates(round);
  std::erase_if(candidates, [&postponed](const Candidate& candidate) {
    return postponed.count(candidate.model) != 0;
  });
  dropOutdatedDecisions(candidates);
  storeIsScarce_ = !store.hasFullBurst() && round.hasUnservedModelWithoutCopy(postponed);
  for (const Candidate& candidate : candidates) {
    placeReplica(round, candidate);
  }
  if (replicasAreSlowToAdd_) {
    placeStoreLoads(round);
  }
  moveNeighbours(round);
  recordLateLoads(round);
  return round.takeSteps();
}

/// Removes late models that are served again or have not been requested lately.
void PlacementPolicy::dropOutdatedLateModels(const PlacementRound& round) {
  std::erase_if(lateModels_, [&round](const auto& entry) {
    const base::TimePoint lastAsked = round.figures(entry.first).lastArrival;
    return round.replicas(entry.first).serving > 0 ||
           round.now() >= lastAsked + kLateModelRetention;
  });
}

void PlacementPolicy::recordLateModel(const PlacementRound& round, LateModelForecast forecast) {
  if (forecast.availableIn < kForecastThreshold) {
    return;
  }
  lateModels_.try_emplace(forecast.model, round.now());
  if (replicasAreSlowToAdd_) {
    // The order hardly changes while a load takes longer than callers wait.
    forecast.shortestWait = base::Duration::zero();
  }
  outlook_.push_back(std::move(forecast));
}

/// Records a cold model as late if it is loaded from the store, which takes long. Callers wait for
/// models that are loaded from disk or host memory.
void PlacementPolicy::recordIfLate(const PlacementRound& round, const Candidate& candidate,
                                   const Choice& choice, PlacementOutcome outcome) {
  if (candidate.reason != PlacementReason::cold || !choice.fromStore) {
    const bool isAhead = replicasAreSlowToAdd_ && outcome == PlacementOutcome::waitsForStore;
    storeQueue_ += isAhead ? 1 : 0;
    return;
  }
  const base::Duration load = round.spec(candidate.model)->storeLoadTime;
  if (outcome == PlacementOutcome::waitsForStore) {
    const base::Duration wait = round.store().expectedWait(round.now(), storeQueue_++, load);
    const base::Duration shortestWait = round.store().shortestWait(round.now());
    recordLateModel(round, {candidate.model, wait + load, shortestWait + load});
  } else {
    const bool isLoading = outcome == PlacementOutcome::loadOrdered;
    recordLateModel(round, {candidate.model, load, isLoading ? base::Duration::zero() : load});
  }
}

/// Records the expected time of models whose first replica is being loaded.
void PlacementPolicy::recordLateLoads(const PlacementRound& round) {
  std::map<std::string, base::Duration> arrivals;
  for (const PlacementWorker& worker : round.workers()) {
    if (worker.serving && worker.loadingModel &&
        round.replicas(*worker.loadingModel).serving == 0) {
      const auto [found, added] =
          arrivals.try_emplace(*worker.loadingModel, worker.remainingOrderTime);
      found->second = std::min(found->second, worker.remainingOrderTime);
    }
  }
  for (const auto& [model, availableIn] : arrivals) {
    if (lateModels_.count(model) != 0 || round.figures(model).waiting > 0) {
      recordLateModel(round, {model, availableIn, base::Duration::zero()});
    }
  }
}

void PlacementPolicy::dropExpiredReservations(const PlacementRound& round) {
  std::erase_if(reservations_, [&round](const auto& entry) {
    return round.now() - entry.second.since > kReservationLifetime;
  });
}

/// @return the models that should get another replica, the most important first.
std::vector<PlacementPolicy::Candidate> PlacementPolicy::findCandidates(
    const PlacementRound& round) const {
  std::vector<Candidate> candidates;
  for (const ModelSpec& model : round.engine().models) {
    if (std::optional<Candidate> candidate = findCandidate(round, model.name)) {
      candidates.push_back(std::move(*candidate));
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& left, const Candidate& right) {
              return std::make_tuple(left.isUrgent(), left.benefit) >
                     std::make_tuple(right.isUrgent(), right.benefit);
            });
  return candidates;
}

std::optional<PlacementPolicy::Candidate> PlacementPolicy::findCandidate(
    const PlacementRound& round, const std::string& model) const {
  const DemandFigures figures = round.figures(model);
  const PlacementRound::Replicas replicas = round.replicas(model);
  const std::string version = round.versionToAdd(model);
  if (replicas.present == 0 || !version.empty()) {
    // Requests wait now, or would wait if their callers had not been turned away.
    const bool isStarved = figures.unservedTime >= kStarvedAfter &&
                           round.now() < figures.lastArrival + kStarvedRequestGap;
    if (figures.waiting == 0 && lateModels_.count(model) == 0 && !isStarved) {
      return std::nullopt;
    }
    const ModelSpec& spec = *round.spec(model);
    const base::Duration load = replicas.copies > 0 ? spec.diskLoadTime : spec.storeLoadTime;
    return Candidate{coldLoadBenefit(figures, load, round.now()), model, PlacementReason::cold,
                     false, version};
  }
  const double replicasBeingLoaded = static_cast<double>(replicas.present - replicas.serving);
  const double excessQueue =
      replicas.queued - replicasBeingLoaded * static_cast<double>(round.engine().slots);
  if (excessQueue >= kMinQueuedRequests) {
    return Candidate{figures.rate + excessQueue, model, PlacementReason::queueing};
  }
  return findFurtherReplica(round, model);
}

/// Without a look ahead, the expected load is the present one.
std::optional<PlacementPolicy::Candidate> PlacementPolicy::findFurtherReplica(
    const PlacementRound& round, const std::string& model) const {
  const DemandFigures figures = round.figures(model);
  const std::uint32_t present = round.replicas(model).present;
  const bool needsSecondReplica = present == 1 && figures.rate >= kSecondReplicaRate;
  const double load = round.loadWith(model, present);
  const double expectedLoad = round.expectedLoadWith(model, present);
  if (!needsSecondReplica && expectedLoad <= kScaleOutShare) {
    return std::nullopt;
  }
  const double share = present >= 2 ? kFurtherReplicaRateShare : 1.0;
  const bool rises = expectedLoad > load && expectedLoad > kScaleOutShare;
  Candidate candidate{share * figures.rate, model,
                      rises ? PlacementReason::rising : PlacementReason::spare};
  if (round.looksAhead() && expectedLoad > kFullShare && round.hasNearCopy(model)) {
    candidate.needsNearCopy = true;
    candidate.benefit = figures.rate;
  }
  return candidate;
}

bool PlacementPolicy::isFree(const PlacementRound& round, const PlacementWorker& worker) {
  return round.canOrder(worker) && !worker.loadingModel && !worker.unloadingModel;
}

PlacementOutcome PlacementPolicy::decideOutcome(const PlacementRound& round, const Choice& choice,
                                                double benefit, bool storeAllows) {
  if (choice.worker == nullptr) {
    return PlacementOutcome::noWorker;
  }
  if (choice.cost >= benefit) {
    return PlacementOutcome::tooCostly;
  }
  if (choice.fromStore && !storeAllows) {
    return PlacementOutcome::waitsForStore;
  }
  if (!isFree(round, *choice.worker)) {
    return PlacementOutcome::waitsForWorker;
  }
  if (choice.unloadPlan.hasEndingRequests) {
    return PlacementOutcome::waitsForRequests;
  }
  return choice.unloadPlan.unloads.empty() ? PlacementOutcome::loadOrdered
                                           : PlacementOutcome::unloadOrdered;
}

void PlacementPolicy::placeReplica(PlacementRound& round, Candidate candidate) {
  Choice choice = choose(round, candidate);
  if (candidate.needsNearCopy && choice.cost >= kUrgentReplicaBenefit) {
    candidate.needsNearCopy = false;  // No such worker is free: any other may do.
    choice = choose(round, candidate);
  }
  const double benefit = benefitOf(round, candidate);
  const PlacementOutcome outcome = decideOutcome(round, choice, benefit, round.store().allows());
  if (!replicasAreSlowToAdd_ || !competesForStore(round, candidate, choice, outcome)) {
    settle(round, candidate, choice, benefit, outcome);
  }
}

double PlacementPolicy::benefitOf(const PlacementRound& round, const Candidate& candidate) {
  return candidate.isUrgent() ? kUrgentReplicaBenefit
                              : kFurtherReplicaBenefit * round.figures(candidate.model).rate;
}

/// Records the decision on a candidate and orders its first step.
void PlacementPolicy::settle(PlacementRound& round, const Candidate& candidate,
                             const Choice& choice, double benefit, PlacementOutcome outcome) {
  recordDecision(round, candidate, choice, benefit, outcome);
  recordIfLate(round, candidate, choice, outcome);
  switch (outcome) {
    case PlacementOutcome::noWorker:
    case PlacementOutcome::tooCostly:
    case PlacementOutcome::waitsForStore:
      return;
    case PlacementOutcome::loadOrdered:
    case PlacementOutcome::unloadOrdered:
      orderFirstStep(round, candidate, choice);
      break;
    case PlacementOutcome::waitsForWorker:
    case PlacementOutcome::waitsForRequests:
      break;
  }
  const ModelSpec& model = *round.spec(candidate.model);
  const WeightTier tier = round.tier(*choice.worker, candidate.model);
  queued_[choice.worker->id] += kOrderGapSeconds + seconds(PlacementRound::loadTime(tier, model));
}

void PlacementPolicy::recordDecision(const PlacementRound& round, const Candidate& candidate,
                                     const Choice& choice, double benefit,
                                     PlacementOutcome outcome) {
  const std::pair<PlacementReason, PlacementOutcome> present(candidate.reason, outcome);
  const bool isOrdered =
      outcome == PlacementOutcome::loadOrdered || outcome == PlacementOutcome::unloadOrdered;
  const auto [lastDecision, added] = lastDecisions_.try_emplace(candidate.model, present);
  if (!isOrdered && !added && lastDecision->second == present) {
    return;
  }
  lastDecision->second = present;
  const DemandFigures figures = round.figures(candidate.model);
  const PlacementRound::Replicas replicas = round.replicas(candidate.model);
  PlacementDecision decision;
  decision.model = candidate.model;
  decision.reason = candidate.reason;
  decision.outcome = outcome;
  decision.waiting = figures.waiting;
  decision.unservedRequests = figures.unservedRequests;
  decision.queued = replicas.queued;
  decision.rate = figures.rate;
  decision.replicas = replicas.present;
  decision.copies = replicas.copies;
  decision.storeQueue = previousStoreQueue_;
  decision.storeIsScarce = storeIsScarce_;
  decision.benefit = benefit;
  if (choice.worker != nullptr) {
    decision.worker = choice.worker->id;
    decision.victim =
        choice.unloadPlan.unloads.empty() ? std::string() : choice.unloadPlan.unloads.front();
    decision.cost = choice.cost;
    decision.fromStore = choice.fromStore;
  }
  decisions_.push_back(std::move(decision));
}

/// Removes the recorded decisions on models that need no replica now, so that a later decision is
/// recorded again.
void PlacementPolicy::dropOutdatedDecisions(const std::vector<Candidate>& candidates) {
  std::set<std::string_view> models;
  for (const Candidate& candidate : candidates) {
    models.insert(candidate.model);
  }
  std::erase_if(lastDecisions_,
                [&models](const auto& entry) { return models.count(entry.first) == 0; });
}

/// @return the cost of a worker being unable to take other orders for that long: loads reach a
/// worker at the current rate, and each waits for half of that time on average.
double PlacementPolicy::blockCost(const PlacementRound& round, base::Duration duration) const {
  const double workers = std::max<double>(1.0, static_cast<double>(round.workers().size()));
  const double blocked = seconds(duration);
  constexpr double kMeanWaitShare = 0.5;
  return loadRate_.perSecond(round.now()) / workers * blocked * blocked * kMeanWaitShare;
}

/// @return the cost to other models of loading from the store a model that some disk already has:
/// each model that waits for the store waits one load longer. While the store is scarce, its loads
/// are kept for models without a copy.
double PlacementPolicy::storeCost(const PlacementRound& round, const ModelSpec& model,
                                  PlacementReason reason) const {
  if (replicasAreSlowToAdd_) {
    return slowStoreCost(round, model);
  }
  if (round.replicas(model.name).copies == 0) {
    return 0;
  }
  if (storeIsScarce_ && reason == PlacementReason::spare) {
    return std::numeric_limits<double>::infinity();
  }
  if (storeIsScarce_ && reason == PlacementReason::cold) {
    return kCopiedModelStoreCost;
  }
  const double perSecond = round.engine().storeLoadsPerSecond;
  const double concurrentLoads =
      static_cast<double>(std::max<std::size_t>(1, round.store().limit()));
  const double interval =
      std::max(perSecond > 0 ? 1 / perSecond : 0, seconds(model.storeLoadTime) / concurrentLoads);
  return static_cast<double>(previousStoreQueue_) * interval;
}

bool PlacementPolicy::mayTake(const PlacementRound& round, const PlacementWorker& worker,
                              const Candidate& candidate) const {
  // A model with replicas needs capacity rather than a particular worker.
  const bool needsFreeWorker =
      candidate.reason == PlacementReason::queueing || candidate.needsNearCopy;
  return worker.serving && worker.canLoadModels &&
         worker.holdings.find(candidate.model) == nullptr &&
         (candidate.softwareVersion.empty() ||
          worker.softwareVersion == candidate.softwareVersion) &&
         (!needsFreeWorker || isFree(round, worker)) && !isKeptForFullModel(worker) &&
         (!candidate.needsNearCopy || round.tier(worker, candidate.model) != WeightTier::store);
}

/// @return the worker where the model would serve soonest at the least cost to other models.
PlacementPolicy::Choice PlacementPolicy::choose(PlacementRound& round,
                                                const Candidate& candidate) const {
  const std::string& name = candidate.model;
  const ModelSpec& model = *round.spec(name);
  const bool needsFreeWorker =
      candidate.reason == PlacementReason::queueing || candidate.needsNearCopy;
  const double storeWait = seconds(round.store().expectedWait(round.now())) +
                           storeCost(round, model, candidate.storeReason());
  const double takerLoad = round.expectedLoadWith(name, round.replicas(name).present);
  const auto reservation = reservations_.find(name);
  Choice best;
  for (const PlacementWorker& worker : round.workers()) {
    if (!mayTake(round, worker, candidate)) {
      continue;
    }
    const auto queued = queued_.find(worker.id);
    const WeightTier tier = round.tier(worker, name);
    const double load =
        round.engine().slots == 0 ? 0 : static_cast<double>(worker.running) / round.engine().slots;
    double cost = seconds(worker.remainingOrderTime) +
                  (queued == queued_.end() ? 0 : queued->second) +
                  seconds(PlacementRound::loadTime(tier, model)) + load +
                  (tier == WeightTier::store ? storeWait : 0) + round.adapterBlockCost(worker) +
                  blockCost(round, PlacementRound::loadTime(tier, model));
    if (reservation != reservations_.end() && reservation->second.worker == worker.id) {
      cost -= kReservationAdvantage;
    }
    if (cost >= best.cost) {
      continue;
    }
    UnloadPlan unloadPlan = round.planUnloads(worker, model.weightsMegabytes, takerLoad);
    cost += unloadPlan.cost;
    if (cost < best.cost && !(needsFreeWorker && unloadPlan.hasEndingRequests)) {
      best = {&worker, cost, std::move(unloadPlan), tier == WeightTier::store};
    }
  }
  return best;
}

void PlacementPolicy::orderFirstStep(PlacementRound& round, const Candidate& candidate,
                                     const Choice& choice) {
  const std::string& name = candidate.model;
  const PlacementWorker& worker = *choice.worker;
  if (!choice.unloadPlan.unloads.empty()) {
    reservations_[name] = {worker.id, round.now()};
    round.order({worker.id,
                 OrderOperation::unload,
                 choice.unloadPlan.unloads.front(),
                 {},
                 false,
                 candidate.reason});
    return;
  }
  reservations_.erase(name);
  loadRate_.count(round.now());
  if (choice.fromStore) {
    round.store().recordOrdered(worker.id, round.spec(name)->storeLoadTime, round.now());
  }
  round.order({worker.id, OrderOperation::load, name, {}, choice.fromStore, candidate.reason});
}

}  // namespace walnut::registry
