/// Tests of requests for a model that is expected only after their callers have disconnected. Such
/// a model occurs if a store serves one load of 18 s at a time, and callers abandon a stream that
/// has not begun after seconds.

#include "gateway/gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

TEST_GROUP(LateModelTest) {
  GatewayHarness harness;

  void setup() override {
    harness.declare(1);
    harness.follow();
  }
  void announceLateModel(base::Duration availableIn) {
    harness.gateway.lateModelsReceived({{{"svc", "m", availableIn}}});
    harness.scheduler.settle();
  }
  void announceForecast(base::Duration availableIn, base::Duration shortestWait) {
    harness.gateway.forecastsReceived({{{"svc", "m", availableIn, shortestWait}}});
    harness.scheduler.settle();
  }
  /// Gives the worker the model.
  void load() {
    registry::ViewUpdate update;
    update.changed = {GatewayHarness::worker(1)};
    update.changed[0].holdingsKnown = true;
    update.changed[0].models = {{"m", 1, {}}};
    harness.gateway.viewReceived(update);
    harness.scheduler.settle();
  }
};

TEST(LateModelTest, aRequestForALateModelIsRefusedWithRetryAfter) {
  announceLateModel(18s);
  const auto caller = harness.request("bound", "r1", "m");
  CHECK_EQUAL(503, caller->status);
  STRCMP_EQUAL("18.00", caller->headers.find("Retry-After")->c_str());
}

TEST(LateModelTest, aWaitingRequestIsRefusedOnceItsModelIsLate) {
  const auto caller = harness.request("bound", "r1", "m");
  CHECK_EQUAL(0, caller->status);
  announceLateModel(18s);
  CHECK_EQUAL(503, caller->status);
}

TEST(LateModelTest, aRequestWaitsForAModelThatIsInTime) {
  announceLateModel(2s);
  const auto caller = harness.request("bound", "r1", "m");
  CHECK_EQUAL(0, caller->status);
}

TEST(LateModelTest, aRequestForAnotherModelWaits) {
  announceLateModel(18s);
  const auto caller = harness.request("bound", "r1", "other");
  CHECK_EQUAL(0, caller->status);
}

TEST(LateModelTest, theAnnouncementExpires) {
  announceLateModel(18s);
  harness.advanceFollowing(registry::kLateModelsLifetime);
  const auto caller = harness.request("bound", "r1", "m");
  CHECK_EQUAL(0, caller->status);
}

TEST(LateModelTest, theAnnouncementExpiresDuringASuspension) {
  announceLateModel(18s);
  harness.scheduler.suspendFor(registry::kLateModelsLifetime);
  const auto caller = harness.request("bound", "r1", "m");
  CHECK_EQUAL(0, caller->status);
}

TEST(LateModelTest, theNextAnnouncementReplacesTheLast) {
  announceLateModel(18s);
  harness.gateway.lateModelsReceived({});
  const auto caller = harness.request("bound", "r1", "m");
  CHECK_EQUAL(0, caller->status);
}

TEST(LateModelTest, aServedModelIsUsedDespiteTheAnnouncement) {
  announceLateModel(18s);
  registry::ViewUpdate update;
  update.changed = {GatewayHarness::worker(1)};
  update.changed[0].holdingsKnown = true;
  update.changed[0].models = {{"m", 1, {}}};
  harness.gateway.viewReceived(update);
  const auto caller = harness.request("bound", "r1", "m");
  CHECK_EQUAL(1, harness.launcher.sent.size());
}

/// Guards against a caller that leaves without a response, so that it doesn't know that its request
/// has not run and doesn't return. The callers of the route disconnect after 2.4 s.
TEST(LateModelTest, aStreamThatStillWaitsIsRefusedBeforeItsCallerLeaves) {
  const auto caller = harness.request("bound", "r1", "m");
  harness.advanceFollowing(2100ms);
  CHECK_EQUAL(0, caller->status);
  harness.advanceFollowing(200ms);
  CHECK_EQUAL(503, caller->status);
  STRCMP_EQUAL("0.30", caller->headers.find("Retry-After")->c_str());
  STRCMP_EQUAL("no",
               harness.log.of(runtime::LogEvent::requestRefused)[0].fields["executed"].c_str());
}

