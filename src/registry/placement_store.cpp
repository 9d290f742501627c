/// @file
/// The part of the placement policy that gives the weight store's places where replicas are slow to
/// add.

#include <algorithm>
#include <utility>

#include "registry/placement.h"
#include "registry/placement_round.h"
#include "walnut/catalog/caller_timeout.h"

namespace walnut::registry {

namespace {

/// Time for which a new leader compares loads before it gives the first place: two intervals of the
/// gateways' demand reports. The first model requested would otherwise occupy the store for a whole
/// load time, whatever is requested next.
constexpr base::Duration kFirstComparison = std::chrono::seconds(1);
/// Longest time for which a place is held while a model is unloaded. An unload may wait for running
/// requests, and the store would be idle meanwhile.
constexpr base::Duration kLongestHold = std::chrono::seconds(5);
/// Time after which a load that was no longer wanted counts as newly wanted.
constexpr base::Duration kWaitMemory = std::chrono::seconds(5);
/// Time until the registry has heard that a caller has left.
constexpr base::Duration kReportDelay = std::chrono::milliseconds(600);

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// @return the time until the requests that wait have left.
base::Duration waitersStayFor(const DemandFigures& figures, base::Duration callerTimeout,
                              base::TimePoint now) {
  const base::TimePoint leavesAt = figures.lastArrival + callerTimeout;
  const bool waitsLonger = now > leavesAt + kReportDelay;
  if (waitsLonger && figures.waiting > 0) {
    return base::kNever - now;
  }
  return std::max(base::Duration::zero(), leavesAt - now);
}

}  // namespace

/// Adds the candidate to those whose loads are compared if it needs the store, or holds a place of
/// it while a model is unloaded.
/// @return false if the candidate has to be settled without the store.
bool PlacementPolicy::competesForStore(const PlacementRound& round, const Candidate& candidate,
                                       const Choice& choice, PlacementOutcome outcome) {
  if (!choice.fromStore && outcome == PlacementOutcome::loadOrdered) {
    return false;  // It is loaded from a disk or memory at once, also if it holds a place.
  }
  if (const PlacementWorker* worker = workerMakingRoom(round, candidate.model)) {
    contenders_.push_back({candidate, {worker, 0, {}, true}});
    return true;
  }
  if (!choice.fromStore || outcome == PlacementOutcome::noWorker ||
      outcome == PlacementOutcome::tooCostly) {
    return false;
  }
  contenders_.push_back({candidate, choice});
  return true;
}

/// @return the worker that unloads a model for this one, which holds a place of the store; nullptr
/// if there is none. Another worker would have to unload a model too.
const PlacementWorker* PlacementPolicy::workerMakingRoom(const PlacementRound& round,
                                                         const std::string& model) const {
  const auto held = roomMade_.find(model);
  const auto reservation = reservations_.find(model);
  if (held == roomMade_.end() || reservation == reservations_.end() ||
      round.now() >= held->second + kLongestHold) {
    return nullptr;
  }
  for (const PlacementWorker& worker : round.workers()) {
    if (worker.id == reservation->second.worker) {
      const bool isMakingRoom = worker.serving && !worker.loadingModel && !isFree(round, worker);
      return isMakingRoom ? &worker : nullptr;
    }
  }
  return nullptr;
}

/// @return the cost to other models of loading from the store a model that some disk already has:
/// the next load of the order starts later by one. Which load comes first is decided by the order.
double PlacementPolicy::slowStoreCost(const PlacementRound& round,
                                      const catalog::ModelSpec& model) const {
  if (round.replicas(model.name).copies == 0 || previousStoreQueue_ == 0) {
    return 0;
  }
  const double concurrentLoads =
      static_cast<double>(std::max<std::size_t>(1, round.store().limit()));
  return seconds(model.storeLoadTime) / concurrentLoads;
}

/// Starts the first loads of the order, as many as the store allows.
void PlacementPolicy::placeStoreLoads(PlacementRound& round) {
  updateStoreWaits(round);
  const bool mayGive = hasComparedStoreLoads(round);
  heldPlaces_ = 0;
  std::vector<RankedStoreLoad> order = rankContenders(round);
  for (std::size_t position = 0; position < order.size();) {
    const std::string& model = order[position].model;
    const auto contender = std::find_if(
        contenders_.begin(), contenders_.end(),
        [&model](const StoreContender& each) { return each.candidate.model == model; });
    const bool heldBefore = roomMade_.count(model) != 0;
    const bool given = placeStoreLoad(round, *contender, mayGive);
    contenders_.erase(contender);
    if (!given || heldBefore) {
      ++position;
      continue;
    }
    lastPlaceByWait_ = order[position].reason == StorePlaceReason::waitedLong;
    const bool isLast = position + 1 == order.size();
    storePlaces_.push_back({order[position], isLast ? RankedStoreLoad{} : order[position + 1]});
    // The next place may go by another rule.
    order = rankContenders(round);
    position = 0;
  }
}

/// Decides on one load, after those before it in the order.
/// @param mayGive false if no place may be given yet.
/// @return true if the load takes a place of the store.
bool PlacementPolicy::placeStoreLoad(PlacementRound& round, const StoreContender& contender,
                                     bool mayGive) {
  const Candidate& candidate = contender.candidate;
  const double benefit = benefitOf(round, candidate);
  if (workerMakingRoom(round, candidate.model) != nullptr) {
    ++heldPlaces_;
    settle(round, candidate, contender.choice, benefit, PlacementOutcome::waitsForWorker);
    return true;
  }
  const bool storeAllows = mayGive && round.store().allows(heldPlaces_);
  // Loads from disks and those before it in the order may have taken the worker meanwhile.
  const Choice choice = storeAllows ? choose(round, candidate) : contender.choice;
  const PlacementOutcome outcome = decideOutcome(round, choice, benefit, storeAllows);
  settle(round, candidate, choice, benefit, outcome);
  if (!choice.fromStore) {
    return false;
  }
  if (outcome == PlacementOutcome::unloadOrdered) {
    roomMade_.insert_or_assign(candidate.model, round.now());
    ++heldPlaces_;
    return true;
  }
  if (outcome == PlacementOutcome::loadOrdered) {
    roomMade_.erase(candidate.model);
    storeWaits_.erase(candidate.model);
    return true;
  }
  return false;
}

/// @return true if loads were compared for long enough to give the first place.
bool PlacementPolicy::hasComparedStoreLoads(const PlacementRound& round) {
  if (comparingSince_ == base::TimePoint() && !contenders_.empty()) {
    comparingSince_ = round.now();
  }
  return round.now() >= comparingSince_ + kFirstComparison;
}

void PlacementPolicy::updateStoreWaits(const PlacementRound& round) {
  const base::TimePoint now = round.now();
  std::set<std::string> wanted;
  for (const StoreContender& contender : contenders_) {
    wanted.insert(contender.candidate.model);
    storeWaits_.try_emplace(contender.candidate.model, StoreWait{now, now})
        .first->second.lastWantedAt = now;
  }
  std::erase_if(storeWaits_,
                [now](const auto& entry) { return now > entry.second.lastWantedAt + kWaitMemory; });
  std::erase_if(roomMade_, [&wanted, now](const auto& entry) {
    return wanted.count(entry.first) == 0 || now >= entry.second + kLongestHold;
  });
}

std::vector<RankedStoreLoad> PlacementPolicy::rankContenders(const PlacementRound& round) const {
  std::vector<StoreLoadDemand> demands;
  demands.reserve(contenders_.size());
  for (const StoreContender& contender : contenders_) {
    demands.push_back(storeLoadDemand(round, contender.candidate.model));
  }
  return rankStoreLoads(demands, !lastPlaceByWait_);
}

StoreLoadDemand PlacementPolicy::storeLoadDemand(const PlacementRound& round,
                                                 const std::string& model) const {
  const DemandFigures figures = round.figures(model);
  const PlacementRound::Replicas replicas = round.replicas(model);
  const auto wait = storeWaits_.find(model);
  StoreLoadDemand demand;
  demand.model = model;
  demand.expectedRate = figures.rate * round.growth(model);
  demand.priority = figures.priority;
  demand.callerTimeout = catalog::callerTimeout(figures.targetLatency, base::Duration::zero());
  demand.startsIn = round.store().expectedWait(round.now());
  demand.loadTime = round.spec(model)->storeLoadTime;
  demand.wantedFor =
      wait == storeWaits_.end() ? base::Duration::zero() : round.now() - wait->second.since;
  demand.holdsPlace = roomMade_.count(model) != 0;
  demand.waiting = figures.waiting;
  demand.waitersStayFor = waitersStayFor(figures, demand.callerTimeout, round.now());
  demand.replicas = replicas.serving;
  demand.replicasBeingLoaded = replicas.present - replicas.serving;
  demand.servedRate = figures.servedRate;
  demand.usedShare = round.loadWith(model, replicas.serving);
  return demand;
}

}  // namespace walnut::registry
