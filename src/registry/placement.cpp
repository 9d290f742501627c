#include "registry/placement.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

#include "registry/placement_round.h"

namespace walnut::registry {

namespace {

using catalog::ModelSpec;

/// Capacity that was freed for a model and not used in this time is no longer reserved for it.
constexpr base::Duration kWakeLifetime = std::chrono::seconds(5);
/// Cost difference in seconds by which another worker must be better to replace the one where
/// capacity is being freed: about the time of an unload and of its notification.
constexpr double kWakeCommitment = 0.5;
/// Arrivals per second from which a model gets a second replica.
constexpr double kSecondReplicaRate = 0.6;
/// Factor on a model's arrival rate in the sort order of candidates if it has two replicas or more.
constexpr double kCrowdedShare = 0.1;
/// Cost in seconds that a further replica is worth, for each arrival per second.
constexpr double kSecondReplicaWorth = 6.0;
/// Cost in seconds that a replica is worth at most if requests wait for it. It allows unloading any
/// model except one that requests wait for.
constexpr double kUrgentReplicaWorth = 1000.0;
/// Least number of requests queued at a model's workers that counts as a queue. A single one may
/// only be a late notification.
constexpr double kLeastQueue = 2.0;
/// Time between the end of an order and the acceptance of the next: notification and planning.
constexpr double kOrderGapSeconds = 0.1;

/// @name Models that come too late for the callers that wait
/// @{
/// Callers are notified of a model that takes longer than this. A load from disk takes 1 to 2 s,
/// plus the time until its worker is free.
constexpr base::Duration kLeastLate = std::chrono::seconds(4);
/// Time after the last request for a late model until it is no longer to be loaded.
constexpr base::Duration kLateLasts = std::chrono::seconds(20);
/// @}

/// @name Models that stay unserved although requests keep coming
/// @{
/// Time from which an unserved model counts as starved, longer than a load from disk takes. It is
/// to be loaded also between two requests, while these come no further apart than the second time.
constexpr base::Duration kStarvedAfter = std::chrono::seconds(4);
constexpr base::Duration kStarvedLasts = std::chrono::seconds(10);
/// @}

/// @return the benefit of loading a cold model: the waiting and expected requests, multiplied by
/// the number of unserved ones, so that busier models can't put it off again and again.
double coldWorth(const DemandFigures& figures) {
  // A new leader has received no counts of the requests that were already waiting.
  const std::uint32_t inVain = std::max(figures.unanswered, figures.waiting);
  return inVain * (figures.rate + figures.waiting);
}

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

std::vector<PlacementStep> PlacementPolicy::plan(
    const catalog::EngineSpec& engine, const std::vector<PlacementWorker>& workers,
    const DemandBook& demand, StoreScheduler& store, base::TimePoint now,
    const std::set<std::string>& postponed, const std::map<std::string, std::uint32_t>& outside) {
  PlacementRound round(engine, workers, demand, store, service_, now);
  round.addOutside(outside);
  queued_.clear();
  outlook_.clear();
  storeQueueBefore_ = std::exchange(storeQueue_, 0);
  dropEndedWakes(round);
  forgetLate(round);
  // Adapters come first: their load takes some milliseconds, that of a model takes seconds during
  // which its worker can load no adapter.
  placeAdapters(round);
  std::vector<Want> wanted = wants(round);
  std::erase_if(wanted,
                [&postponed](const Want& want) { return postponed.count(want.model) != 0; });
  forgetNotes(wanted);
  for (const Want& want : wanted) {
    wake(round, want);
  }
  lookOutForArrivals(round);
  return round.takeSteps();
}

/// Removes late models that are served again or have not been requested lately.
void PlacementPolicy::forgetLate(const PlacementRound& round) {
  std::erase_if(late_, [&round](const auto& entry) {
    const base::TimePoint lastAsked = round.figures(entry.first).lastArrival;
    return round.replicas(entry.first).serving > 0 || round.now() >= lastAsked + kLateLasts;
  });
}

void PlacementPolicy::noteLate(const PlacementRound& round, const std::string& model,
                               base::Duration availableIn) {
  if (availableIn >= kLeastLate) {
    late_.try_emplace(model, round.now());
    outlook_.push_back({model, availableIn});
  }
}

/// Records a cold model as late if it is loaded from the store, which takes long. Callers wait for
/// models that are loaded from disk or host memory.
void PlacementPolicy::lookOut(const PlacementRound& round, const Want& want, const Choice& choice,
                              WantOutcome outcome) {
  if (want.reason != WantReason::cold || !choice.fromStore) {
    return;
  }
  const base::Duration load = round.spec(want.model)->storeLoadTime;
  if (outcome == WantOutcome::waitsForStore) {
    noteLate(round, want.model,
             round.store().expectedWait(round.now(), storeQueue_++, load) + load);
  } else {
    noteLate(round, want.model, load);
  }
}

/// Records the expected time of models whose first replica is being loaded.
void PlacementPolicy::lookOutForArrivals(const PlacementRound& round) {
  std::map<std::string, base::Duration> arrivals;
  for (const PlacementWorker& worker : round.workers()) {
    if (worker.serving && worker.arriving && round.replicas(*worker.arriving).serving == 0) {
      const auto [found, added] = arrivals.try_emplace(*worker.arriving, worker.busyFor);
      found->second = std::min(found->second, worker.busyFor);
    }
  }
  for (const auto& [model, availableIn] : arrivals) {
    if (late_.count(model) != 0 || round.figures(model).waiting > 0) {
      noteLate(round, model, availableIn);
    }
  }
}

void PlacementPolicy::dropEndedWakes(const PlacementRound& round) {
  std::erase_if(wakes_, [&round](const auto& entry) {
    return round.now() - entry.second.since > kWakeLifetime;
  });
}

/// @return the models that should get another replica, the most important first.
std::vector<PlacementPolicy::Want> PlacementPolicy::wants(const PlacementRound& round) const {
  std::vector<Want> wanted;
  for (const ModelSpec& model : round.engine().models) {
    if (std::optional<Want> want = wantOf(round, model.name)) {
      wanted.push_back(std::move(*want));
    }
  }
  std::sort(wanted.begin(), wanted.end(), [](const Want& left, const Want& right) {
    return std::make_tuple(left.urgent(), left.worth) >
           std::make_tuple(right.urgent(), right.worth);
  });
  return wanted;
}

std::optional<PlacementPolicy::Want> PlacementPolicy::wantOf(const PlacementRound& round,
                                                             const std::string& model) const {
  const DemandFigures figures = round.figures(model);
  const PlacementRound::Replicas replicas = round.replicas(model);
  if (replicas.present == 0) {
    // Requests wait now, or would wait if their callers had not been turned away.
    const bool starved =
        figures.unansweredFor >= kStarvedAfter && round.now() < figures.lastArrival + kStarvedLasts;
    if (figures.waiting == 0 && late_.count(model) == 0 && !starved) {
      return std::nullopt;
    }
    return Want{coldWorth(figures), model, WantReason::cold};
  }
  const double coming = static_cast<double>(replicas.present - replicas.serving);
  const double unserved = replicas.queued - coming * static_cast<double>(round.engine().slots);
  if (unserved >= kLeastQueue) {
    return Want{figures.rate + unserved, model, WantReason::queueing};
  }
  const bool alone = replicas.present == 1 && figures.rate >= kSecondReplicaRate;
  const bool crowded = round.loadWith(model, replicas.present) > kScaleOutShare;
  if (!alone && !crowded) {
    return std::nullopt;
  }
  const double share = replicas.present >= 2 ? kCrowdedShare : 1.0;
  return Want{share * figures.rate, model, WantReason::spare};
}

bool PlacementPolicy::isFree(const PlacementRound& round, const PlacementWorker& worker) {
  return round.mayOrder(worker) && !worker.arriving && !worker.retiring;
}

WantOutcome PlacementPolicy::outcomeOf(const PlacementRound& round, const Choice& choice,
                                       double worth) {
  if (choice.worker == nullptr) {
    return WantOutcome::noWorker;
  }
  if (choice.cost >= worth) {
    return WantOutcome::notWorth;
  }
  if (choice.fromStore && !round.store().allows()) {
    return WantOutcome::waitsForStore;
  }
  if (!isFree(round, *choice.worker)) {
    return WantOutcome::waitsForWorker;
  }
  if (choice.room.waits) {
    return WantOutcome::waitsForUse;
  }
  return choice.room.unloads.empty() ? WantOutcome::loaded : WantOutcome::roomMade;
}

void PlacementPolicy::wake(PlacementRound& round, const Want& want) {
  const Choice choice = choose(round, want);
  const double worth =
      want.urgent() ? kUrgentReplicaWorth : kSecondReplicaWorth * round.figures(want.model).rate;
  const WantOutcome outcome = outcomeOf(round, choice, worth);
  note(round, want, choice, worth, outcome);
  lookOut(round, want, choice, outcome);
  switch (outcome) {
    case WantOutcome::noWorker:
    case WantOutcome::notWorth:
    case WantOutcome::waitsForStore:
      return;
    case WantOutcome::loaded:
    case WantOutcome::roomMade:
      carryOut(round, want.model, choice);
      break;
    case WantOutcome::waitsForWorker:
    case WantOutcome::waitsForUse:
      break;
  }
  const ModelSpec& model = *round.spec(want.model);
  const WeightTier tier = round.tier(*choice.worker, want.model);
  queued_[choice.worker->id] += kOrderGapSeconds + seconds(PlacementRound::loadTime(tier, model));
}

void PlacementPolicy::note(const PlacementRound& round, const Want& want, const Choice& choice,
                           double worth, WantOutcome outcome) {
  const std::pair<WantReason, WantOutcome> present(want.reason, outcome);
  const bool ordered = outcome == WantOutcome::loaded || outcome == WantOutcome::roomMade;
  const auto [noted, added] = noted_.try_emplace(want.model, present);
  if (!ordered && !added && noted->second == present) {
    return;
  }
  noted->second = present;
  const DemandFigures figures = round.figures(want.model);
  const PlacementRound::Replicas replicas = round.replicas(want.model);
  PlacementDecision decision;
  decision.model = want.model;
  decision.reason = want.reason;
  decision.outcome = outcome;
  decision.waiting = figures.waiting;
  decision.unanswered = figures.unanswered;
  decision.queued = replicas.queued;
  decision.rate = figures.rate;
  decision.replicas = replicas.present;
  decision.worth = worth;
  if (choice.worker != nullptr) {
    decision.worker = choice.worker->id;
    decision.victim = choice.room.unloads.empty() ? std::string() : choice.room.unloads.front();
    decision.cost = choice.cost;
    decision.fromStore = choice.fromStore;
  }
  decisions_.push_back(std::move(decision));
}

/// Removes the recorded decisions on models that need no replica now, so that a later decision is
/// recorded again.
void PlacementPolicy::forgetNotes(const std::vector<Want>& wanted) {
  std::set<std::string_view> models;
  for (const Want& want : wanted) {
    models.insert(want.model);
  }
  std::erase_if(noted_, [&models](const auto& entry) { return models.count(entry.first) == 0; });
}

/// @return the cost of a worker being unable to take other orders for that long: loads reach a
/// worker at the current rate, and each waits for half of that time on average.
double PlacementPolicy::blockCost(const PlacementRound& round, base::Duration duration) const {
  const double workers = std::max<double>(1.0, static_cast<double>(round.workers().size()));
  const double blocked = seconds(duration);
  constexpr double kMeanRest = 0.5;
  return loadRate_.perSecond(round.now()) / workers * blocked * blocked * kMeanRest;
}

/// @return the cost to other models of loading from the store a model that some disk already has:
/// each model that waits for the store waits one load longer.
double PlacementPolicy::storeCost(const PlacementRound& round, const ModelSpec& model) const {
  if (round.replicas(model.name).copies == 0) {
    return 0;
  }
  const double perSecond = round.engine().storeLoadsPerSecond;
  const double atOnce = static_cast<double>(std::max<std::size_t>(1, round.store().limit()));
  const double interval =
      std::max(perSecond > 0 ? 1 / perSecond : 0, seconds(model.storeLoadTime) / atOnce);
  return static_cast<double>(storeQueueBefore_) * interval;
}

/// @return the worker where the model would serve soonest at the least cost to other models.
PlacementPolicy::Choice PlacementPolicy::choose(PlacementRound& round, const Want& want) const {
  const std::string& name = want.model;
  const ModelSpec& model = *round.spec(name);
  const bool atOnce = want.reason == WantReason::queueing;
  const double storeWait =
      seconds(round.store().expectedWait(round.now())) + storeCost(round, model);
  const auto begun = wakes_.find(name);
  Choice best;
  for (const PlacementWorker& worker : round.workers()) {
    if (!worker.serving || !worker.mayLoad || worker.holdings.find(name) != nullptr ||
        (atOnce && !isFree(round, worker))) {
      continue;
    }
    const auto queued = queued_.find(worker.id);
    const WeightTier tier = round.tier(worker, name);
    const double load =
        round.engine().slots == 0 ? 0 : static_cast<double>(worker.running) / round.engine().slots;
    double cost = seconds(worker.busyFor) + (queued == queued_.end() ? 0 : queued->second) +
                  seconds(PlacementRound::loadTime(tier, model)) + load +
                  (tier == WeightTier::store ? storeWait : 0) + round.adapterBlockCost(worker) +
                  blockCost(round, PlacementRound::loadTime(tier, model));
    if (begun != wakes_.end() && begun->second.worker == worker.id) {
      cost -= kWakeCommitment;
    }
    if (cost >= best.cost) {
      continue;
    }
    Room room = round.roomFor(worker, model.weightsMegabytes);
    cost += room.cost;
    if (cost < best.cost && !(atOnce && room.waits)) {
      best = {&worker, cost, std::move(room), tier == WeightTier::store};
    }
  }
  return best;
}

void PlacementPolicy::carryOut(PlacementRound& round, const std::string& name,
                               const Choice& choice) {
  const PlacementWorker& worker = *choice.worker;
  if (!choice.room.unloads.empty()) {
    wakes_[name] = {worker.id, round.now()};
    round.order({worker.id, OrderOperation::unload, choice.room.unloads.front(), {}, false});
    return;
  }
  wakes_.erase(name);
  loadRate_.count(round.now());
  if (choice.fromStore) {
    round.store().ordered(worker.id, round.spec(name)->storeLoadTime, round.now());
  }
  round.order({worker.id, OrderOperation::load, name, {}, choice.fromStore});
}

}  // namespace walnut::registry
