/// @file
/// The part of the leader's tasks that sends orders to workers: the reports it needs before an
/// order, the orders themselves, and the handling of their outcomes and of workers' reports.

#include <algorithm>
#include <utility>

#include "registry/leader_duties.h"

namespace walnut::registry {

namespace {

using runtime::LogEvent;

/// Pause after a refused order until the worker is sent another.
constexpr base::Duration kRefusedPause = std::chrono::milliseconds(200);
/// Time beyond the expected end of a load until a report is requested from its worker, whose
/// heartbeat may be late.
constexpr base::Duration kLoadReportDelay = std::chrono::milliseconds(1500);
/// Typical duration of an unload of an idle model, as seen in logs, and of a model with running
/// requests, for which the unload waits.
constexpr base::Duration kUnloadTime = std::chrono::milliseconds(60);
constexpr base::Duration kUnloadOfBusyModel = std::chrono::seconds(1);
/// Time until a report is requested about an unload, which waits for the running requests.
constexpr base::Duration kUnloadReportDelay = std::chrono::seconds(4);

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

std::uint64_t percent(double share) {
  constexpr double kHundred = 100;
  return static_cast<std::uint64_t>(kHundred * share);
}

std::string_view operationName(OrderOperation operation) {
  return operation == OrderOperation::load ? "load" : "unload";
}

}  // namespace

void LeaderDuties::issueOrders(const std::vector<PlacementStep>& steps, base::TimePoint now) {
  if (steps.empty()) {
    return;
  }
  if (!options_.ordersFenced) {
    record(steps, now);
    return;
  }
  for (const PlacementStep& step : steps) {
    send(step, now);
  }
}

void LeaderDuties::cancel(const PlacementStep& step, base::TimePoint now) {
  statusOf(step.worker, now).sentOrder.reset();
  planSoon_ = true;
  StoreScheduler* const store = step.fromStore ? storeOfLoad(step.worker) : nullptr;
  if (store != nullptr) {
    store->recordAbandoned(step.worker);
  }
  log_.write(LogEvent::orderCancelled, {{"worker", step.worker.value},
                                        {"operation", operationName(step.operation)},
                                        {"model", step.model},
                                        {"adapter", step.adapter}});
}

void LeaderDuties::send(const PlacementStep& step, base::TimePoint now) {
  const WorkerRecord& record = *state_.findWorker(step.worker);
  WorkerStatus& status = statusOf(step.worker, now);
  const std::uint64_t order = ++lastOrder_;
  status.sentOrder = step;
  if (step.operation == OrderOperation::load && step.adapter.empty()) {
    status.unfinishedLoad = {record.service, step.model, now};
  }
  orders_[order] = {step, now};
  SendOrder send;
  send.order = order;
  send.worker = record;
  send.load = step.operation == OrderOperation::load;
  send.model = step.model;
  send.adapter = step.adapter;
  send.reason = step.reason ? placementReasonName(*step.reason) : std::string_view();
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

std::size_t LeaderDuties::orderableWorkers(base::TimePoint now) const {
  if (!ordersAllowed(now)) {
    return 0;
  }
  return static_cast<std::size_t>(
      std::count_if(workers_.begin(), workers_.end(), [this, now](const auto& entry) {
        const WorkerStatus& status = entry.second;
        return status.reportFresh && !status.silent && !status.sentOrder && !status.modelOrder &&
               mayOrder(entry.first, now);
      }));
}

void LeaderDuties::requestReport(const WorkerRecord& record, WorkerStatus& status) {
  if (!status.reportUnderWay) {
    status.reportUnderWay = true;
    actions_.emplace_back(ReadReport{record});
  }
}

/// Orders carry the worker's order count, so only a worker whose count is known can be ordered.
bool LeaderDuties::needsReport(const WorkerRecord& record, const WorkerStatus& status,
                               base::TimePoint now) const {
  return !outOfService(record) && !status.silent && !status.reportFresh && !status.sentOrder &&
         now >= status.orderAgainAt && mayOrder(record.id, now);
}

/// Requests missing reports from all workers of small services. For a large service the planner
/// requests reports only from the workers that it may order.
void LeaderDuties::refreshReports(base::TimePoint now) {
  if (document_ == nullptr) {
    return;
  }
  std::set<std::string_view> small;
  for (const catalog::Service& service : document_->services) {
    if (service.engine && !isLarge(service.name)) {
      small.insert(service.name);
    }
  }
  if (small.empty()) {
    return;
  }
  for (const auto& [id, record] : state_.workers()) {
    WorkerStatus& status = statusOf(id, now);
    if (small.count(record.service) != 0 && needsReport(record, status, now)) {
      requestReport(record, status);
    }
  }
}

void LeaderDuties::requestOverdueReports(base::TimePoint now) {
  for (auto next = busyWorkers_.begin(); next != busyWorkers_.end();) {
    const WorkerRecord* record = state_.findWorker(*next);
    WorkerStatus& status = statusOf(*next, now);
    if (record == nullptr || (!status.modelOrder && !status.foreignOrder)) {
      next = busyWorkers_.erase(next);
      continue;
    }
    if (status.modelOrder && now >= status.modelOrder->dueAt && !status.silent) {
      status.modelOrder->dueAt = now + kLoadReportDelay;
      requestReport(*record, status);
    }
    ++next;
  }
}

/// @return the expected duration of the order, or a default if the model isn't declared.
base::Duration LeaderDuties::expectedTime(const PlacementStep& step, const WorkerRecord& record,
                                          const WorkerStatus& status) const {
  if (step.operation == OrderOperation::unload) {
    return demand_.running(step.worker, step.model) > 0 ? kUnloadOfBusyModel : kUnloadTime;
  }
  const catalog::Service* service = document_ ? document_->findService(record.service) : nullptr;
  if (service == nullptr || !service->engine) {
    return kUnloadReportDelay;
  }
  for (const catalog::ModelSpec& model : service->engine->models) {
    if (model.name == step.model) {
      return step.fromStore                   ? model.storeLoadTime
             : status.hasInMemory(step.model) ? model.memoryLoadTime
                                              : model.diskLoadTime;
    }
  }
  return kUnloadReportDelay;
}

/// @return the scheduler with the worker's load in progress, or nullptr if there is none. The
/// worker may be forgotten or have changed its service since it was ordered.
StoreScheduler* LeaderDuties::storeOfLoad(const WorkerId& worker) {
  const auto found = std::find_if(stores_.begin(), stores_.end(), [&worker](const auto& entry) {
    return entry.second.hasLoad(worker);
  });
  return found == stores_.end() ? nullptr : &found->second;
}

/// Records that a worker ended during a load, which may have been the cause. The load no longer
/// counts as in progress: otherwise it would seem later and later, and the store overloaded.
void LeaderDuties::handleWorkerEnd(const WorkerId& id, const WorkerStatus& status,
                                   base::TimePoint now) {
  if (!status.unfinishedLoad) {
    return;
  }
  const UnfinishedLoad& load = *status.unfinishedLoad;
  storeOf(load.service).recordUnclear(id, now);
  const base::Duration pause =
      backoffs_[load.service].recordWorkerEnd(load.model, load.orderedAt, now);
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - load.orderedAt).count();
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(pause).count();
  log_.write(LogEvent::loadCutShort, {{"worker", id.value},
                                      {"service", load.service},
                                      {"model", load.model},
                                      {"age-millis", static_cast<std::uint64_t>(age)},
                                      {"pause-millis", static_cast<std::uint64_t>(millis)}});
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
  markChanged(step.worker);
  changesAt_.emplace(now + options_.adapterSettleTime, step.worker);
  planSoon_ = true;
  const bool isModelOrder = step.adapter.empty();
  const bool mayTakeEffect =
      finished.outcome == OrderOutcome::accepted || finished.outcome == OrderOutcome::unclear;
  StoreScheduler* const store = step.fromStore ? storeOfLoad(step.worker) : nullptr;
  if (store != nullptr && !mayTakeEffect) {
    store->recordAbandoned(step.worker);
  }
  if (!mayTakeEffect && isModelOrder) {
    status.unfinishedLoad.reset();
  }
  switch (finished.outcome) {
    case OrderOutcome::accepted:
      ++status.orderCount;
      if (isModelOrder) {
        const bool load = step.operation == OrderOperation::load;
        const base::Duration expected = expectedTime(step, *record, status);
        const base::Duration reportDelay = load ? expected + kLoadReportDelay : kUnloadReportDelay;
        status.modelOrdered(step, now, now + expected, now + reportDelay);
        busyWorkers_.insert(step.worker);
        if (store != nullptr) {
          store->recordAccepted(step.worker, now);
        }
      } else {
        status.adapterOrdered(step, now, options_.adapterSettleTime);
      }
      return;
    case OrderOutcome::alreadyDone:
      if (isModelOrder) {
        status.modelOrderDone(step);
        status.reportFresh = false;
      } else {
        // The worker counts an adapter unload that took effect at once as an order, but not a load
        // of an adapter that is already present.
        status.orderCount += step.operation == OrderOperation::unload ? 1 : 0;
        status.adapterOrdered(step, now, base::Duration::zero());
      }
      return;
    case OrderOutcome::fenced:
      fenced_ = true;
      return;
    case OrderOutcome::busy:
      if (!isModelOrder && status.modelOrder && !status.adaptersBlocked) {
        status.adaptersBlocked = true;
        return;
      }
      status.reportFresh = false;
      status.orderAgainAt = now + kRefusedPause;
      return;
    case OrderOutcome::unclear:
      if (store != nullptr) {
        store->recordUnclear(step.worker, now);
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
  const std::uint64_t born = state_.findWorker(finished.worker)->bornMillis;
  if (report.bornMillis != 0 && born != 0 && report.bornMillis != born) {
    log_.write(LogEvent::heartbeatRefused, {{"worker", finished.worker.value},
                                            {"reason", "report-of-another-life"},
                                            {"born", report.bornMillis}});
    status.orderAgainAt = now + kRefusedPause;
    return;
  }
  log_.write(LogEvent::reportRead,
             {{"worker", finished.worker.value},
              {"orders", report.orderCount},
              {"models", report.holdings.models.size()},
              {"adapters", adapterCount(report.holdings)},
              {"pending", report.pendingAdapters.size()},
              {"memory-copies", report.holdings.inMemory.size()},
              {"disk-copies", report.holdings.onDisk.size()},
              {"busy", std::string_view(report.orderUnderWay ? "yes" : "no")}});
  status.takeReport(report, now);
  logEndedOrder(finished.worker, status, now);
  markChanged(finished.worker);
  if (!status.reportFresh) {
    status.orderAgainAt = now + kRefusedPause;
  }
  if (report.orderUnderWay && !status.modelOrder) {
    // The order is from a previous leader. Nothing is known but that it is in progress.
    status.reportFresh = false;
    status.orderAgainAt = now + kRefusedPause;
  }
  status.foreignOrder = report.orderUnderWay && !status.modelOrder;
  if (status.foreignOrder) {
    busyWorkers_.insert(finished.worker);
  }
}

void LeaderDuties::logEndedOrder(const WorkerId& id, WorkerStatus& status, base::TimePoint now) {
  const std::optional<ModelOrder> ended = std::exchange(status.endedOrder, std::nullopt);
  if (!ended) {
    return;
  }
  if (ended->operation == OrderOperation::load && status.unfinishedLoad) {
    backoffs_[status.unfinishedLoad->service].recordSuccess(ended->model);
    status.unfinishedLoad.reset();
  }
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - ended->acceptedAt).count();
  StoreScheduler* const loaded = storeOfLoad(id);
  const double lateness = loaded == nullptr ? 0 : loaded->recordEnd(id, now);
  const WorkerRecord* record = state_.findWorker(id);
  const StoreScheduler* store = record == nullptr ? loaded : &storeOf(record->service);
  log_.write(LogEvent::modelOrderEnded, {{"worker", id.value},
                                         {"operation", operationName(ended->operation)},
                                         {"model", ended->model},
                                         {"millis", static_cast<std::uint64_t>(millis)},
                                         {"lateness-percent", percent(lateness)},
                                         {"store-limit", store == nullptr ? 0 : store->limit()}});
}

}  // namespace walnut::registry
