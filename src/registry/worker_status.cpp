#include "registry/worker_status.h"

#include <algorithm>

namespace walnut::registry {

namespace {

/// Greatest age of a report; reports are some 100 ms old.
constexpr base::Duration kReportAge = std::chrono::milliseconds(350);
/// Time in which an adapter counts as new, so that the requests it was loaded for reach it.
constexpr base::Duration kNewAdapter = std::chrono::milliseconds(1500);
/// Longer than two heartbeat intervals: by then heartbeats of the worker reflect the order.
constexpr base::Duration kOverlayLifetime = std::chrono::seconds(4);

}  // namespace

void WorkerStatus::begin(const std::vector<HeldModel>& models) {
  reported_.models = models;
  holdingsKnown = true;
}

bool WorkerStatus::takeHeartbeat(const Heartbeat& heartbeat, base::TimePoint now) {
  if (heartbeat.sequence < lastSequence) {
    return false;
  }
  lastSequence = heartbeat.sequence;
  lastContact = now;
  hasContact = true;
  silent = false;
  holdingsHash = hashOf(heartbeat);
  if (!heartbeat.holdingsKnown) {
    return true;
  }
  if (reportFresh && !ordersExplain(heartbeat.holdings)) {
    reportFresh = false;
    holdingsHash = 0;
    return true;
  }
  holdingsKnown = true;
  reported_ = heartbeat.holdings;
  finishModelOrder();
  return true;
}

bool WorkerStatus::takeContact(const WorkerContact& worker, base::TimePoint now) {
  if (worker.sequence >= lastSequence) {
    lastSequence = worker.sequence;
    lastContact = now;
    hasContact = true;
    silent = false;
  }
  return holdingsHash == worker.holdingsHash;
}

/// Returns true if orders explain the difference between a heartbeat and the last report. A
/// heartbeat may have been in flight for seconds, and the sequence can't show that for the first
/// one that a leader receives. Models change by orders only, so a heartbeat that differs from the
/// last report without an order to explain it was sent before that report.
bool WorkerStatus::ordersExplain(const Holdings& holdings) const {
  const auto isOrdered = [this](const std::string& model) {
    return (modelOrder && modelOrder->model == model) ||
           (sentOrder && sentOrder->adapter.empty() && sentOrder->model == model);
  };
  const auto within = [&isOrdered](const Holdings& inner, const Holdings& outer) {
    return std::all_of(inner.models.begin(), inner.models.end(), [&](const HeldModel& held) {
      return outer.find(held.name) != nullptr || isOrdered(held.name);
    });
  };
  return within(holdings, reported_) && within(reported_, holdings);
}

void WorkerStatus::takeReport(const WorkerReport& report, base::TimePoint now) {
  // Reports are delayed: one from before the last order must not undo the effects of that order.
  const bool current = report.orderCount >= orderCount || now >= orderFinishedAt + kReportAge;
  reportFresh = current;
  if (!current) {
    return;
  }
  orderCount = report.orderCount;
  lastContact = now;
  hasContact = true;
  silent = false;
  std::vector<std::string> inMemory = std::move(reported_.inMemory);
  std::vector<std::string> onDisk = std::move(reported_.onDisk);
  reported_ = report.holdings;
  // Adapters in transfer occupy their slots already.
  for (const std::string& pending : report.pendingAdapters) {
    const std::size_t slash = pending.find('/');
    if (slash != std::string::npos) {
      setAdapter(reported_.models, {pending.substr(0, slash), pending.substr(slash + 1)}, true);
    }
  }
  if (reported_.inMemory.empty() && reported_.onDisk.empty()) {
    reported_.inMemory = std::move(inMemory);
    reported_.onDisk = std::move(onDisk);
  }
  holdingsKnown = true;
  finishModelOrder();
  if (modelOrder && !report.orderUnderWay) {
    endedOrder = std::exchange(modelOrder, std::nullopt);
  }
}

void WorkerStatus::finishModelOrder() {
  if (!modelOrder) {
    return;
  }
  const bool held = reported_.find(modelOrder->model) != nullptr;
  if (held == (modelOrder->operation == OrderOperation::load)) {
    endedOrder = std::exchange(modelOrder, std::nullopt);
  }
}

bool WorkerStatus::adapterIsNew(const std::string& model, const std::string& adapter,
                                base::TimePoint now) const {
  const auto found = adapterChanges_.find({model, adapter});
  return found != adapterChanges_.end() && found->second.present &&
         now < found->second.orderedAt + kNewAdapter;
}

void WorkerStatus::adapterOrdered(const PlacementStep& step, base::TimePoint now,
                                  base::Duration settleTime) {
  const bool present = step.operation == OrderOperation::load;
  adapterChanges_[{step.model, step.adapter}] = {present, now, present ? now + settleTime : now,
                                                 now + kOverlayLifetime};
}

void WorkerStatus::modelOrdered(const PlacementStep& step, base::TimePoint now,
                                base::TimePoint expectedEnd, base::TimePoint dueAt) {
  modelOrder = ModelOrder{step.operation, step.model, now, expectedEnd, dueAt};
  adaptersBlocked = false;
  if (step.operation == OrderOperation::unload) {
    std::erase_if(adapterChanges_,
                  [&step](const auto& entry) { return entry.first.first == step.model; });
  }
}

void WorkerStatus::modelOrderDone(const PlacementStep& step) {
  modelOrder.reset();
  const bool held = reported_.find(step.model) != nullptr;
  if (step.operation == OrderOperation::load && !held) {
    reported_.models.push_back({step.model, 0, {}});
  } else if (step.operation == OrderOperation::unload && held) {
    std::erase_if(reported_.models,
                  [&step](const HeldModel& model) { return model.name == step.model; });
  }
}

void WorkerStatus::setAdapter(std::vector<HeldModel>& models, const AdapterKey& key, bool present) {
  for (HeldModel& model : models) {
    if (model.name != key.first) {
      continue;
    }
    std::erase(model.adapters, key.second);
    if (present) {
      model.adapters.push_back(key.second);
    }
  }
}

void WorkerStatus::updateOrderable(base::TimePoint now) {
  if (reportFresh) {
    unorderableSince.reset();
  } else if (!unorderableSince) {
    unorderableSince = now;
  }
}

bool WorkerStatus::hasInMemory(const std::string& model) const {
  return std::find(reported_.inMemory.begin(), reported_.inMemory.end(), model) !=
         reported_.inMemory.end();
}

Holdings WorkerStatus::expected(base::TimePoint now) const {
  Holdings holdings = reported_;
  for (const auto& [key, change] : adapterChanges_) {
    if (now < change.until) {
      setAdapter(holdings.models, key, change.present);
    }
  }
  return holdings;
}

std::vector<HeldModel> WorkerStatus::serving(base::TimePoint now) const {
  std::vector<HeldModel> models = reported_.models;
  for (const auto& [key, change] : adapterChanges_) {
    if (now < change.until) {
      setAdapter(models, key, change.present && now >= change.effectiveAt);
    }
  }
  if (modelOrder && modelOrder->operation == OrderOperation::unload) {
    std::erase_if(models,
                  [this](const HeldModel& model) { return model.name == modelOrder->model; });
  }
  return models;
}

base::TimePoint WorkerStatus::nextChange(base::TimePoint now) const {
  base::TimePoint next = base::kNever;
  for (const auto& [key, change] : adapterChanges_) {
    if (change.effectiveAt > now) {
      next = std::min(next, change.effectiveAt);
    }
  }
  return next;
}

}  // namespace walnut::registry
