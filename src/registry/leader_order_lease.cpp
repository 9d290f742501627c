/// @file
/// The leader's handling of the order lease: from when on it may order workers that a previous
/// leader ordered, and how it records its own orders for the next leader.

#include <utility>

#include "registry/leader_duties.h"

namespace walnut::registry {

namespace {

using runtime::LogEvent;

/// Delay of a takeover where workers check fencing tokens: the age of reports plus a margin, so
/// that reports cover all orders of the previous holder.
constexpr base::Duration kFencedTakeoverDelay = std::chrono::milliseconds(500);

}  // namespace

bool LeaderDuties::ordersAllowed(base::TimePoint now) const {
  const base::ServerId holder = state_.orderHolder();
  return !fenced_ && holder == self_ && now >= since_;
}

/// Two servers must not order the same worker within one lease. Where workers check fencing tokens,
/// late orders of the previous holder are refused, so a single takeover needs no such wait, only
/// reports that cover its orders; a second takeover within the lease does wait, as the first holder
/// might be back. Without fencing the wait applies to each worker: see `mayOrder`.
base::TimePoint LeaderDuties::takeoverAllowedAt(
    std::optional<base::TimePoint> lastTakeoverAt) const {
  if (!options_.ordersFenced) {
    return since_;
  }
  const base::Duration lease = options_.orderLease + kOrderLeaseMargin;
  const bool isRecent = lastTakeoverAt && since_ < *lastTakeoverAt + lease;
  return since_ + (isRecent ? lease : kFencedTakeoverDelay);
}

/// Without fencing, a worker that a previous holder ordered recently is not ordered before that
/// holder's lease has ended.
bool LeaderDuties::mayOrder(const WorkerId& worker, base::TimePoint now) const {
  const base::ServerId last = state_.lastOrderedBy(worker);
  return options_.ordersFenced || last == self_ || last == base::ServerId{} ||
         now >= turns_.allowedAt(worker, since_, options_.orderLease);
}

void LeaderDuties::claimOrderLease(base::TimePoint now) {
  const base::ServerId holder = state_.orderHolder();
  if (holder == self_ || holderProposed_ || document_ == nullptr) {
    return;
  }
  const bool first = holder == base::ServerId{};
  if (!first && now < takeoverAllowedAt_) {
    return;
  }
  holderProposed_ = true;
  isFirstHolder_ = first;
  commands_.emplace_back(StoreOrderHolder{self_});
  log_.write(LogEvent::orderTurn, {{"term", term_}, {"former", holder.value}});
}

/// A previous leader sends orders only under its lease, which has ended by `since_`; its last
/// orders may still be in flight for `kOrderLeaseMargin`.
PreviousLoads LeaderDuties::previousLoads() const {
  return isFirstHolder_ ? PreviousLoads{std::nullopt} : PreviousLoads{since_ + kOrderLeaseMargin};
}

/// Without fencing, orders are committed to the log before they are sent, so that the next leader
/// knows which workers it has to wait for.
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
  const bool late = now > recorded.plannedAt + kMaxRecordingTime;
  for (const PlacementStep& step : recorded.steps) {
    if (late || !leaseValid || state_.findWorker(step.worker) == nullptr) {
      cancel(step, now);
    } else {
      send(step, now);
    }
  }
}

/// Once all orders of previous holders have expired, records all workers as last ordered by this
/// server, so that it need not wait for any of them if it leads again after a restart.
void LeaderDuties::recordAllWorkers(base::TimePoint now) {
  const base::TimePoint due = since_ + options_.orderLease + kOrderLeaseMargin + kOrderSendMargin;
  if (options_.ordersFenced || allWorkersRecorded_ || now < due) {
    return;
  }
  allWorkersRecorded_ = true;
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

/// Cancels orders whose log entries were lost, or delayed for too long.
void LeaderDuties::cancelUnrecorded(base::TimePoint now) {
  while (!batches_.empty() && now > batches_.begin()->second.plannedAt + kMaxRecordingTime) {
    const Batch late = std::move(batches_.begin()->second);
    batches_.erase(batches_.begin());
    for (const PlacementStep& step : late.steps) {
      cancel(step, now);
    }
  }
}

}  // namespace walnut::registry
