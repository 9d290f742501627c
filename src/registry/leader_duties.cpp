#include "registry/leader_duties.h"

#include <algorithm>
#include <set>
#include <utility>

namespace walnut::registry {

namespace {

using runtime::LogEvent;

/// Beyond the lease of a former holder, for its clock and the network.
constexpr base::Duration kTurnMargin = std::chrono::milliseconds(300);
/// Workers check fences: as old as reports are, and some, so that they tell of all orders that the
/// former holder gave.
constexpr base::Duration kFencedTurnDelay = std::chrono::milliseconds(500);
/// Least time between two stored states of one worker's holdings.
constexpr base::Duration kHoldingsInterval = std::chrono::milliseconds(500);
/// A worker that refused an order is not ordered again for this long.
constexpr base::Duration kRefusedPause = std::chrono::milliseconds(200);
/// Beyond a load's expected time.
constexpr base::Duration kOrderMargin = std::chrono::milliseconds(1500);
constexpr base::Duration kCheckInterval = std::chrono::milliseconds(50);
constexpr base::Duration kPlanSpacing = std::chrono::milliseconds(15);
constexpr base::Duration kPlanSpacingPerWorker = std::chrono::microseconds(500);
constexpr base::Duration kUnloadPatience = std::chrono::seconds(4);

std::string_view outcomeName(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::accepted:
      return "accepted";
    case OrderOutcome::alreadyDone:
      return "already-done";
    case OrderOutcome::busy:
      return "busy";
    case OrderOutcome::fenced:
      return "fenced";
    case OrderOutcome::misdirected:
      return "misdirected";
    case OrderOutcome::refused:
      return "refused";
    case OrderOutcome::unclear:
      return "unclear";
  }
  return "unknown";
}

std::uint64_t adapterCount(const Holdings& holdings) {
  std::uint64_t count = 0;
  for (const HeldModel& model : holdings.models) {
    count += model.adapters.size();
  }
  return count;
}

void noteOrder(PlacementWorker& worker, OrderOperation operation, const std::string& model) {
  (operation == OrderOperation::load ? worker.arriving : worker.retiring) = model;
}

std::string_view operationName(OrderOperation operation) {
  return operation == OrderOperation::load ? "load" : "unload";
}

}  // namespace

LeaderDuties::LeaderDuties(const RegistryOptions& options, const DocumentReader& reader,
                           const CellState& state, consensus::Term term, base::ServerId self,
                           runtime::EventLog& log, base::TimePoint now,
                           std::optional<base::TimePoint> lastTurnAt)
    : options_(options),
      reader_(reader),
      state_(state),
      term_(term),
      self_(self),
      log_(log),
      since_(now),
      turnAllowedAt_(turnAllowedAt(lastTurnAt)),
      publisher_(options.viewInterval) {
  stateChanged(now);
}

WorkerStatus& LeaderDuties::statusOf(const WorkerId& id, base::TimePoint now) {
  const auto [found, added] = workers_.try_emplace(id, now);
  if (added) {
    if (const std::vector<HeldModel>* held = state_.findHoldings(id)) {
      found->second.begin(*held);
    }
  }
  return found->second;
}

bool LeaderDuties::heartbeat(const Heartbeat& heartbeat, base::TimePoint now) {
  const WorkerId& id = heartbeat.worker.id;
  if (state_.wasForgotten(id)) {
    return false;
  }
  WorkerStatus& status = statusOf(id, now);
  const bool wasSilent = status.silent;
  if (!status.takeHeartbeat(heartbeat, now)) {
    return false;
  }
  changed_.insert(id);
  logEndedOrder(id, status, now);
  if (wasSilent) {
    log_.write(LogEvent::workerHeard, {{"worker", id.value}});
  }
  planSoon_ = true;
  const WorkerRecord* held = state_.findWorker(id);
  if (held == nullptr) {
    return true;
  }
  WorkerRecord next = heartbeat.worker;
  next.leaving = next.leaving || held->leaving;
  return !(next == *held);
}

