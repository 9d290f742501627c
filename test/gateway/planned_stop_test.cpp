/// Tests of requests around the planned stop of a gateway.

#include "gateway/gateway_harness.h"
#include "gateway/stop_schedule.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kGrace = 8s;

}  // namespace

TEST_GROUP(PlannedStopTest) {
  GatewayHarness harness;
  StopSchedule stop;

  void setup() override {
    harness.declare(4);
    harness.follow();
  }
  /// Callers wait for 5 s.
  void beginStop() {
    stop = StopSchedule(harness.scheduler.now(), kGrace);
    harness.gateway.beginStop(stop.cancelsAt);
  }
  void advanceTo(base::TimePoint time) {
    harness.scheduler.advance(time - harness.scheduler.now());
  }
  /// A request of the route runs for so long.
  void run(const char* route, base::Duration time) {
    const auto caller = harness.request(route, "earlier");
    harness.scheduler.advance(time);
    harness.answer(*harness.launcher.sent.back(), 200, "earlier", "x");
    CHECK_EQUAL(200, caller->status);
    harness.launcher.sent.clear();
  }
};

// Guards against a request that is passed on late in a planned stop and cut with no answer.
TEST(PlannedStopTest, whatMayStillRunAtTheEndIsRefusedAsNotRun) {
  beginStop();
  const auto inTime = harness.request("once", "r1");
  CHECK_EQUAL(1, harness.launcher.sent.size());
  advanceTo(stop.cancelsAt - 4900ms);
  const auto late = harness.request("once", "r2");
  CHECK_EQUAL(503, late->status);
  CHECK_EQUAL(1, harness.launcher.sent.size());
}

TEST(PlannedStopTest, aRequestThatUsuallyEndsInTimeIsTaken) {
  run("once", 500ms);
  beginStop();
  advanceTo(stop.cancelsAt - 1500ms);
  const auto inTime = harness.request("once", "r1");
  CHECK_EQUAL(1, harness.launcher.sent.size());
  advanceTo(stop.cancelsAt - 900ms);
  const auto late = harness.request("once", "r2");
  CHECK_EQUAL(503, late->status);
}

/// One that may be repeated can be sent again after it was cut.
TEST(PlannedStopTest, aRequestThatMayBeRepeatedIsTakenForLonger) {
  run("safe", 500ms);
  beginStop();
  advanceTo(stop.cancelsAt - 900ms);
  const auto inTime = harness.request("safe", "r1");
  CHECK_EQUAL(1, harness.launcher.sent.size());
}

// Guards against a request that waits for a model, and is passed on when it can no longer end in
// time: its caller waits for 5 s.
TEST(PlannedStopTest, aRequestThatIsSentAgainIsRefusedIfItWouldEndTooLate) {
  run("once", 2s);
  beginStop();
  advanceTo(stop.cancelsAt - 4500ms);
  const auto caller = harness.request("once", "r1");
  CHECK_EQUAL(1, harness.launcher.sent.size());
  harness.scheduler.advance(1s);
  harness.unreachable(*harness.launcher.sent[0]);
  CHECK_EQUAL(503, caller->status);
  CHECK_EQUAL(1, harness.launcher.sent.size());
}

TEST(PlannedStopTest, whatStillRunsIsAnsweredWhenItIsCancelled) {
  run("once", 500ms);
  beginStop();
  advanceTo(stop.cancelsAt - 1500ms);
  const auto caller = harness.request("once", "r1");
  CHECK_EQUAL(0, caller->status);
  advanceTo(stop.cancelsAt);
  harness.gateway.cancelAll();
  CHECK_EQUAL(502, caller->status);
  CHECK_EQUAL(0, harness.gateway.exchangeCount());
}

TEST_GROUP(StopScheduleTest){};

/// Guards against an end that leaves the last answers less time than a process may stand still.
TEST(StopScheduleTest, answersHaveTimeToLeave) {
  const base::TimePoint begin{1000s};
  const StopSchedule stop(begin, kGrace);
  CHECK(stop.acceptsUntil < stop.refusesFrom);
  CHECK(stop.refusesFrom < stop.cancelsAt);
  CHECK(stop.endsBy - stop.cancelsAt >= 750ms);
  CHECK(begin + kGrace - stop.endsBy >= 200ms);
}
