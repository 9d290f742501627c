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

/// Room that was made and not used in this time is no longer kept for its model.
constexpr base::Duration kWakeLifetime = std::chrono::seconds(5);
/// How much better another worker must be, in seconds, to be taken in place of the one where room
/// is being made: about an unload and the way of its news.
constexpr double kWakeCommitment = 0.5;
/// Arrivals a second from which a model is held by two workers.
constexpr double kSecondReplicaRate = 0.6;
/// Of a model's rate, in the order of wants, if it has two replicas or more.
constexpr double kCrowdedShare = 0.1;
/// Seconds of cost that a further replica is worth, for each arrival a second.
constexpr double kSecondReplicaWorth = 6.0;
/// Seconds of cost that a replica is worth at most for which requests wait: anything but one that
/// is waited for itself makes room.
constexpr double kUrgentReplicaWorth = 1000.0;
/// Requests that wait at the workers of a model from which they count as a queue: one alone may
/// only be news that is late.
constexpr double kLeastQueue = 2.0;
/// Between the end of one order and the acceptance of the next: news and planning.
constexpr double kOrderGapSeconds = 0.1;

/// @name Models that come too late for those who wait
/// @{
/// Callers are told of a model that takes longer than this: what comes from a disk takes 1 to 2 s,
/// and some time until its worker is free.
constexpr base::Duration kLeastLate = std::chrono::seconds(4);
/// After its last request a late model is wanted no more.
constexpr base::Duration kLateLasts = std::chrono::seconds(20);
/// @}

/// @name Models that are asked for and get no answer, however long they are asked for
/// @{
/// Beyond what a load from a disk takes; such a model is wanted also between two of its requests,
/// while they come at least this often.
constexpr base::Duration kStarvedAfter = std::chrono::seconds(4);
constexpr base::Duration kStarvedLasts = std::chrono::seconds(10);
/// @}

/// @return how much a load of a cold model brings: those who wait now and come next, for each
/// request that was in vain, so that no model is put off again and again for busier ones.
double coldWorth(const DemandFigures& figures) {
  // A leader that is new has not heard of those that waited already.
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
  // An adapter takes some ms, a model seconds in which its worker takes no adapter.
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

/// A model that is served again, or that nobody has asked for lately, is not late any more.
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

/// What comes from the store takes long; what comes from elsewhere is waited for.
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

/// Models that are on their way to their first worker.
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

/// @return the models that should have another replica, the most wanted first.
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
    // What waits now, and what would wait if it were not there.
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

/// A model that is wanted again later is noted again.
void PlacementPolicy::forgetNotes(const std::vector<Want>& wanted) {
  std::set<std::string_view> models;
  for (const Want& want : wanted) {
    models.insert(want.model);
  }
  std::erase_if(noted_, [&models](const auto& entry) { return models.count(entry.first) == 0; });
}

/// @return what it costs that a worker can take no other order for that long: of the loads that
/// come to a worker at the present rate, each would wait for half of it.
double PlacementPolicy::blockCost(const PlacementRound& round, base::Duration duration) const {
  const double workers = std::max<double>(1.0, static_cast<double>(round.workers().size()));
  const double blocked = seconds(duration);
  constexpr double kMeanRest = 0.5;
  return loadRate_.perSecond(round.now()) / workers * blocked * blocked * kMeanRest;
}

/// @return what it costs others that a model is taken from the store which a disk has: each model
/// that waits for the store waits until its next load.
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

/// @return where the model would serve soonest at the least cost to others.
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
