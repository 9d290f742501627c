/// Tests the leader's knowledge of a worker's holdings and of its order count.

#include "registry/worker_status.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

TEST_GROUP(WorkerStatusTest) {
  const base::TimePoint start = base::TimePoint(100s);
  WorkerStatus status{start};

  static PlacementStep load(const char* model, const char* adapter = "") {
    return {{"w"}, OrderOperation::load, model, adapter, false};
  }
  static PlacementStep unload(const char* model, const char* adapter = "") {
    return {{"w"}, OrderOperation::unload, model, adapter, false};
  }
  void beat(std::uint64_t sequence, std::vector<HeldModel> models) {
    Heartbeat heartbeat;
    heartbeat.sequence = sequence;
    heartbeat.holdingsKnown = true;
    heartbeat.holdings.models = std::move(models);
    status.takeHeartbeat(heartbeat, start);
  }
  static WorkerReport report(std::uint64_t count, std::vector<HeldModel> models, bool underWay) {
    WorkerReport made;
    made.holdings.models = std::move(models);
    made.orderCount = count;
    made.orderUnderWay = underWay;
    return made;
  }
};

TEST(WorkerStatusTest, aLateHeartbeatChangesNothing) {
  beat(5, {{"a", 1, {}}});
  beat(4, {});
  CHECK(status.expected(start).find("a") != nullptr);
}

TEST(WorkerStatusTest, aFirstHeartbeatThatIsOlderThanTheReportDoesNotUndoIt) {
  status.takeReport(report(2, {{"a", 1, {}}, {"b", 1, {}}}, false), start);
  beat(5, {{"a", 1, {}}});
  CHECK(status.expected(start).find("b") != nullptr);
  CHECK_FALSE(status.reportFresh);
}

TEST(WorkerStatusTest, aHeartbeatThatReportsTheEndOfAnOrderIsApplied) {
  status.takeReport(report(2, {{"a", 1, {}}}, false), start);
  status.modelOrdered(load("b"), start, start + 9s, start + 10s);
  beat(5, {{"a", 1, {}}, {"b", 1, {}}});
  CHECK(status.expected(start).find("b") != nullptr);
  CHECK_FALSE(status.modelOrder.has_value());
  CHECK_TRUE(status.reportFresh);
}

TEST(WorkerStatusTest, aReportFromBeforeTheLastOrderDoesNotUndoIt) {
  status.takeReport(report(3, {}, false), start);
  status.orderCount = 4;
  status.orderFinishedAt = start;
  status.modelOrdered(load("a"), start, start + 9s, start + 10s);
  status.takeReport(report(3, {}, false), start + 50ms);
  CHECK_TRUE(status.modelOrder.has_value());
  CHECK_FALSE(status.reportFresh);
}

TEST(WorkerStatusTest, aReportAfterTheLastOrderReplacesTheOrderCount) {
  status.orderCount = 21;
  status.orderFinishedAt = start;
  status.takeReport(report(19, {}, false), start + 1s);
  CHECK_TRUE(status.reportFresh);
  CHECK_EQUAL(19, status.orderCount);
}

TEST(WorkerStatusTest, pendingAdaptersCountAsHeld) {
  WorkerReport made = report(1, {{"a", 1, {}}}, false);
  made.pendingAdapters = {"a/a7"};
  status.takeReport(made, start);
  CHECK_TRUE(status.expected(start).holds("a", "a7"));
}

TEST(WorkerStatusTest, anOrderedAdapterServesOnceItHasSettled) {
  beat(1, {{"a", 1, {}}});
  status.adapterOrdered(load("a", "a7"), start, 40ms);
  CHECK_TRUE(status.expected(start).holds("a", "a7"));
  CHECK_TRUE(status.serving(start).at(0).adapters.empty());
  CHECK_EQUAL(1, status.serving(start + 40ms).at(0).adapters.size());
  CHECK_TRUE(status.nextChange(start) == start + 40ms);
  // A heartbeat that doesn't list the adapter yet doesn't remove it.
  beat(2, {{"a", 1, {}}});
  CHECK_EQUAL(1, status.serving(start + 50ms).at(0).adapters.size());
}

TEST(WorkerStatusTest, aModelThatIsUnloadedServesNoMore) {
  beat(1, {{"a", 1, {}}, {"b", 1, {}}});
  status.modelOrdered(unload("a"), start, start + 9s, start + 10s);
  CHECK_EQUAL(1, status.serving(start).size());
  CHECK(status.expected(start).find("a") != nullptr);
  beat(2, {{"b", 1, {}}});
  CHECK_FALSE(status.modelOrder.has_value());
}
