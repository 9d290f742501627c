#include "registry/leader_duties.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace walnut::registry {

namespace {

using runtime::LogEvent;

/// Least time between two log entries with the holdings of one worker.
constexpr base::Duration kHoldingsInterval = std::chrono::milliseconds(500);
/// Least share of its final value that a decaying rate has reached; below it the rate is unknown.
constexpr double kMinKnown = 0.1;
/// @name Most workers per time slice: a new leader has to process all workers of a large fleet
/// @{
constexpr std::size_t kMaxHoldingsStored = 256;
constexpr std::size_t kMaxHoldingsCompared = 1024;
constexpr std::size_t kMaxViewsRefreshed = 512;
/// @}
constexpr base::Duration kCheckInterval = std::chrono::milliseconds(50);
/// Least age of the collected loads of a large fleet, whose gateways are sent loads 4 times/s.
constexpr base::Duration kLoadsInterval = std::chrono::milliseconds(50);

}  // namespace

LeaderDuties::LeaderDuties(const RegistryOptions& options, DocumentCache& documents,
                           const CellState& state, consensus::Term term, base::ServerId self,
                           runtime::EventLog& log, base::TimePoint now, const OrderTimes& turns,
                           std::optional<base::TimePoint> lastTakeoverAt,
                           const RegistrationTimes* registrations)
    : options_(options),
      documents_(documents),
      state_(state),
      term_(term),
      self_(self),
      log_(log),
      since_(now),
      turns_(turns),
      registrations_(registrations),
      takeoverAllowedAt_(takeoverAllowedAt(lastTakeoverAt)),
      poolStart_{std::to_string(self.value)},
      quotas_(options.quota),
      crashes_(state, log),
      publisher_(options.viewInterval),
      lastCheck_(now),
      receivingSince_(now) {
  refreshDocument(now);
  refreshAllWorkers(now);
  markColdWorkers();
}

WorkerStatus& LeaderDuties::statusOf(const WorkerId& id, base::TimePoint now) {
  const auto [found, added] = workers_.try_emplace(id, now);
  if (added) {
    if (const std::vector<HeldModel>* held = state_.findHoldings(id)) {
      found->second.begin(*held);
    }
    scheduleSilenceCheck(id, found->second, now + heartbeatTime(options_.overdueHeartbeats));
  }
  return found->second;
}

bool LeaderDuties::heartbeat(const Heartbeat& heartbeat, base::TimePoint now) {
  const WorkerId& id = heartbeat.worker.id;
  if (state_.wasForgotten(id) || namesUnknownService(heartbeat) || isOutdated(heartbeat, now) ||
      contestsLiveWorker(heartbeat, now)) {
    return false;
  }
  WorkerStatus& status = statusOf(id, now);
  const bool wasSilent = status.silent;
  if (!status.takeHeartbeat(heartbeat, now)) {
    return false;
  }
  markChanged(id);
  handleContact(id, status, wasSilent, now);
  logEndedOrder(id, status, now);
  planSoon_ = true;
  const WorkerRecord* held = state_.findWorker(id);
  return held == nullptr || !(heartbeat.worker.storedOver(*held) == *held);
}

HeartbeatRequest LeaderDuties::heartbeats(const HeartbeatBatch& batch, base::TimePoint now) {
  HeartbeatRequest request;
  for (const Heartbeat& changed : batch.changed) {
    (void)heartbeat(changed, now);
  }
  for (const WorkerContact& worker : batch.contacts) {
    const auto found = workers_.find(worker.worker);
    if (found == workers_.end() || state_.findWorker(worker.worker) == nullptr) {
      continue;  // Forgotten: the server that took the heartbeat learns it with the next one.
    }
    WorkerStatus& status = found->second;
    const bool wasSilent = status.silent;
    if (!status.takeContact(worker, now)) {
      request.workers.push_back(worker.worker);
    }
    handleContact(worker.worker, status, wasSilent, now);
  }
  return request;
}

void LeaderDuties::handleContact(const WorkerId& id, WorkerStatus& status, bool wasSilent,
                                 base::TimePoint now) {
  crashes_.recordContact(id);
  if (wasSilent && !status.silent) {
    markChanged(id);
    planSoon_ = true;
    scheduleSilenceCheck(id, status, now + heartbeatTime(options_.overdueHeartbeats));
    log_.write(LogEvent::workerHeard, {{"worker", id.value}});
  }
}

void LeaderDuties::subscribe(protocol::ConnectionId gateway, const Subscribe& request,
                             const base::ZoneId& zone, std::uint32_t featureLevel) {
  log_.write(LogEvent::gatewaySubscribed, {{"connection", gateway.value},
                                           {"document", request.documentVersion},
                                           {"partial", request.cursor.version},
                                           {"bytes", request.cursor.received}});
  publisher_.subscribe(gateway, zone, featureLevel);
  noteFeatureLevel(gateway, featureLevel);
  subscribeToTimings(gateway, featureLevel);
  subscribeToSuspectParts(gateway, featureLevel);
  subscribeToForecasts(gateway, featureLevel);
  subscriptions_[gateway] = request;
}

