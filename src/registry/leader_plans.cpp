/// @file
/// The part of the leader's tasks that plans placement: it selects the workers to consider, runs
/// the policy and logs the decisions.

#include <algorithm>
#include <utility>

#include "registry/leader_duties.h"
#include "walnut/catalog/slow_replicas.h"

namespace walnut::registry {

namespace {

using runtime::LogEvent;

constexpr base::Duration kPlanSpacing = std::chrono::milliseconds(15);
constexpr base::Duration kPlanSpacingPerWorker = std::chrono::microseconds(500);

/// Least time for which a worker with an order in progress counts as busy: the round trip of an
/// order.
constexpr base::Duration kMinBusyTime = std::chrono::milliseconds(50);

constexpr double kPercent = 100;
constexpr double kMillis = 1000;

std::uint64_t rounded(double value) {
  constexpr double kMaxLogged = 1e12;
  return static_cast<std::uint64_t>(std::clamp(value, 0.0, kMaxLogged));
}

std::string_view outcomeName(PlacementOutcome outcome) {
  switch (outcome) {
    case PlacementOutcome::loadOrdered:
      return "loaded";
    case PlacementOutcome::unloadOrdered:
      return "room-made";
    case PlacementOutcome::waitsForWorker:
      return "waits-for-worker";
    case PlacementOutcome::waitsForRequests:
      return "waits-for-use";
    case PlacementOutcome::waitsForStore:
      return "waits-for-store";
    case PlacementOutcome::tooCostly:
      return "not-worth";
    case PlacementOutcome::noWorker:
      return "no-worker";
  }
  return "unknown";
}

void setOrderInProgress(PlacementWorker& worker, OrderOperation operation,
                        const std::string& model) {
  (operation == OrderOperation::load ? worker.loadingModel : worker.unloadingModel) = model;
}

base::Duration longestLoad(const catalog::EngineSpec& engine) {
  base::Duration longest{0};
  for (const catalog::ModelSpec& model : engine.models) {
    longest = std::max(longest, model.storeLoadTime);
  }
  return longest;
}

/// @return the longest time that a caller of the service waits.
base::Duration longestTimeout(const catalog::Document& document, const std::string& service) {
  base::Duration longest{0};
  for (const catalog::Route& route : document.routes) {
    const bool served = std::any_of(
        route.services.begin(), route.services.end(),
        [&service](const catalog::WeightedService& part) { return part.service == service; });
    longest = served ? std::max(longest, route.timeout) : longest;
  }
  return longest;
}

/// @return the time until the order in progress is expected to end. An overdue order is assumed to
/// take as long again as it is late, and a worker that can't be ordered for another reason to stay
/// so as long again: models for which it seemed free soon would wait for it until their callers
/// leave.
base::Duration busyTime(const WorkerStatus& status, base::TimePoint now) {
  if (status.modelOrder) {
    const base::TimePoint end = status.modelOrder->expectedEnd;
    return std::max<base::Duration>(kMinBusyTime, end > now ? end - now : now - end);
  }
  if (status.unorderableSince) {
    return std::max<base::Duration>(kMinBusyTime, now - *status.unorderableSince);
  }
  return status.sentOrder || status.foreignOrder ? kMinBusyTime : base::Duration::zero();
}

}  // namespace

/// @return the least time between two plans. Planning time is proportional to the number of
/// workers; so is the spacing, which bounds the share of a core that planning takes.
base::Duration LeaderDuties::planSpacing() const {
  return kPlanSpacing + kPlanSpacingPerWorker * plannedWorkers();
}

/// @return the most workers that a plan considers.
std::size_t LeaderDuties::plannedWorkers() const {
  return std::min(workers_.size(), kMaxPlannedWorkers);
}

void LeaderDuties::plan(base::TimePoint now) {
  if (document_ == nullptr) {
    return;
  }
  for (const catalog::Service& service : document_->services) {
    if (service.engine) {
      planService(service, now);
    }
  }
}

bool LeaderDuties::isLarge(const std::string& service) const {
  return index_.of(service).size() > kMaxPlannedWorkers;
}

void LeaderDuties::planService(const catalog::Service& service, base::TimePoint now) {
  if (isLarge(service.name)) {
    planLargeService(service, now);
    return;
  }
  std::vector<PlacementWorker> workers;
  for (const auto& [id, record] : state_.workers()) {
    WorkerStatus& status = statusOf(id, now);
    if (record.service == service.name && status.holdingsKnown) {
      status.updateOrderable(now);
      workers.push_back(placementWorker(record, status, now));
    }
  }
  decide(service, workers, {}, now);
}

void LeaderDuties::versionDemand(protocol::ConnectionId gateway, const VersionDemand& demand) {
  demand_.updateVersions(gateway, demand);
  planSoon_ = planSoon_ || !demand.waits.empty();
}

void LeaderDuties::planLargeService(const catalog::Service& service, base::TimePoint now) {
  const PlanningPool pool = choosePlanningPool(service.name, index_, demand_, poolStart_, now);
  std::vector<PlacementWorker> workers;
  for (const WorkerId& id : pool.workers) {
    const WorkerRecord* record = state_.findWorker(id);
    if (record == nullptr) {
      continue;
    }
    WorkerStatus& status = statusOf(id, now);
    const bool target = pool.loadTargets.count(id) != 0;
    if ((target || pool.adapterTargets.count(id) != 0) && needsReport(*record, status, now)) {
      requestReport(*record, status);
    }
    status.updateOrderable(now);
    workers.push_back(placementWorker(*record, status, now));
    workers.back().canLoadModels = target;
  }
  decide(service, workers, pool.otherHolders, now);
}

void LeaderDuties::decide(const catalog::Service& service,
                          const std::vector<PlacementWorker>& workers,
                          const std::map<std::string, std::uint32_t>& outside,
                          base::TimePoint now) {
  PlacementPolicy& policy = policies_.try_emplace(service.name, service.name).first->second;
  const bool isSlow = replicasAreSlowToAdd(service.name);
  policy.setReplicasAreSlowToAdd(isSlow);
  StoreScheduler& store = storeOf(service.name);
  store.setLongestTimes(longestLoad(*service.engine), longestTimeout(*document_, service.name));
  store.setSlowLoads(isSlow);
  store.setLimit(service.engine->storeLoadsPerSecond,
                 {options_.storeWindow, options_.storeOvershoot}, now);
  countForeignLoads(service, store);
  const std::vector<PlacementStep> steps =
      policy.plan(*service.engine, workers, demand_, store, now,
                  backoffs_[service.name].postponed(now), outside);
  logDecisions(policy, store, now);
  logStorePlaces(policy);
  issueOrders(steps, now);
}

/// Reading all routes takes long, so the services are determined once for each document.
bool LeaderDuties::replicasAreSlowToAdd(const std::string& service) {
  if (slowServicesOf_ != document_) {
    slowServicesOf_ = document_;
    slowServices_.clear();
    for (const catalog::Service& candidate : document_->services) {
      if (catalog::replicasAreSlowToAdd(*document_, candidate.name)) {
        slowServices_.insert(candidate.name);
      }
    }
  }
  return slowServices_.count(service) != 0;
}

StoreScheduler& LeaderDuties::storeOf(const std::string& service) {
  return stores_.try_emplace(service, previousLoads()).first->second;
}

/// Logs one line for each change of the decision on a model, with the figures behind it.
void LeaderDuties::logDecisions(PlacementPolicy& policy, const StoreScheduler& store,
                                base::TimePoint now) {
  const auto storeWait =
      std::chrono::duration_cast<std::chrono::milliseconds>(store.expectedWait(now));
  for (const PlacementDecision& decision : policy.takeDecisions()) {
    log_.write(LogEvent::placementDecided,
               {{"model", decision.model},
                {"reason", placementReasonName(decision.reason)},
                {"outcome", outcomeName(decision.outcome)},
                {"waiting", decision.waiting},
                {"unanswered", decision.unservedRequests},
                {"queued", rounded(decision.queued)},
                {"rate-percent", rounded(kPercent * decision.rate)},
                {"replicas", decision.replicas},
                {"copies", decision.copies},
                {"worker", decision.worker.value},
                {"victim", decision.victim},
                {"cost-millis", rounded(kMillis * decision.cost)},
                {"worth-millis", rounded(kMillis * decision.benefit)},
                {"tier", std::string_view(decision.fromStore ? "store" : "near")},
                {"store-loads", std::uint64_t{store.loadsInProgress()}},
                {"store-limit", std::uint64_t{store.limit()}},
                {"store-queue", std::uint64_t{decision.storeQueue}},
                {"store-scarce", std::string_view(decision.storeIsScarce ? "yes" : "no")},
                {"store-wait", static_cast<std::uint64_t>(storeWait.count())}});
  }
}

/// Logs each place of the store that was given, with the load that would have been next.
void LeaderDuties::logStorePlaces(PlacementPolicy& policy) {
  for (const StorePlaceGiven& place : policy.takeStorePlaces()) {
    log_.write(LogEvent::storePlaceGiven,
               {{"model", place.load.model},
                {"reason", storePlaceReasonName(place.load.reason)},
                {"value-percent", rounded(kPercent * place.load.value)},
                {"next", place.next.model},
                {"next-value-percent", rounded(kPercent * place.next.value)}});
  }
}

/// Counts the orders of previous leaders in progress, each of which may be a load from the store.
void LeaderDuties::countForeignLoads(const catalog::Service& service, StoreScheduler& store) {
  std::size_t foreign = 0;
  for (const WorkerId& id : busyWorkers_) {
    const WorkerRecord* record = state_.findWorker(id);
    const auto status = workers_.find(id);
    const bool counts = record != nullptr && record->service == service.name &&
                        status != workers_.end() && status->second.foreignOrder &&
                        !status->second.silent;
    foreign += counts ? 1 : 0;
  }
  store.setPreviousLeaderLoads(foreign);
}

PlacementWorker LeaderDuties::placementWorker(const WorkerRecord& record,
                                              const WorkerStatus& status,
                                              base::TimePoint now) const {
  PlacementWorker worker;
  worker.id = record.id;
  worker.softwareVersion = record.softwareVersion;
  worker.holdings = status.expected(now);
  // A worker over its request limit doesn't count as a replica, so that the excess is served
  // elsewhere, and no new models are loaded on it.
  worker.serving = !outOfService(record) && !status.silent && !outliers_.failing(record.id) &&
                   !limits_.wasOverLimit(record.id, now);
  worker.canLoadModels = !limits_.limitOf(record.id);
  worker.canTakeOrders = status.reportFresh && !status.sentOrder && !status.reportUnderWay &&
                         now >= status.orderAgainAt && mayOrder(record.id, now);
  worker.canLoadAdapters = !(status.adaptersBlocked && status.modelOrder);
  for (const HeldModel& held : worker.holdings.models) {
    for (const std::string& adapter : held.adapters) {
      if (status.adapterIsNew(held.name, adapter, now)) {
        worker.recentAdapters.insert({held.name, adapter});
      }
    }
  }
  worker.running = demand_.running(record.id);
  if (status.modelOrder) {
    setOrderInProgress(worker, status.modelOrder->operation, status.modelOrder->model);
  }
  if (status.sentOrder && status.sentOrder->adapter.empty()) {
    setOrderInProgress(worker, status.sentOrder->operation, status.sentOrder->model);
  }
  worker.remainingOrderTime = busyTime(status, now);
  return worker;
}

}  // namespace walnut::registry