TEST(LateModelTest, withoutALeaderAStreamIsRefusedBeforeItsCallerLeavesAsWell) {
  harness.loseLeader();
  const auto caller = harness.request("bound", "r1", "m");
  harness.scheduler.advance(2300ms);
  CHECK_EQUAL(503, caller->status);
}

/// An adapter is loaded by its model's worker; its callers leave as early.
TEST(LateModelTest, aStreamThatWaitsForAnAdapterIsRefusedBeforeItsCallerLeaves) {
  load();
  const auto caller = harness.request("bound", "r1", "m/a");
  harness.advanceFollowing(2300ms);
  CHECK_EQUAL(503, caller->status);
}

/// Guards against the refusal of a caller whose model would have been loaded in time: the expected
/// time is that without this caller.
TEST(LateModelTest, aStreamWaitsWhileItsModelMayStillComeInTime) {
  announceForecast(18s, 1s);
  const auto caller = harness.request("bound", "r1", "m");
  CHECK_EQUAL(0, caller->status);
  load();
  CHECK_EQUAL(1, harness.launcher.sent.size());
}

/// Its caller returns when the model is expected, not at once.
TEST(LateModelTest, theRefusalAtTheEndOfAWaitTellsTheExpectedTime) {
  announceForecast(18s, 1s);
  const auto caller = harness.request("bound", "r1", "m");
  harness.advanceFollowing(2100ms);
  announceForecast(10s, 1s);
  harness.advanceFollowing(200ms);
  CHECK_EQUAL(503, caller->status);
  STRCMP_EQUAL("9.90", caller->headers.find("Retry-After")->c_str());
}

/// Guards against a caller that waits for a model which no order of loads can bring in time.
TEST(LateModelTest, aStreamIsRefusedAtOnceIfEvenTheNextLoadEndsTooLate) {
  announceForecast(18s, 3s);
  const auto caller = harness.request("bound", "r1", "m");
  CHECK_EQUAL(503, caller->status);
  STRCMP_EQUAL("18.00", caller->headers.find("Retry-After")->c_str());
}

/// Guards against a shortest wait that passes while its load has not begun.
TEST(LateModelTest, theShortestWaitCountsFromTheArrivalOfARequest) {
  announceForecast(3s, 3s);
  harness.advanceFollowing(1400ms);
  const auto caller = harness.request("bound", "r1", "m");
  CHECK_EQUAL(503, caller->status);
  STRCMP_EQUAL("3.00", caller->headers.find("Retry-After")->c_str());
}

TEST(LateModelTest, aLoadInProgressEndsWhenExpected) {
  announceForecast(3s, 0s);
  const auto early = harness.request("bound", "r1", "m");
  CHECK_EQUAL(503, early->status);
  harness.advanceFollowing(1s);
  const auto later = harness.request("bound", "r2", "m");
  CHECK_EQUAL(0, later->status);
}

/// Guards against a refusal that promises "not run" after the request was sent.
TEST(LateModelTest, aStreamThatIsSentAtTheLastMomentIsNotRefused) {
  const auto caller = harness.request("bound", "r1", "m");
  harness.advanceFollowing(2100ms);
  load();
  CHECK_EQUAL(1, harness.launcher.sent.size());
  harness.advanceFollowing(300ms);
  CHECK_EQUAL(0, caller->status);
}

/// Its deadline leaves the caller no time to return: it waits until then.
TEST(LateModelTest, aStreamWhoseCallerCannotReturnWaitsUntilItsDeadline) {
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/bound/x";
  request.headers.add("Host", "h");
  request.headers.add("Id", "r1");
  request.headers.add("Deadline-Ms", "2300");
  request.headers.add("Model", "m");
  Caller caller;
  harness.gateway.onRequest(std::move(request), caller);
  harness.scheduler.settle();
  harness.advanceFollowing(2200ms);
  CHECK_EQUAL(0, caller.status);
  load();
  CHECK_EQUAL(1, harness.launcher.sent.size());
}

TEST(LateModelTest, aWholeAnswerIsWaitedForUntilTheDeadline) {
  const auto caller = harness.request("safe", "r1", "m");
  harness.advanceFollowing(4s);
  CHECK_EQUAL(0, caller->status);
}