void LeaderDuties::unsubscribe(protocol::ConnectionId gateway) {
  publisher_.unsubscribe(gateway);
  timingRevisions_.erase(gateway);
  olderGateways_.erase(gateway);
  forecastGateways_.erase(gateway);
  partGateways_.erase(gateway);
  sender_.unsubscribe(gateway);
  subscriptions_.erase(gateway);
  demand_.forget(gateway);
  outliers_.forgetReporter(gateway);
}

void LeaderDuties::demand(protocol::ConnectionId gateway, const DemandUpdate& update,
                          base::TimePoint now) {
  demand_.update(gateway, update, now);
  for (const ModelDemand& demand : update.demands) {
    if (canBeServed(demand)) {
      publisher_.recordRequest(gateway, {demand.service, demand.model, demand.adapter},
                               demand.waiting > 0, now);
    }
  }
  for (const WorkerOutcomes& outcomes : update.outcomes) {
    if (state_.findWorker(outcomes.worker) != nullptr) {
      outliers_.report(
          gateway, {outcomes.worker, outcomes.answered, outcomes.failed, outcomes.stalled}, now);
    }
  }
  logAnswerChanges();
  planSoon_ = planSoon_ || !demand_.waiting().empty();
}

/// Callers may request any name. Interest is recorded only for models that are loaded or may be
/// loaded, so that invented names take no memory here.
bool LeaderDuties::canBeServed(const ModelDemand& demand) const {
  const std::string held = demand.adapter.empty()
                               ? demand.model
                               : WorkerIndex::adapterName(demand.model, demand.adapter);
  if (!index_.holding(demand.service, held).empty()) {
    return true;
  }
  const catalog::Service* service =
      document_ == nullptr ? nullptr : document_->findService(demand.service);
  if (service == nullptr || !service->engine) {
    return false;
  }
  const catalog::ModelSpec* model = service->engine->findModel(demand.model);
  return model != nullptr && model->hasAdapter(demand.adapter);
}

void LeaderDuties::stateChanged(base::TimePoint now) {
  refreshDocument(now);
  if (state_.zoneChanges() == zoneChanges_) {
    applyWorkerChanges(now);
  } else {
    refreshAllWorkers(now);
  }
  crashes_.stateChanged();
  planSoon_ = true;
}

void LeaderDuties::markChanged(const WorkerId& id) {
  changed_.insert(id);
  unsavedHoldings_.insert(id);
}

void LeaderDuties::applyWorkerChanges(base::TimePoint now) {
  const auto modified = state_.changedSince(workerChanges_);
  if (!modified) {
    refreshAllWorkers(now);
    return;
  }
  workerChanges_ = state_.workerChanges();
  std::set<WorkerId> gone;
  for (const WorkerId& id : *modified) {
    if (state_.findWorker(id) == nullptr) {
      gone.insert(id);
    } else {
      WorkerStatus& status = statusOf(id, now);
      if (!std::exchange(status.registered, true)) {
        markCold(*state_.findWorker(id), status, now);
      }
      markChanged(id);
    }
  }
  removeWorkers(gone, now);
}

void LeaderDuties::refreshAllWorkers(base::TimePoint now) {
  workerChanges_ = state_.workerChanges();
  zoneChanges_ = state_.zoneChanges();
  for (const auto& [id, record] : state_.workers()) {
    statusOf(id, now).registered = true;
    markChanged(id);
  }
  std::set<WorkerId> gone;
  for (const auto& [id, status] : workers_) {
    if (state_.wasForgotten(id)) {
      gone.insert(id);
    }
  }
  for (const WorkerId& id : publisher_.workers()) {
    if (state_.findWorker(id) == nullptr) {
      gone.insert(id);
    }
  }
  removeWorkers(gone, now);
}

void LeaderDuties::removeWorkers(const std::set<WorkerId>& gone, base::TimePoint now) {
  if (gone.empty()) {
    return;
  }
  for (const WorkerId& id : gone) {
    const auto found = workers_.find(id);
    if (found != workers_.end()) {
      handleWorkerEnd(id, found->second, now);
      workers_.erase(found);
    }
    publisher_.removeWorker(id);
    limits_.forget(id);
    timings_.forget(id);
    index_.remove(id);
    busyWorkers_.erase(id);
  }
  outliers_.forgetIf([&gone](const WorkerId& id) { return gone.count(id) != 0; });
}

