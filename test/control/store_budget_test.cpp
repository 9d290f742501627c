/// Tests how the placement policy shares the reads from the weight store between needs.

// Must be included last: it redefines `new`.
#include "control/placement_test.h"

using namespace walnut;
using control::atSecond;
using control::kNow;
using control::PlaceReplica;
using control::TotalDemand;
using control::waiting;

/// Fixture with a pool "busy" that allows many loads per second and kReads at once.
struct StoreBudgetTest : control::PlacementTest {
  static constexpr std::uint32_t kReads = 4;

  void declarePool() {
    resource::EnginePoolSpec pool;
    pool.maxConcurrentLoads = kReads;
    pool.loadsPerSecond = 10000;
    cell.put(control::declare(resource::Kind::enginePool, "busy", pool));
  }
  void addPooled(const std::string& name) {
    const auto servable = addModel(name, 10);
    resource::ModelSpec model = control::modelSpec(servable.version, 1);
    model.pool = "busy";
    cell.put(control::declare(resource::Kind::model, name, model));
  }
  /// Runs the policy until nothing more is placed.
  /// @return the number of placed replicas.
  std::size_t placeAll() {
    std::size_t placed = 0;
    for (std::size_t run = 0; run < 20; ++run, ++second) {
      placed += places(decide());
      report("e1", engine::Report{});
      report("e2", engine::Report{});
    }
    return placed;
  }
};

TEST_GROUP_BASE(StoreBudget, StoreBudgetTest){};

TEST(StoreBudget, batchLeavesReadsToInteractiveRequestsThatComeLater) {
  declarePool();
  for (const char* name : {"b1", "b2", "b3", "b4", "b5", "b6"}) {
    addPooled(name);
    TotalDemand batch;
    batch.waitingBatch = 100;
    batch.earliestDeadline = atSecond(kNow + 1);
    demand[{name, ""}] = batch;
  }
  CHECK_EQUAL(kReads - 1, placeAll());
  addPooled("person");
  demand[{"person", ""}] = waiting(1, kNow + 1000);
  const auto decisions = decide();
  CHECK_EQUAL(1U, places(decisions));
  STRCMP_EQUAL("person", std::get<PlaceReplica>(decisions.at(0)).servable.model.c_str());
}

TEST(StoreBudget, aLaterRequestDoesNotOvertakeAnEarlierDeadline) {
  for (const char* name : {"first", "second", "third"}) {
    addModel(name, 10);
  }
  demand[{"first", ""}] = waiting(1, kNow + 10);
  demand[{"second", ""}] = waiting(1, kNow + 20);
  CHECK_EQUAL(1U, places(decide()));  // The rate limit allows one load.
  demand[{"third", ""}] = waiting(1, kNow + 30);
  ++second;
  const auto decisions = decide();
  CHECK_EQUAL(1U, places(decisions));
  STRCMP_EQUAL("second", std::get<PlaceReplica>(decisions.at(0)).servable.model.c_str());
}

TEST(StoreBudget, loadingAheadUsesOnlyFreeMemoryAndHalfOfTheReads) {
  declarePool();
  resource::CapacityBudgetSpec resident;
  resident.keepAlive = resource::KeepAlive::resident;
  cell.put(control::declare(resource::Kind::capacityBudget, "resident", resident));
  for (const char* name : {"r1", "r2", "r3", "r4"}) {
    addPooled(name);
    auto model = *cell.state.findModel(name);
    model.budget = "resident";
    cell.put(control::declare(resource::Kind::model, name, model));
  }
  CHECK_EQUAL(kReads / 2, placeAll());
}

TEST(StoreBudget, nothingIsEvictedToLoadAhead) {
  const auto ids = fill({kNow - 30, kNow - 50, kNow - 40, kNow - 40}, {"", "", "", ""});
  resource::CapacityBudgetSpec resident;
  resident.keepAlive = resource::KeepAlive::resident;
  cell.put(control::declare(resource::Kind::capacityBudget, "resident", resident));
  addModel("ahead", 50, "resident");
  CHECK_EQUAL(0U, decide().size());
}

TEST(StoreBudget, theEndOfAHoldTimeSchedulesARun) {
  addBudget("b", 0);
  const auto servable = addModel("idle", 10, "b");
  hold(servable, "e1", 0, 10);
  usage.recordUse(atSecond(kNow), {"idle", ""});
  usage.recordFullUse(atSecond(kNow), servable);
  CHECK_EQUAL(0U, decide().size());
  CHECK_TRUE(policy.nextWakeup() == atSecond(kNow + 60));
}
