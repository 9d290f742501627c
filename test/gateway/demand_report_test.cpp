/// Tests of when a gateway reports its demand and the models in use to the registry.

#include "gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

TEST_GROUP(DemandReportTest) {
  GatewayHarness harness;

  void setup() override {
    registry::ViewUpdate update;
    harness.declare(1);
    update.changed = {GatewayHarness::worker(1)};
    update.changed[0].holdingsKnown = true;
    update.changed[0].models = {{"m", 1, {}}};
    harness.gateway.viewReceived(update);
    harness.follow();
    harness.scheduler.advance(200ms);
    harness.link.demand.clear();
  }
  std::size_t reports() const { return harness.link.demand.size(); }
};

TEST(DemandReportTest, beginAndEndOfUseOfAModelAreReportedSoon) {
  const auto caller = harness.request("stream", "r1", "m");
  harness.scheduler.advance(60ms);
  CHECK_EQUAL(1, reports());
  CHECK_EQUAL(1, harness.link.demand.back().loads.size());
  STRCMP_EQUAL("m", harness.link.demand.back().loads[0].model.c_str());
  harness.answer(*harness.launcher.sent.back(), 200, "r1", "id: 1\ndata: x\n\n");
  harness.scheduler.advance(60ms);
  CHECK_EQUAL(2, reports());
  CHECK_TRUE(harness.link.demand.back().loads.empty());
}

TEST(DemandReportTest, furtherRequestsForAModelInUseAreReportedAtTheRegularInterval) {
  const auto first = harness.request("stream", "r1", "m");
  harness.scheduler.advance(60ms);
  const auto second = harness.request("stream", "r2", "m");
  harness.scheduler.advance(60ms);
  CHECK_EQUAL(1, reports());
}

TEST(DemandReportTest, demandIncludesItsUrgency) {
  const auto caller = harness.request("stream", "r1", "other");
  CHECK_EQUAL(1, reports());
  const registry::ModelDemand& demand = harness.link.demand.back().demands.at(0);
  STRCMP_EQUAL("other", demand.model.c_str());
  CHECK_EQUAL(1, demand.waiting);
  CHECK_TRUE(demand.targetLatency == 400ms);
}

/// Thousands of gateways have nothing to report most of the time, but a server considers a
/// connection lost on which nothing comes for 10 s.
TEST(DemandReportTest, emptyReportsAreRareButKeepTheConnection) {
  harness.advanceFollowing(30s);
  CHECK_TRUE(reports() >= 6);
  CHECK_TRUE(reports() <= 11);
}

TEST(DemandReportTest, theFirstEmptyReportIsSent) {
  const auto caller = harness.request("stream", "r1", "m");
  harness.advanceFollowing(600ms);
  harness.answer(*harness.launcher.sent.back(), 200, "r1", "id: 1\ndata: x\n\n");
  harness.advanceFollowing(1s);
  CHECK_TRUE(harness.link.demand.back().empty());
}