void LeaderDuties::refreshDocument(base::TimePoint now) {
  const std::uint64_t held = document_ == nullptr ? 0 : document_->version;
  if (state_.documentVersion() <= held) {
    return;
  }
  auto read = documents_.read(state_.documentText());
  if (read.has_error()) {
    log_.write(LogEvent::documentRefused,
               {{"version", state_.documentVersion()}, {"field", read.error().field}});
    return;
  }
  document_ = std::move(read.value());
  documentSince_ = now;
  std::set<std::string> plainServices;
  for (const catalog::Service& service : document_->services) {
    if (!service.engine) {
      plainServices.insert(service.name);
    }
  }
  if (plainServices != plainServices_) {
    plainServices_ = std::move(plainServices);
    for (const auto& [id, record] : state_.workers()) {
      changed_.insert(id);
    }
  }
  quotas_.setTenants(document_->tenants, now);
  sender_.setDocument(document_);
  refreshTimedServices();
}

bool LeaderDuties::run(base::TimePoint now, Authority authority,
                       const std::vector<base::Endpoint>& servers) {
  if (now >= nextCheck_) {
    nextCheck_ = now + kCheckInterval;
    detectSuspension(now);
    checkOverdueWorkers(now);
    detectOutliers(now);
    reviewCrashes(now);
    storeHoldings(now);
  }
  if (!authority.hasLease) {
    nextPlan_ = std::max(nextPlan_, now + options_.planInterval);
    planSoon_ = false;
  }
  const bool planDue = (planSoon_ && now >= lastPlanAt_ + planSpacing()) || now >= nextPlan_;
  if (authority.hasLease && planDue && workersProcessed_) {
    planSoon_ = false;
    lastPlanAt_ = now;
    nextPlan_ = now + options_.planInterval;
    claimOrderLease(now);
    cancelUnrecorded(now);
    if (ordersAllowed(now)) {
      refreshReports(now);
      plan(now);
      requestOverdueReports(now);
      recordAllWorkers(now);
    }
  }
  const std::size_t actions = actions_.size();
  if (authority.maySendToGateways) {
    sendSuspects(now);
    sendSuspectParts(now);
    announceForecasts(now);
    publish(now, servers);
    sendTimings(now);
    sendDocument(now);
  } else {
    publishAgainAt_ = now + kCheckInterval;
  }
  return actions_.size() > actions;
}

void LeaderDuties::storeHoldings(base::TimePoint now) {
  std::size_t stored = 0;
  std::size_t compared = 0;
  for (auto next = unsavedHoldings_.begin(); next != unsavedHoldings_.end() &&
                                             stored < kMaxHoldingsStored &&
                                             compared < kMaxHoldingsCompared;) {
    const WorkerId id = *next;
    const auto found = workers_.find(id);
    if (found == workers_.end() || !found->second.holdingsKnown ||
        state_.findWorker(id) == nullptr) {
      next = unsavedHoldings_.erase(next);
      continue;
    }
    WorkerStatus& status = found->second;
    if (now < status.holdingsStoredAt + kHoldingsInterval) {
      ++next;
      continue;
    }
    next = unsavedHoldings_.erase(next);
    ++compared;
    std::vector<HeldModel> models = status.serving(now);
    const std::vector<HeldModel>* held = state_.findHoldings(id);
    if (held == nullptr || *held != models) {
      status.holdingsStoredAt = now;
      commands_.emplace_back(StoreHoldings{id, std::move(models)});
      ++stored;
    }
  }
}

void LeaderDuties::publish(base::TimePoint now, const std::vector<base::Endpoint>& servers) {
  refreshViews(now);
  if (!changed_.empty()) {
    return;  // A first view that lacks workers would make its gateway drop them.
  }
  const std::uint64_t version = document_ == nullptr ? 0 : document_->version;
  if (!publisher_.due(now, version)) {
    return;
  }
  for (ViewPublisher::Update& update :
       publisher_.takeUpdates(now, term_, version, recentLoads(now), servers)) {
    const auto subscribed = subscriptions_.find(update.gateway);
    if (update.update.complete) {
      sendSuspectsTo(update.gateway, now);
      sendSuspectPartsTo(update.gateway, now);
      sendFirstForecasts(update.gateway);
    }
    if (update.update.complete && subscribed != subscriptions_.end()) {
      const Subscribe request = subscribed->second;
      subscriptions_.erase(subscribed);
      sender_.subscribe(update.gateway, request.documentVersion, request.cursor);
    }
    actions_.emplace_back(control::SendToConnection{
        update.gateway,
        RegistryMessage{PackedView{viewEncoder_.encode(update.update, update.cursor)}}});
  }
}

