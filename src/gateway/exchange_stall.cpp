/// @file
/// The part of an exchange that handles workers which send nothing for a while.

#include <algorithm>
#include <utility>

#include "gateway/exchange.h"
#include "walnut/catalog/caller_timeout.h"

namespace walnut::gateway {

namespace {

/// Time between two attempts to take a retry from an exhausted budget.
constexpr base::Duration kRetryCheckInterval = std::chrono::milliseconds(250);

}  // namespace

void Exchange::armStallTimer(base::Duration timeout) {
  const bool mayLeave =
      executedAttempts_ + 1 < route_.maxAttempts && deliveredAttempts_ + 1 < kMaxDeliveredAttempts;
  if (route_.repeatable() && mayLeave) {
    stallTimeout_ = timeout;
    stallTimer_->enableAt(now() + timeout);
  }
}

/// @return true if another worker, by its usual time, would send the next event only after the
/// caller had disconnected, unless the worker takes longer than it usually does to begin the
/// stream. A time that is unknown is taken to be that of the other.
bool Exchange::comesTooLateElsewhere(const Worker& other) const {
  const std::optional<base::Duration> otherTime = other.firstEventTime.value();
  const std::optional<base::Duration> ownTime = worker_->firstEventTime.value();
  const base::Duration usual = ownTime ? *ownTime : otherTime.value_or(base::Duration::zero());
  const base::TimePoint there = now() + otherTime.value_or(usual);
  if (headSent_) {
    const base::Duration patience = catalog::callerTimeout(route_.targetLatency, route_.targetGap);
    return there >= std::min(deadline_, lastEventAt_ + patience);
  }
  const bool isLate = worker_->full() || now() >= attemptAt_ + usual;
  return !isLate && there >= callerDisconnectsAt();
}

/// @return true if leaving the worker may help the caller: another one has a free slot, and would
/// not go on too late. A stream that has begun only leaves a worker to which it may return: one
/// that is draining ends what it has, and takes nothing back.
bool Exchange::leavingMayHelp() {
  if (headSent_ && !context_.selector().isCandidate(service_, worker_->view.record.id)) {
    return false;
  }
  WorkerFilter others = filter();
  others.excluded.insert(worker_->view.record.id);
  const Selection other = context_.selector().select(service_, facts_, others, now());
  if (other.worker == nullptr || other.worker->full()) {
    return false;
  }
  staysForTime_ = comesTooLateElsewhere(*other.worker);
  return !staysForTime_;
}

/// Takes the retry for leaving a silent worker and, for a stream that has begun, the one for
/// returning to it.
bool Exchange::takeRetryForMove() {
  const bool reserves = headSent_ && !isRetryReserved_;
  if (reserves && !context_.reserveRetry(service_)) {
    return false;
  }
  retryTaken_ = context_.takeRetry(service_, facts_);
  isRetryReserved_ = isRetryReserved_ || reserves;
  if (reserves && !retryTaken_) {
    releaseReservedRetry();
  }
  return retryTaken_;
}

void Exchange::releaseReservedRetry() {
  if (std::exchange(isRetryReserved_, false)) {
    context_.releaseReservedRetry(service_);
  }
}

/// Handles a worker that has sent nothing for the stall timeout. A resumable stream continues at
/// another worker if it can begin there at once. Otherwise it keeps its place: most unresponsive
/// workers are busy, not lost.
void Exchange::onStall() {
  if (state_ != State::attempting) {
    return;
  }
  if (!leavingMayHelp() || !takeRetryForMove()) {
    armStallTimer(stallTimeout_);
    return;
  }
  leaveSilentWorker();
}

void Exchange::leaveSilentWorker() {
  constexpr std::string_view kSilent = "the worker is silent";
  ++movesFromSilent_;
  if (headSent_) {
    leftWorkers_.insert(worker_->view.record.id);
  }
  context_.attemptFailed(*worker_);
  recordFailure();
  context_.launcher().forget(worker_->view.record.id);
  dropAttempt();
  recordAttempt(Executed::unknown, kSilent);
  retryOrFail(Executed::unknown, kSilent);
}

/// @return true if the stream may return to a silent worker that it has left. That uses no further
/// worker, so the route's limit of workers permits it.
bool Exchange::mayReturn() const {
  return headSent_ &&
         std::any_of(leftWorkers_.begin(), leftWorkers_.end(), [this](const auto& worker) {
           return context_.selector().isCandidate(service_, worker);
         });
}

/// The worker that the stream has left would have gone on, so the lack of a retry doesn't end the
/// stream.
void Exchange::waitForRetry() {
  waitsForRetry_ = true;
  retryTimer_->enableAt(now() + kRetryCheckInterval);
}

/// Counts a stream that has not begun, though it usually would have, as a failure of its worker. If
/// it only stayed there because it would have begun too late elsewhere, the worker may hang, which
/// nothing else shows.
void Exchange::recordCallerGone() {
  const base::Duration usual = worker_->firstEventTime.valueOr(base::Duration::zero());
  const base::Duration timeout = std::max({kStallFloor, route_.targetLatency, usual});
  const bool isLate = !respondedAt_ && now() - attemptAt_ >= timeout;
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
