#include "gateway/late_start_policy.h"

#include <algorithm>

namespace walnut::gateway {

namespace {

base::Duration expectedWaitInLine(const LateStartInput& input) {
  // The other gateways are assumed to hold as many streams as this one.
  return input.expectedWait + input.slotInterval * input.gateways * input.waitingBefore;
}

bool canBeginInTime(const LateStartInput& input) {
  const base::Duration spent =
      input.hasWaited ? input.now - input.arrivedAt : base::Duration::zero();
  return spent + input.expectedWait <= input.targetLatency;
}

}  // namespace

LateStartDecision decideLateStart(const LateStartInput& input) {
  const auto decision = [&input](LateStartAction action, base::TimePoint until = {}) {
    return LateStartDecision{action, until, expectedWaitInLine(input)};
  };
  if (input.targetLatency <= base::Duration::zero() || canBeginInTime(input)) {
    return decision(LateStartAction::sendInTime);
  }
  const base::TimePoint leavesAt = std::min(input.deadline, input.arrivedAt + input.callerTimeout);
  // A worker with a short queue begins a stream within the target latency. A stream that is sent
  // later than this would occupy a slot for a caller that has left.
  const base::TimePoint lastStart = leavesAt - input.targetLatency;
  const base::TimePoint waitLimit =
      input.isRetry
          ? lastStart
          : std::min(lastStart, input.arrivedAt + input.callerTimeout / kFirstAttemptDivisor);
  if (input.now + expectedWaitInLine(input) > lastStart) {
    return decision(LateStartAction::refuse);
  }
  const bool isShort = input.expectedWait <= input.targetLatency / kShortQueueDivisor;
  if (isShort && input.waitingBefore == 0) {
    return decision(LateStartAction::sendLate);
  }
  return input.now >= waitLimit ? decision(LateStartAction::refuse)
                                : decision(LateStartAction::wait, waitLimit);
}

bool isRetryOfRefused(base::Duration timeLeft, base::Duration routeTimeout,
                      base::Duration targetLatency) {
  return timeLeft + targetLatency < routeTimeout;
}

}  // namespace walnut::gateway
