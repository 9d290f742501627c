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
