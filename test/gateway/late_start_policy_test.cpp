/// Tests of the decision about streams that can't begin in time. The load: 66 gateways and a model
/// with 4 replicas of 16 slots whose streams take 2 s, so that a slot is free every 31 ms. Its rate
/// has risen above that. Target latency 400 ms, callers leave after 2.4 s.

#include "gateway/late_start_policy.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kArrival(1000s);

LateStartInput streamUnderBurst() {
  LateStartInput input;
  input.now = kArrival;
  input.arrivedAt = kArrival;
  input.deadline = kArrival + 10s;
  input.callerTimeout = 2400ms;
  input.targetLatency = 400ms;
  input.slotInterval = 31ms;
  input.gateways = 66;
  return input;
}

void check(LateStartAction expected, const LateStartInput& input) {
  CHECK_TRUE(expected == decideLateStart(input).action);
}

}  // namespace

TEST_GROUP(LateStartPolicyTest){};

TEST(LateStartPolicyTest, aStreamWithinItsTargetIsSentAsBefore) {
  LateStartInput input = streamUnderBurst();
  input.expectedWait = 400ms;
  input.waitingBefore = 3;
  check(LateStartAction::sendInTime, input);
}

/// Guards against refusing a stream that could be served before its caller leaves.
TEST(LateStartPolicyTest, aStreamThatCanBeginBeforeItsCallerLeavesWaits) {
  LateStartInput input = streamUnderBurst();
  input.expectedWait = 401ms;
  check(LateStartAction::wait, input);
  CHECK_TRUE(kArrival + 1200ms == decideLateStart(input).until);
}

/// Guards against a late stream that takes the place of streams which can still be in time.
TEST(LateStartPolicyTest, aLateStreamIsSentOnlyToAShortQueue) {
  LateStartInput input = streamUnderBurst();
  input.now += 500ms;
  input.hasWaited = true;
  input.expectedWait = 101ms;
  check(LateStartAction::wait, input);
  input.expectedWait = 100ms;
  check(LateStartAction::sendLate, input);
}

/// Guards against a stream that is late already and is sent with the rank of one in time.
TEST(LateStartPolicyTest, theTimeSpentWaitingCountsTowardsTheTarget) {
  LateStartInput input = streamUnderBurst();
  input.now += 350ms;
  input.hasWaited = true;
  input.expectedWait = 50ms;
  check(LateStartAction::sendInTime, input);
  input.expectedWait = 51ms;
  check(LateStartAction::sendLate, input);
}

TEST(LateStartPolicyTest, aStreamThatCannotBeginBeforeItsCallerLeavesIsRefused) {
  LateStartInput input = streamUnderBurst();
  input.expectedWait = 2001ms;
  check(LateStartAction::refuse, input);
}

/// Guards against an estimate that is far too low under a burst, as each gateway sees only its own
/// waiting streams.
TEST(LateStartPolicyTest, streamsWaitingAtTheOtherGatewaysCount) {
  LateStartInput input = streamUnderBurst();
  input.expectedWait = 450ms;
  input.waitingBefore = 1;
  check(LateStartAction::refuse, input);
  CHECK_TRUE(450ms + 66 * 31ms == decideLateStart(input).expectedWait);
  input.gateways = 5;
  check(LateStartAction::wait, input);
}

/// Guards against a stream that overtakes one with an earlier deadline.
TEST(LateStartPolicyTest, onlyTheFirstOfAModelIsSentLate) {
  LateStartInput input = streamUnderBurst();
  input.now += 500ms;
  input.hasWaited = true;
  input.gateways = 2;
  input.waitingBefore = 1;
  check(LateStartAction::wait, input);
}

/// Guards against first attempts that keep a place until their callers leave, so that callers who
/// return when told find no capacity.
TEST(LateStartPolicyTest, aFirstAttemptWaitsForHalfOfTheCallerTimeout) {
  LateStartInput input = streamUnderBurst();
  input.hasWaited = true;
  input.expectedWait = 300ms;
  input.now += 1199ms;
  check(LateStartAction::wait, input);
  input.now += 1ms;
  check(LateStartAction::refuse, input);
}

TEST(LateStartPolicyTest, aRetryWaitsUntilItCanNoLongerBegin) {
  LateStartInput input = streamUnderBurst();
  input.hasWaited = true;
  input.isRetry = true;
  input.expectedWait = 300ms;
  input.now += 1700ms;
  check(LateStartAction::wait, input);
  CHECK_TRUE(kArrival + 2s == decideLateStart(input).until);
  input.now += 1ms;
  check(LateStartAction::refuse, input);
}

/// Guards against a slot for a caller whose deadline comes before its route's caller timeout.
TEST(LateStartPolicyTest, theDeadlineBoundsTheWait) {
  LateStartInput input = streamUnderBurst();
  input.isRetry = true;
  input.deadline = kArrival + 1500ms;
  input.expectedWait = 500ms;
  CHECK_TRUE(kArrival + 1100ms == decideLateStart(input).until);
}

TEST(LateStartPolicyTest, aRequestMuchShorterThanItsRouteAllowsIsARetry) {
  CHECK_FALSE(isRetryOfRefused(10s, 10s, 400ms));
  CHECK_FALSE(isRetryOfRefused(9600ms, 10s, 400ms));
  CHECK_TRUE(isRetryOfRefused(9599ms, 10s, 400ms));
}
