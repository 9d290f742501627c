/// @file
/// The part of an exchange that handles a stream which can't begin within its target latency.

#include <algorithm>
#include <utility>

#include "gateway/exchange.h"
#include "walnut/catalog/caller_timeout.h"

namespace walnut::gateway {

namespace {

using runtime::LogEvent;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr std::string_view kFull = "all replicas are full";

std::uint64_t millisOf(base::Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

/// A stream that queues for longer than its target latency is late, and delays all streams queued
/// behind it. Refusing it leaves the slots to streams that can begin in time. A stream that has
/// begun continues.
bool Exchange::wouldBeginLate(const Selection& selection) const {
  return isStreaming() && !headSent_ && route_.targetLatency > base::Duration::zero() &&
         selection.expectedWait > route_.targetLatency;
}

/// @return true if the stream may begin late instead of being refused. A stream that may have run
/// is not held here: its refusal would not be one of a request that has not run.
bool Exchange::mayStartLate() const {
  return isStreaming() && !headSent_ && !mayHaveRun_ && !facts_.model.empty() &&
         context_.lateStarts().appliesTo(service_);
}

/// Decides whether a stream is sent to the selected worker now.
/// @return false if it waits or was refused.
bool Exchange::startsNow(const Selection& selection) {
  if (!mayStartLate()) {
    leaveLateStarts();
    if (!wouldBeginLate(selection)) {
      return true;
    }
    endWait();
    refuse(mayHaveRun_ ? kBadGateway : kUnavailable, kFull, selection.expectedWait);
    return false;
  }
  LateStarts& lateStarts = context_.lateStarts();
  const LateStarts::ModelName model(service_, facts_.model);
  const LateStarts::Place place{deadline_, number_};
  LateStartInput input;
  input.now = now();
  input.arrivedAt = arrivedAt_;
  input.deadline = deadline_;
  input.callerTimeout = catalog::callerTimeout(route_.targetLatency, route_.targetGap);
  input.targetLatency = route_.targetLatency;
  input.expectedWait = selection.expectedWait;
  input.waitingBefore = lateStarts.countBefore(model, place);
  input.slotInterval = lateStarts.slotInterval(service_, facts_);
  input.gateways = lateStarts.gateways();
  input.isRetry = isRetryOfRefused(deadline_ - arrivedAt_, route_.timeout, route_.targetLatency);
  input.hasWaited = wasLate_;
  const LateStartDecision decision = decideLateStart(input);
  switch (decision.action) {
    case LateStartAction::sendInTime:
      return true;
    case LateStartAction::sendLate:
      logLateStart("sent-late", decision.expectedWait);
      return true;
    case LateStartAction::wait:
      if (!std::exchange(wasLate_, true)) {
        logLateStart("waited", decision.expectedWait);
      }
      beginWait(NoWorkerReason::full);
      excluded_.clear();
      lateStarts.add(model, place, *this);
      retryTimer_->enableAt(std::min(decision.until, now() + lateStarts.reviewDelay()));
      return false;
    case LateStartAction::refuse:
      logLateStart("refused", decision.expectedWait);
      refuse(kUnavailable, kFull,
             lateStarts.returnSchedule().add(service_, facts_.model, now(), decision.expectedWait,
                                             input.slotInterval * input.gateways));
      return false;
  }
  return true;
}

void Exchange::leaveLateStarts() {
  context_.lateStarts().remove({service_, facts_.model}, {deadline_, number_});
}

void Exchange::logLateStart(std::string_view outcome, base::Duration expectedWait) {
  const base::Duration waiting = isWaiting_ ? now() - waitBeganAt_ : base::Duration::zero();
  context_.metrics().count("walnut_gateway_late_starts_total", std::string(outcome));
  context_.log().write(LogEvent::lateStartDecided, {{"request", facts_.requestId},
                                                    {"model", facts_.model},
                                                    {"outcome", outcome},
                                                    {"expected-millis", millisOf(expectedWait)},
                                                    {"waited", millisOf(waited_ + waiting)}});
}

}  // namespace walnut::gateway