void LeaderDuties::subscribe(protocol::ConnectionId gateway, const Subscribe& request) {
  publisher_.subscribe(gateway, request.documentVersion);
}

void LeaderDuties::unsubscribe(protocol::ConnectionId gateway) {
  publisher_.unsubscribe(gateway);
  demand_.forget(gateway);
}

void LeaderDuties::demand(protocol::ConnectionId gateway, const DemandUpdate& update,
                          base::TimePoint now) {
  demand_.update(gateway, update, now);
  planSoon_ = planSoon_ || !demand_.waiting().empty();
}

void LeaderDuties::stateChanged(base::TimePoint now) {
  refreshDocument();
  for (const auto& [id, record] : state_.workers()) {
    statusOf(id, now);
  }
  std::erase_if(workers_, [this](const auto& entry) { return state_.wasForgotten(entry.first); });
  listChanged_ = true;
  planSoon_ = true;
}

void LeaderDuties::refreshDocument() {
  const std::uint64_t held = document_ == nullptr ? 0 : document_->version;
  if (state_.documentVersion() <= held) {
    return;
  }
  auto read = reader_.read(state_.documentText());
  if (read.has_error()) {
    log_.write(LogEvent::documentRefused,
               {{"version", state_.documentVersion()}, {"field", read.error().field}});
    return;
  }
  document_ = std::make_shared<const catalog::Document>(std::move(read.value()));
}

void LeaderDuties::run(base::TimePoint now, bool leaseValid,
                       const std::vector<base::Endpoint>& servers) {
  if (now >= nextCheck_) {
    nextCheck_ = now + kCheckInterval;
    noteSilence(now);
    storeHoldings(now);
  }
  if (!leaseValid) {
    nextPlan_ = std::max(nextPlan_, now + options_.planInterval);
    planSoon_ = false;
  }
  const bool planDue = (planSoon_ && now >= lastPlanAt_ + planSpacing()) || now >= nextPlan_;
  if (leaseValid && planDue) {
    planSoon_ = false;
    lastPlanAt_ = now;
    nextPlan_ = now + options_.planInterval;
    claimOrders(now);
    if (ordersAllowed(now)) {
      refreshReports(now);
      plan(now);
      askOverdueWorkers(now);
    }
  }
  publish(now, servers);
}

void LeaderDuties::noteSilence(base::TimePoint now) {
  for (auto& [id, status] : workers_) {
    if (state_.findWorker(id) == nullptr) {
      continue;
    }
    const base::Duration silence = now - status.lastHeard;
    if (!status.silent && isSilent(id, status, now)) {
      status.silent = true;
      changed_.insert(id);
      log_.write(LogEvent::workerSilent, {{"worker", id.value}});
    }
    if (silence > options_.workerForgottenAfter) {
      status.lastHeard = now;  // Proposed once; again only after another such time.
      commands_.emplace_back(ForgetWorker{id});
    }
  }
}

bool LeaderDuties::isSilent(const WorkerId& id, const WorkerStatus& status,
                            base::TimePoint now) const {
  const double heartbeats =
      demand_.unreachable(id) ? options_.overdueHeartbeats : options_.silentHeartbeats;
  const std::chrono::duration<double> limit = heartbeats * options_.heartbeatInterval;
  return now - status.lastHeard > limit;
}

void LeaderDuties::storeHoldings(base::TimePoint now) {
  for (auto& [id, status] : workers_) {
    if (!status.holdingsKnown || now < status.holdingsStoredAt + kHoldingsInterval ||
        state_.findWorker(id) == nullptr) {
      continue;
    }
    std::vector<HeldModel> models = status.serving(now);
    const std::vector<HeldModel>* stored = state_.findHoldings(id);
    if (stored == nullptr || *stored != models) {
      status.holdingsStoredAt = now;
      commands_.emplace_back(StoreHoldings{id, std::move(models)});
    }
  }
}