/// Caches the loads in large fleets: collecting them takes time in proportion to the number of
/// busy workers, for each of many updates.
const std::vector<WorkerLoad>& LeaderDuties::recentLoads(base::TimePoint now) {
  if (publisher_.sendsAllWorkers() || now >= loadsTakenAt_ + kLoadsInterval) {
    loads_ = demand_.loads();
    loadsTakenAt_ = now;
  }
  return loads_;
}

void LeaderDuties::sendDocument(base::TimePoint now) {
  for (DocumentSender::Part& part : sender_.takeParts(now)) {
    actions_.emplace_back(control::SendToConnection{
        part.gateway, RegistryMessage{MessageBody(std::move(part.part))}});
  }
  if (sender_.takeDelivered()) {
    const auto taken = std::chrono::duration_cast<std::chrono::milliseconds>(now - documentSince_);
    log_.write(LogEvent::documentDelivered,
               {{"version", document_->version},
                {"gateways", static_cast<std::uint64_t>(publisher_.gatewayCount())},
                {"millis", static_cast<std::uint64_t>(taken.count())}});
  }
}

void LeaderDuties::refreshViews(base::TimePoint now) {
  while (!changesAt_.empty() && changesAt_.begin()->first <= now) {
    markChanged(changesAt_.begin()->second);
    changesAt_.erase(changesAt_.begin());
  }
  for (std::size_t count = 0; !changed_.empty() && count < kMaxViewsRefreshed; ++count) {
    const WorkerId id = *changed_.begin();
    changed_.erase(changed_.begin());
    if (const WorkerRecord* record = state_.findWorker(id)) {
      WorkerStatus& status = statusOf(id, now);
      WorkerView view{*record, status.silent, outliers_.failing(id), status.holdingsKnown,
                      status.serving(now)};
      view.limit = limits_.limitOf(id);
      view.record.leaving = outOfService(*record);
      if (std::exchange(status.outOfService, view.record.leaving) && !view.record.leaving) {
        markCold(*record, status, now);
      }
      if (view.record.leaving || view.silent || view.failing) {
        index_.remove(id);
      } else {
        index_.set(id, record->service, view.models);
      }
      publisher_.setWorker(view, isPlain(record->service), maxGatewaysFor(*record, status, now));
    }
  }
  workersProcessed_ = workersProcessed_ || changed_.empty();
}

/// Gateways see a worker of an evacuated zone as leaving, so that none sends it new requests.
bool LeaderDuties::outOfService(const WorkerRecord& record) const {
  return record.leaving || state_.evacuated(record.zone);
}

void LeaderDuties::markCold(const WorkerRecord& record, WorkerStatus& status, base::TimePoint at) {
  const catalog::Service* service =
      document_ == nullptr ? nullptr : document_->findService(record.service);
  if (service != nullptr && service->coldPerSecond > 0) {
    status.coldUntil = at + service->coldTime;
    changesAt_.emplace(status.coldUntil, record.id);
  }
}

/// Marks as cold the workers that registered recently with a previous leader.
void LeaderDuties::markColdWorkers() {
  if (registrations_ == nullptr) {
    return;
  }
  for (const auto& [id, record] : state_.workers()) {
    if (const auto registeredAt = registrations_->of(id)) {
      markCold(record, workers_.at(id), *registeredAt);
    }
  }
}

/// A new worker looks least busy to each gateway, so each may send it all its requests. The result
/// is the number of gateways whose total rate stays within what a cold worker can take.
std::optional<std::size_t> LeaderDuties::maxGatewaysFor(const WorkerRecord& record,
                                                        const WorkerStatus& status,
                                                        base::TimePoint now) const {
  if (now >= status.coldUntil) {
    return std::nullopt;
  }
  const catalog::Service* service = document_->findService(record.service);
  const double coldRate = service == nullptr ? 0 : service->coldPerSecond;
  const std::chrono::duration<double> leadingFor = now - since_;
  const double knownShare = 1 - std::exp(-leadingFor.count() / DecayingRate::kSeconds);
  const double rate = demand_.serviceRate(record.service, now) / std::max(knownShare, kMinKnown);
  const auto gateways = static_cast<double>(publisher_.gatewayCount());
  if (knownShare < kMinKnown) {
    return 1;
  }
  if (rate <= coldRate) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(std::max(1.0, std::floor(gateways * coldRate / rate)));
}

base::TimePoint LeaderDuties::nextWakeup() const {
  const base::TimePoint due =
      changed_.empty() ? std::min(publisher_.nextUpdate(), sender_.nextParts()) : base::TimePoint();
  const base::TimePoint publish = std::max(publishAgainAt_, due);
  base::TimePoint next = std::min({publish, nextPlan_, nextCheck_});
  if (planSoon_) {
    next = std::min(next, lastPlanAt_ + planSpacing());
  }
  return changesAt_.empty() ? next : std::min(next, changesAt_.begin()->first);
}

}  // namespace walnut::registry
