/// @file
/// The part of an exchange that handles workers which send nothing for a while.

#include <algorithm>
#include <utility>

#include "gateway/exchange.h"

namespace walnut::gateway {

void Exchange::armStallTimer(base::Duration timeout) {
  if (route_.repeatable() && executedAttempts_ + 1 < route_.maxAttempts) {
    stallTimeout_ = timeout;
    stallTimer_->enableAt(now() + timeout);
  }
}

/// @return true if the worker takes no longer than it usually does, and another one, by its usual
/// time, would begin the stream only after the caller had disconnected. A time that is unknown is
/// taken to be that of the other.
bool Exchange::comesTooLateElsewhere(const Worker& other) const {
  const std::optional<base::Duration> otherTime = other.firstEventTime.value();
  const std::optional<base::Duration> ownTime = worker_->firstEventTime.value();
  const base::Duration usual = ownTime ? *ownTime : otherTime.value_or(base::Duration::zero());
  const bool isLate = headSent_ || worker_->full() || now() >= attemptAt_ + usual;
  return !isLate && now() + otherTime.value_or(usual) >= callerDisconnectsAt();
}

/// @return true if leaving the worker may help the caller: another one has a free slot, and would
/// not begin the stream too late.
bool Exchange::leavingMayHelp() {
  std::set<registry::WorkerId> excluded = excluded_;
  excluded.insert(worker_->view.record.id);
  const Selection other = context_.selector().select(service_, facts_, excluded, now());
  if (other.worker == nullptr || other.worker->full()) {
    return false;
  }
  staysForTime_ = comesTooLateElsewhere(*other.worker);
  return !staysForTime_;
}

/// Handles a worker that has sent nothing for the stall timeout. A resumable stream continues at
/// another worker if it can begin there at once. Otherwise it keeps its place: most unresponsive
/// workers are busy, not lost.
void Exchange::onStall() {
  if (state_ != State::attempting) {
    return;
  }
  if (!leavingMayHelp() || !context_.takeRetry(service_, facts_)) {
    armStallTimer(stallTimeout_);
    return;
  }
  retryTaken_ = true;
  context_.attemptFailed(*worker_);
  recordFailure();
  context_.launcher().forget(worker_->view.record.id);
  ++movesFromSilent_;
  dropAttempt();
  attemptEnded(Executed::unknown, "the worker is silent");
}

/// Counts a stream that has not begun, though it usually would have, as a failure of its worker. If
/// it only stayed there because it would have begun too late elsewhere, the worker may hang, which
/// nothing else shows.
void Exchange::recordCallerGone() {
  const base::Duration usual = worker_->firstEventTime.valueOr(base::Duration::zero());
  const base::Duration timeout = std::max({kStallFloor, route_.targetLatency, usual});
  const bool isLate = !isAnswerRecorded_ && now() - attemptAt_ >= timeout;
  if (isLate) {
    recordFailure();
  }
  if (isLate && staysForTime_) {
    context_.attemptFailed(*worker_);
  } else {
    worker_->breaker.recordNoOutcome(now());
  }
}

}  // namespace walnut::gateway