void LeaderDuties::publish(base::TimePoint now, const std::vector<base::Endpoint>& servers) {
  refreshViews(now);
  if (!publisher_.due(now, document_ == nullptr ? 0 : document_->version)) {
    return;
  }
  for (ViewPublisher::Update& update :
       publisher_.takeUpdates(now, term_, document_.get(), demand_.loads(), servers)) {
    actions_.emplace_back(control::SendToConnection{
        update.gateway, RegistryMessage{MessageBody(std::move(update.update))}});
  }
}

void LeaderDuties::refreshViews(base::TimePoint now) {
  if (std::exchange(listChanged_, false)) {
    for (const auto& [id, record] : state_.workers()) {
      changed_.insert(id);
    }
    for (const WorkerId& id : publisher_.workers()) {
      if (state_.findWorker(id) == nullptr) {
        publisher_.removeWorker(id);
      }
    }
  }
  while (!changesAt_.empty() && changesAt_.begin()->first <= now) {
    changed_.insert(changesAt_.begin()->second);
    changesAt_.erase(changesAt_.begin());
  }
  for (const WorkerId& id : std::exchange(changed_, {})) {
    if (const WorkerRecord* record = state_.findWorker(id)) {
      const WorkerStatus& status = statusOf(id, now);
      publisher_.setWorker({*record, status.silent, status.holdingsKnown, status.serving(now)});
    }
  }
}

/// Planning takes time in proportion to the workers; the spacing keeps its share of a core bounded.
base::Duration LeaderDuties::planSpacing() const {
  return kPlanSpacing + kPlanSpacingPerWorker * workers_.size();
}

bool LeaderDuties::ordersAllowed(base::TimePoint now) const {
  const base::ServerId holder = state_.orderHolder();
  return !fenced_ && holder == self_ && now >= since_;
}

/// Two servers must not give orders in turn within the lease. Without fences a new leader waits
/// until the turn of the former holder, which can't have known of it at once, is over. With fences
/// the former holder's late orders are refused, so one change needs no such wait; a second one
/// within the lease does, as the first holder might be back.
base::TimePoint LeaderDuties::turnAllowedAt(std::optional<base::TimePoint> lastTurnAt) const {
  const base::Duration lease = options_.orderLease + kTurnMargin;
  const bool recent = lastTurnAt && since_ < *lastTurnAt + lease;
  return since_ + (options_.ordersFenced && !recent ? kFencedTurnDelay : lease);
}

