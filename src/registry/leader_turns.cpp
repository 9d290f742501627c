/// @file
/// The part of a leader's duties that sees to its turn: from when on it may order a worker that a
/// former leader ordered, and how the next leader learns of its own orders.

#include <utility>

#include "registry/leader_duties.h"

namespace walnut::registry {

namespace {

using runtime::LogEvent;

/// Workers check fences: as old as reports are, and some, so that they tell of all orders that the
/// former holder gave.
constexpr base::Duration kFencedTurnDelay = std::chrono::milliseconds(500);

}  // namespace

bool LeaderDuties::ordersAllowed(base::TimePoint now) const {
  const base::ServerId holder = state_.orderHolder();
  return !fenced_ && holder == self_ && now >= since_;
}

/// Two servers must not order one worker in turn within the lease. With fences the former holder's
/// late orders are refused, so one change needs no such wait, only that reports tell of its orders;
/// a second change within the lease does, as the first holder might be back. Without fences each
/// worker is waited for by itself: see `mayOrder`.
base::TimePoint LeaderDuties::turnAllowedAt(std::optional<base::TimePoint> lastTurnAt) const {
  if (!options_.ordersFenced) {
    return since_;
  }
  const base::Duration lease = options_.orderLease + kTurnMargin;
  const bool recent = lastTurnAt && since_ < *lastTurnAt + lease;
  return since_ + (recent ? lease : kFencedTurnDelay);
}

/// Without fences, a worker that a former holder ordered lately is not ordered before that holder's
/// lease is over.
bool LeaderDuties::mayOrder(const WorkerId& worker, base::TimePoint now) const {
  const base::ServerId last = state_.lastOrderedBy(worker);
  return options_.ordersFenced || last == self_ || last == base::ServerId{} ||
         now >= turns_.allowedAt(worker, since_, options_.orderLease);
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
  firstHolder_ = first;
  commands_.emplace_back(StoreOrderHolder{self_});
  log_.write(LogEvent::orderTurn, {{"term", term_}, {"former", holder.value}});
}

/// A former leader orders only under its lease, which has ended by `since_`; what it sent last is
/// on its way for some time.
FormerLoads LeaderDuties::formerLoads() const {
  return firstHolder_ ? FormerLoads{std::nullopt} : FormerLoads{since_ + kTurnMargin};
}

/// Without fences, orders are in the log before they are sent, so that the next leader knows which
/// workers it has to wait for.
void LeaderDuties::record(const std::vector<PlacementStep>& steps, base::TimePoint now) {
  StoreOrderedWorkers command{self_, term_, ++lastBatch_, {}};
  for (const PlacementStep& step : steps) {
    command.workers.push_back(step.worker);
    statusOf(step.worker, now).sentOrder = step;
  }
  batches_[lastBatch_] = {steps, now};
  commands_.emplace_back(std::move(command));
}

void LeaderDuties::ordersRecorded(std::uint64_t batch, base::TimePoint now, bool leaseValid) {
  const auto found = batches_.find(batch);
  if (found == batches_.end()) {
    return;
  }
  const Batch recorded = std::move(found->second);
  batches_.erase(found);
  const bool late = now > recorded.plannedAt + kRecordedOrderLifetime;
  for (const PlacementStep& step : recorded.steps) {
    if (late || !leaseValid || state_.findWorker(step.worker) == nullptr) {
      cancel(step, now);
    } else {
      send(step, now);
    }
  }
}

/// Once every order of former holders is out of date, all workers are recorded as this server's:
/// should it lead again after a restart, it need not wait for any.
void LeaderDuties::claimWorkers(base::TimePoint now) {
  const base::TimePoint due = since_ + options_.orderLease + kTurnMargin + kRecordedOrderLifetime;
  if (options_.ordersFenced || workersClaimed_ || now < due) {
    return;
  }
  workersClaimed_ = true;
  StoreOrderedWorkers command{self_, term_, ++lastBatch_, {}};
  for (const auto& [id, record] : state_.workers()) {
    if (state_.lastOrderedBy(id) != self_) {
      command.workers.push_back(id);
    }
  }
  if (!command.workers.empty()) {
    commands_.emplace_back(std::move(command));
  }
}

/// Proposals may be lost, and a slow disk may hold them up: their orders are not sent any more.
void LeaderDuties::dropUnrecorded(base::TimePoint now) {
  while (!batches_.empty() && now > batches_.begin()->second.plannedAt + kRecordedOrderLifetime) {
    const Batch late = std::move(batches_.begin()->second);
    batches_.erase(batches_.begin());
    for (const PlacementStep& step : late.steps) {
      cancel(step, now);
    }
  }
}

}  // namespace walnut::registry
