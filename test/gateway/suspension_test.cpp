/// Tests of a gateway after a suspension of its machine: time has passed, and the first message is
/// processed before any timer has run.

#include "gateway/gateway_harness.h"
#include "gateway/request_digest.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

TEST_GROUP(SuspensionTest) {
  GatewayHarness harness;

  void setup() override {
    harness.declare(1);
    harness.follow();
  }
  std::size_t sentCount() { return harness.launcher.sent.size(); }
  const SentRequest& lastSent() { return *harness.launcher.sent.back(); }
  void announceModel(const char* model) {
    registry::ViewUpdate update;
    update.changed = {GatewayHarness::worker(1)};
    update.changed[0].holdingsKnown = true;
    update.changed[0].models = {{model, 1, {}}};
    harness.gateway.viewReceived(update);
    harness.scheduler.settle();
  }
};

TEST(SuspensionTest, aRequestWhoseDeadlineHasPassedIsNotSent) {
  const auto caller = harness.request("bound", "r1", "m");
  harness.scheduler.suspendFor(6s);
  announceModel("m");
  CHECK_EQUAL(0, sentCount());
  CHECK_EQUAL(503, caller->status);
}

TEST(SuspensionTest, aFailedAttemptIsNotRepeatedPastTheDeadline) {
  const auto caller = harness.request("safe", "r1");
  harness.scheduler.suspendFor(6s);
  harness.lose(lastSent());
  CHECK_EQUAL(1, sentCount());
  CHECK_EQUAL(502, caller->status);
}

TEST(SuspensionTest, aResponseReceivedDuringTheSuspensionIsDelivered) {
  const auto caller = harness.request("safe", "r1");
  harness.scheduler.suspendFor(6s);
  harness.answer(lastSent(), 200, "r1", "x");
  harness.scheduler.runDue();
  CHECK_EQUAL(200, caller->status);
}

TEST(SuspensionTest, aQuarantineThatExpiredDuringTheSuspensionIsIgnored) {
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/once/x";
  request.body = "same";
  registry::SuspectList list;
  list.requests.push_back({digestOf(harness.dialect.callerOf(request), request),
                           registry::RequestStanding::quarantined, 3, 5s});
  harness.gateway.suspectsReceived(list);
  harness.scheduler.suspendFor(6s);
  const auto caller = harness.request("once", "r1", "", "same");
  CHECK_EQUAL(1, sentCount());
}

/// A cut is reported again to a new leader, with an age that includes the suspension.
TEST(SuspensionTest, theAgeOfACutIncludesTheSuspension) {
  const auto caller = harness.request("once", "r1");
  harness.lose(lastSent());
  harness.scheduler.suspendFor(7s);
  harness.gateway.leaderFollowed(false);
  harness.scheduler.settle();
  CHECK_EQUAL(2, harness.link.cuts.size());
  CHECK(harness.link.cuts[1].cuts[0].age >= 7s);
}

TEST(SuspensionTest, anOpenBreakerAdmitsARequestAfterTheSuspension) {
  std::vector<std::unique_ptr<Caller>> callers;
  for (const char* id : {"r1", "r2", "r3"}) {
    callers.push_back(harness.request("once", id));
    harness.lose(lastSent());
  }
  const auto early = harness.request("once", "r4");
  CHECK_EQUAL(3, sentCount());
  harness.scheduler.suspendFor(3s);
  const auto late = harness.request("once", "r5");
  CHECK_EQUAL(4, sentCount());
}