void LeaderDuties::claimOrders(base::TimePoint now) {
  const base::ServerId holder = state_.orderHolder();
  if (holder == self_ || holderProposed_ || document_ == nullptr) {
    return;
  }
  const bool first = holder == base::ServerId{};
  if (!first && now < turnAllowedAt_) {
    return;
  }
  holderProposed_ = true;
  commands_.emplace_back(StoreOrderHolder{self_});
  log_.write(LogEvent::orderTurn, {{"term", term_}, {"former", holder.value}});
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

void LeaderDuties::planService(const catalog::Service& service, base::TimePoint now) {
  std::vector<PlacementWorker> workers;
  for (const auto& [id, record] : state_.workers()) {
    const WorkerStatus& status = statusOf(id, now);
    if (record.service == service.name && status.holdingsKnown) {
      workers.push_back(placementWorker(record, status, now));
    }
  }
  PlacementPolicy& policy = policies_.try_emplace(service.name, service.name).first->second;
  StoreRate& store = storeRates_[service.name];
  store.setLimit(service.engine->storeLoadsPerSecond,
                 {options_.storeWindow, options_.storeOvershoot}, now);
  for (const PlacementStep& step : policy.plan(*service.engine, workers, demand_, store, now)) {
    carryOut(step, now);
  }
}

PlacementWorker LeaderDuties::placementWorker(const WorkerRecord& record,
                                              const WorkerStatus& status,
                                              base::TimePoint now) const {
  PlacementWorker worker;
  worker.id = record.id;
  worker.holdings = status.expected(now);
  worker.serving = !record.leaving && !status.silent;
  worker.mayBeOrdered = status.reportFresh && !status.sentOrder && !status.reportUnderWay &&
                        now >= status.orderAgainAt;
  worker.mayTakeAdapters = !(status.adaptersBlocked && status.modelOrder);
  for (const HeldModel& held : worker.holdings.models) {
    for (const std::string& adapter : held.adapters) {
      if (status.adapterIsNew(held.name, adapter, now)) {
        worker.newAdapters.insert({held.name, adapter});
      }
    }
  }
  worker.running = demand_.running(record.id);
  if (status.modelOrder) {
    noteOrder(worker, status.modelOrder->operation, status.modelOrder->model);
  }
  if (status.sentOrder && status.sentOrder->adapter.empty()) {
    noteOrder(worker, status.sentOrder->operation, status.sentOrder->model);
  }
  return worker;
}

void LeaderDuties::carryOut(const PlacementStep& step, base::TimePoint now) {
  const WorkerRecord& record = *state_.findWorker(step.worker);
  WorkerStatus& status = statusOf(step.worker, now);
  const std::uint64_t order = ++lastOrder_;
  status.sentOrder = step;
  orders_[order] = {step, now};
  SendOrder send;
  send.order = order;
  send.worker = record;
  send.load = step.operation == OrderOperation::load;
  send.model = step.model;
  send.adapter = step.adapter;
  send.expectedOrderCount = status.orderCount;
  send.holder = options_.name;
  send.fence = term_;
  log_.write(LogEvent::orderSent, {{"order", order},
                                   {"worker", step.worker.value},
                                   {"operation", operationName(step.operation)},
                                   {"model", step.model},
                                   {"adapter", step.adapter},
                                   {"expected", status.orderCount},
                                   {"fence", term_}});
  actions_.emplace_back(std::move(send));
}

void LeaderDuties::requestReport(const WorkerRecord& record, WorkerStatus& status) {
  if (!status.reportUnderWay) {
    status.reportUnderWay = true;
    actions_.emplace_back(ReadReport{record});
  }
}

/// Only a worker whose count of orders is known can be ordered.
void LeaderDuties::refreshReports(base::TimePoint now) {
  for (const auto& [id, record] : state_.workers()) {
    const catalog::Service* service =
        document_ == nullptr ? nullptr : document_->findService(record.service);
    WorkerStatus& status = statusOf(id, now);
    const bool wanted = service != nullptr && service->engine && !record.leaving &&
                        !status.silent && !status.reportFresh && !status.sentOrder;
    if (wanted && now >= status.orderAgainAt) {
      requestReport(record, status);
    }
  }
}

void LeaderDuties::askOverdueWorkers(base::TimePoint now) {
  for (const auto& [id, record] : state_.workers()) {
    WorkerStatus& status = statusOf(id, now);
    if (status.modelOrder && now >= status.modelOrder->dueAt && !status.silent) {
      status.modelOrder->dueAt = now + kOrderMargin;
      requestReport(record, status);
    }
  }
}

base::Duration LeaderDuties::loadTime(const PlacementStep& step, const std::string& service) const {
  const catalog::Service* found = document_ ? document_->findService(service) : nullptr;
  if (found != nullptr && found->engine) {
    for (const catalog::ModelSpec& model : found->engine->models) {
      if (model.name == step.model) {
        return model.storeLoadTime;
      }
    }
  }
  return kUnloadPatience;
}

void LeaderDuties::orderFinished(const OrderFinished& finished, base::TimePoint now) {
  const auto found = orders_.find(finished.order);
  if (found == orders_.end()) {
    return;
  }
  const PlacementStep step = found->second.step;
  orders_.erase(found);
  log_.write(LogEvent::orderFinished, {{"order", finished.order},
                                       {"worker", step.worker.value},
                                       {"outcome", outcomeName(finished.outcome)}});
  const WorkerRecord* record = state_.findWorker(step.worker);
  if (record == nullptr) {
    return;
  }
  WorkerStatus& status = statusOf(step.worker, now);
  status.sentOrder.reset();
  status.orderFinishedAt = now;
  changed_.insert(step.worker);
  changesAt_.emplace(now + options_.adapterSettleTime, step.worker);
  planSoon_ = true;
  const bool ofModel = step.adapter.empty();
  switch (finished.outcome) {
    case OrderOutcome::accepted:
      ++status.orderCount;
      if (ofModel) {
        const bool load = step.operation == OrderOperation::load;
        const base::Duration patience =
            load ? 2 * loadTime(step, record->service) + kOrderMargin : kUnloadPatience;
        status.modelOrdered(step, now, now + patience);
      } else {
        status.adapterOrdered(step, now, options_.adapterSettleTime);
      }
      return;
    case OrderOutcome::alreadyDone:
      if (ofModel) {
        status.modelOrderDone(step);
        status.reportFresh = false;
      } else {
        // An adapter that is unloaded at once counts as an order; one that is there does not.
        status.orderCount += step.operation == OrderOperation::unload ? 1 : 0;
        status.adapterOrdered(step, now, base::Duration::zero());
      }
      return;
    case OrderOutcome::fenced:
      fenced_ = true;
      return;
    case OrderOutcome::busy:
      if (!ofModel && status.modelOrder && !status.adaptersBlocked) {
        status.adaptersBlocked = true;
        return;
      }
      status.reportFresh = false;
      status.orderAgainAt = now + kRefusedPause;
      return;
    case OrderOutcome::unclear:
      if (step.fromStore) {
        storeRates_[record->service].unclear(now);
      }
      [[fallthrough]];
    case OrderOutcome::misdirected:
    case OrderOutcome::refused:
      status.reportFresh = false;
      status.orderAgainAt = now + kRefusedPause;
      return;
  }
}

void LeaderDuties::reportFinished(const ReportFinished& finished, base::TimePoint now) {
  if (state_.findWorker(finished.worker) == nullptr) {
    return;
  }
  WorkerStatus& status = statusOf(finished.worker, now);
  status.reportUnderWay = false;
  planSoon_ = true;
  if (finished.report.has_error()) {
    status.orderAgainAt = now + kRefusedPause;
    return;
  }
  const WorkerReport& report = finished.report.value();
  log_.write(LogEvent::reportRead,
             {{"worker", finished.worker.value},
              {"orders", report.orderCount},
              {"models", report.holdings.models.size()},
              {"adapters", adapterCount(report.holdings)},
              {"pending", report.pendingAdapters.size()},
              {"busy", std::string_view(report.orderUnderWay ? "yes" : "no")}});
  status.takeReport(report, now);
  logEndedOrder(finished.worker, status, now);
  changed_.insert(finished.worker);
  if (!status.reportFresh) {
    status.orderAgainAt = now + kRefusedPause;
  }
  if (report.orderUnderWay && !status.modelOrder) {
    // An order of a former leader: nothing is known of it but that it is under way.
    status.reportFresh = false;
    status.orderAgainAt = now + kRefusedPause;
  }
}

void LeaderDuties::logEndedOrder(const WorkerId& id, WorkerStatus& status, base::TimePoint now) {
  const std::optional<ModelOrder> ended = std::exchange(status.endedOrder, std::nullopt);
  if (!ended) {
    return;
  }
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - ended->acceptedAt).count();
  log_.write(LogEvent::modelOrderEnded, {{"worker", id.value},
                                         {"operation", operationName(ended->operation)},
                                         {"model", ended->model},
                                         {"millis", static_cast<std::uint64_t>(millis)}});
}

base::TimePoint LeaderDuties::nextWakeup() const {
  base::TimePoint next = std::min({publisher_.nextUpdate(), nextPlan_, nextCheck_});
  if (planSoon_) {
    next = std::min(next, lastPlanAt_ + planSpacing());
  }
  return changesAt_.empty() ? next : std::min(next, changesAt_.begin()->first);
}

}  // namespace walnut::registry
