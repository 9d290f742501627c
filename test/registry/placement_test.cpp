/// Tests which loads and unloads the placement policy orders for a given demand.

#include "registry/placement.h"

#include "registry/placement_fixture.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;
using namespace std::chrono_literals;

namespace {

constexpr double kWeightsMegabytes = 100;

catalog::EngineSpec engineOf(std::initializer_list<const char*> models) {
  catalog::EngineSpec engine;
  engine.slots = 64;
  engine.weightsMegabytes = kWeightsMegabytes;
  engine.adapterSlots = 2;
  engine.storeLoadsPerSecond = 2;
  catalog::ModelSpec model;
  model.weightsMegabytes = 50;
  model.storeLoadTime = 4s;
  model.diskLoadTime = 2s;
  model.memoryLoadTime = 1s;
  model.adapters = 9;
  model.adapterMegabytes = 0;
  return withModels(engine, model, models);
}

}  // namespace

TEST_GROUP(PlacementTest) {
  const base::TimePoint now = base::TimePoint(100s);
  PlacementPolicy policy{"svc"};
  StoreScheduler store;
  DemandBook demand;

  void reportDemand(const char* model, const char* adapter, std::uint32_t waiting,
                    std::uint32_t arrivals, std::uint64_t gateway = 1) {
    DemandUpdate update;
    update.demands.push_back({"svc", model, adapter, waiting, arrivals});
    demand.update({gateway}, update, now);
  }
  /// Reports requests that run or are queued at workers, as from one gateway.
  void reportLoads(std::initializer_list<WorkerLoad> loads, std::uint64_t gateway = 100) {
    DemandUpdate update;
    update.loads = loads;
    demand.update({gateway}, update, now);
  }
  std::vector<PlacementStep> plan(const catalog::EngineSpec& engine,
                                  const std::vector<PlacementWorker>& workers) {
    store.setLimit(engine.storeLoadsPerSecond, {}, now);
    return policy.plan(engine, workers, demand, store, now);
  }
};

TEST(PlacementTest, nothingIsDoneWithoutDemand) {
  CHECK_TRUE(plan(engineOf({"a"}), {workerWith("w", {})}).empty());
}

TEST(PlacementTest, aRequestedModelIsLoadedWhereItIsFastest) {
  PlacementWorker near = workerWith("near", {});
  near.holdings.inMemory = {"a"};
  reportDemand("a", "", 1, 1);
  const auto steps = plan(engineOf({"a"}), {workerWith("far", {}), near});
  CHECK_EQUAL(1, steps.size());
  CHECK_TRUE((steps[0] == PlacementStep{{"near"}, OrderOperation::load, "a", "", false}));
}

TEST(PlacementTest, modelsLoadedFromTheStoreAreReportedAsLate) {
  reportDemand("a", "", 1, 1);
  reportDemand("b", "", 1, 1, 2);
  PlacementWorker near = workerWith("near", {});
  near.holdings.onDisk = {"b"};
  plan(engineOf({"a", "b"}), {near, workerWith("far", {})});
  CHECK_EQUAL(1, policy.outlook().size());
  STRCMP_EQUAL("a", policy.outlook()[0].model.c_str());
  CHECK_TRUE(policy.outlook()[0].availableIn == 4s);
}

/// The callers were notified and no longer wait; the model is loaded for the next requests.
TEST(PlacementTest, aLateModelIsLoadedThoughNoRequestWaitsAnyMore) {
  store.setLongestTimes(20s, 35s);
  reportDemand("a", "", 1, 1);
  reportDemand("b", "", 1, 3, 2);
  const auto first = plan(engineOf({"a", "b"}), {workerWith("w1", {}), workerWith("w2", {})});
  CHECK_EQUAL(1, first.size());
  STRCMP_EQUAL("b", first[0].model.c_str());
  CHECK_EQUAL(2, policy.outlook().size());
  reportDemand("a", "", 0, 0);
  reportDemand("b", "", 0, 0, 2);
  PlacementWorker served = workerWith("w1", {"b"});
  const base::TimePoint later = now + 4s;
  store.recordEnd(first[0].worker, later);
  store.setLimit(2, {}, later);
  const auto second =
      policy.plan(engineOf({"a", "b"}), {served, workerWith("w2", {})}, demand, store, later);
  CHECK_EQUAL(1, second.size());
  STRCMP_EQUAL("a", second[0].model.c_str());
}

TEST(PlacementTest, aBurstAtManyGatewaysLoadsOneReplica) {
  for (std::uint64_t gateway = 1; gateway <= 20; ++gateway) {
    reportDemand("a", "", 5, 1, gateway);
  }
  PlacementWorker loading = workerWith("w1", {});
  const auto first = plan(engineOf({"a"}), {loading, workerWith("w2", {})});
  CHECK_EQUAL(1, first.size());
  loading.loadingModel = "a";
  CHECK_TRUE(plan(engineOf({"a"}), {loading, workerWith("w2", {})}).empty());
}

TEST(PlacementTest, aSurplusReplicaIsUnloadedBeforeALastOne) {
  reportDemand("new", "", 1, 1);
  const auto steps = plan(engineOf({"new", "busy", "rare1", "rare2"}),
                          {workerWith("w1", {"busy", "rare1"}), workerWith("w2", {"busy", "rare2"}),
                           workerWith("w3", {"busy", "busy"})});
  CHECK_EQUAL(1, steps.size());
  CHECK_TRUE(steps[0].operation == OrderOperation::unload);
  STRCMP_EQUAL("busy", steps[0].model.c_str());
}

TEST(PlacementTest, aReplicaBeingLoadedDoesNotMakeTheServingOneSurplus) {
  reportDemand("new", "", 1, 1, 1);
  reportDemand("hot", "", 1, 20, 2);
  reportDemand("rare1", "", 0, 2, 3);
  reportDemand("rare2", "", 0, 2, 4);
  PlacementWorker coming = workerWith("w2", {"rare2"});
  coming.loadingModel = "hot";
  const auto steps = plan(engineOf({"new", "hot", "rare1", "rare2"}),
                          {workerWith("w1", {"hot", "rare1"}), coming});
  for (const PlacementStep& step : steps) {
    CHECK_TRUE(step.operation == OrderOperation::load || step.model != "hot");
  }
  CHECK_EQUAL(1, steps.size());
}

TEST(PlacementTest, aModelWithWaitingRequestsIsNeverUnloaded) {
  reportDemand("new", "", 1, 1);
  reportDemand("other", "", 1, 1, 2);
  CHECK_TRUE(plan(engineOf({"new", "other"}), {[] {
                    PlacementWorker full = workerWith("w", {"other", "other"});
                    return full;
                  }()})
                 .empty());
}

TEST(PlacementTest, loadsFromTheStoreKeepItsRate) {
  reportDemand("a", "", 1, 1, 1);
  reportDemand("b", "", 1, 1, 2);
  reportDemand("c", "", 1, 1, 3);
  const auto steps = plan(engineOf({"a", "b", "c"}),
                          {workerWith("w1", {}), workerWith("w2", {}), workerWith("w3", {})});
  CHECK_EQUAL(1, steps.size());
}

TEST(PlacementTest, aBusyModelGetsASecondReplica) {
  reportDemand("a", "", 0, 50);
  const auto steps = plan(engineOf({"a"}), {workerWith("w1", {"a"}), workerWith("w2", {})});
  CHECK_EQUAL(1, steps.size());
  STRCMP_EQUAL("w2", steps[0].worker.value.c_str());
}

TEST(PlacementTest, anAdapterGoesWhereItsModelIs) {
  reportDemand("a", "a3", 1, 1);
  const auto steps = plan(engineOf({"a", "b"}), {workerWith("w1", {"b"}), workerWith("w2", {"a"})});
  CHECK_EQUAL(1, steps.size());
  CHECK_TRUE((steps[0] == PlacementStep{{"w2"}, OrderOperation::load, "a", "a3", false}));
}

TEST(PlacementTest, adapterSlotsAreNotExceeded) {
  reportDemand("a", "a3", 1, 1);
  PlacementWorker full = workerWith("w", {"a"});
  full.holdings.models[0].adapters = {"a1", "a2"};
  const auto steps = plan(engineOf({"a"}), {full});
  CHECK_EQUAL(1, steps.size());
  CHECK_TRUE(steps[0].operation == OrderOperation::unload);
}

TEST(PlacementTest, requestedAndRecentAdaptersAreNotEvicted) {
  reportDemand("a", "a3", 1, 1, 1);
  reportDemand("a", "a1", 1, 1, 2);
  PlacementWorker full = workerWith("w", {"a"});
  full.holdings.models[0].adapters = {"a1", "a2"};
  full.recentAdapters = {{"a", "a2"}};
  CHECK_TRUE(plan(engineOf({"a"}), {full}).empty());
}

TEST(PlacementTest, anAdapterIsOrderedBeforeAModelLoadThatWouldDelayIt) {
  reportDemand("x", "", 1, 1, 1);
  reportDemand("a", "a1", 1, 1, 2);
  std::vector<PlacementStep> steps = plan(engineOf({"a", "x"}), {workerWith("w1", {"a"})});
  CHECK_EQUAL(1, steps.size());
  STRCMP_EQUAL("a1", steps[0].adapter.c_str());
  PlacementWorker worker = workerWith("w1", {"a"});
  worker.holdings.models[0].adapters.push_back("a1");
  steps = plan(engineOf({"a", "x"}), {worker});
  CHECK_EQUAL(1, steps.size());
  STRCMP_EQUAL("x", steps[0].model.c_str());
}

TEST(PlacementTest, aModelWaitingForTheStoreDoesNotDelayALoadFromDisk) {
  reportDemand("cold1", "", 5, 9, 1);
  reportDemand("cold2", "", 5, 9, 2);
  reportDemand("onDisk", "", 1, 1, 3);
  PlacementWorker worker = workerWith("w", {});
  worker.holdings.onDisk = {"onDisk"};
  const catalog::EngineSpec engine = engineOf({"cold1", "cold2", "onDisk"});
  store.setLimit(engine.storeLoadsPerSecond, {}, now);
  store.recordOrdered({"elsewhere"}, 4s, now);
  const auto steps = plan(engine, {worker});
  CHECK_EQUAL(1, steps.size());
  STRCMP_EQUAL("onDisk", steps[0].model.c_str());
}

TEST(PlacementTest, aDecisionTellsOfCopiesAndOfModelsThatWaitForTheStore) {
  reportDemand("cold1", "", 5, 9, 1);
  reportDemand("cold2", "", 5, 9, 2);
  PlacementWorker worker = workerWith("w", {});
  worker.holdings.onDisk = {"onDisk"};
  const catalog::EngineSpec engine = engineOf({"cold1", "cold2", "onDisk"});
  store.setLimit(engine.storeLoadsPerSecond, {}, now);
  store.recordOrdered({"elsewhere"}, 4s, now);
  CHECK_TRUE(plan(engine, {worker}).empty());
  for (const PlacementDecision& decision : policy.takeDecisions()) {
    CHECK_EQUAL(0, decision.copies);
    CHECK_EQUAL(0, decision.storeQueue);
  }
  reportDemand("onDisk", "", 1, 1, 3);
  plan(engine, {worker});
  const std::vector<PlacementDecision> decisions = policy.takeDecisions();
  CHECK_EQUAL(1, decisions.size());
  STRCMP_EQUAL("onDisk", decisions[0].model.c_str());
  CHECK_EQUAL(1, decisions[0].copies);
  CHECK_EQUAL(2, decisions[0].storeQueue);
}

TEST(PlacementTest, aBusyWorkerWithACopyIsWaitedForRatherThanTheStore) {
  reportDemand("a", "", 1, 1);
  PlacementWorker busy = workerWith("busy", {});
  busy.holdings.onDisk = {"a"};
  busy.canTakeOrders = false;
  busy.loadingModel = "b";
  busy.remainingOrderTime = 500ms;
  CHECK_TRUE(plan(engineOf({"a", "b"}), {busy, workerWith("idle", {})}).empty());
  busy.remainingOrderTime = 10s;
  const auto steps = plan(engineOf({"a", "b"}), {busy, workerWith("idle", {})});
  CHECK_EQUAL(1, steps.size());
  STRCMP_EQUAL("idle", steps[0].worker.value.c_str());
}

TEST(PlacementTest, aModelWithALongTargetLatencyIsUnloadedBeforeAnUrgentOne) {
  DemandUpdate update;
  update.demands.push_back({"svc", "patient", "", 0, 4, 0, 5s});
  update.demands.push_back({"svc", "urgent", "", 0, 2, 1, 400ms});
  update.demands.push_back({"svc", "new", "", 1, 1, 1, 400ms});
  demand.update({1}, update, now);
  PlacementWorker worker = workerWith("w", {"urgent", "patient"});
  worker.holdings.onDisk = {"urgent", "patient", "new"};
  const auto steps = plan(engineOf({"new", "patient", "urgent"}), {worker});
  CHECK_EQUAL(1, steps.size());
  STRCMP_EQUAL("patient", steps[0].model.c_str());
}

TEST(PlacementTest, aModelOnNoDiskIsKeptOverOneThatCanBeReloaded) {
  reportDemand("new", "", 1, 1);
  PlacementWorker worker = workerWith("w", {"onlyHere", "copied"});
  worker.holdings.onDisk = {"copied", "new"};
  const auto steps = plan(engineOf({"new", "copied", "onlyHere"}), {worker});
  CHECK_EQUAL(1, steps.size());
  STRCMP_EQUAL("copied", steps[0].model.c_str());
}

TEST(PlacementTest, aModelWaitsForTheWorkerWhereCapacityIsBeingFreed) {
  reportDemand("new", "", 1, 1);
  PlacementWorker full = workerWith("w1", {"x", "y"});
  full.holdings.onDisk = {"x", "y", "new"};
  PlacementWorker other = workerWith("w2", {"z", "v"});
  other.holdings.onDisk = {"z", "v", "new"};
  const catalog::EngineSpec engine = engineOf({"new", "x", "y", "z", "v"});
  const auto first = plan(engine, {full, other});
  CHECK_EQUAL(1, first.size());
  CHECK_TRUE(first[0].operation == OrderOperation::unload);
  PlacementWorker& chosen = first[0].worker == full.id ? full : other;
  chosen.unloadingModel = first[0].model;
  chosen.canTakeOrders = false;
  chosen.remainingOrderTime = 100ms;
  CHECK_TRUE(plan(engine, {full, other}).empty());
}

TEST(PlacementTest, aModelInUseIsNotUnloadedAndDoesNotBlockItsWorker) {
  const catalog::EngineSpec engine = engineOf({"new", "used1", "used2"});
  DemandUpdate update;
  update.demands.push_back({"svc", "new", "", 1, 1});
  update.loads = {{{"w"}, "used1", 1}, {{"w"}, "used2", 1}};
  demand.update({1}, update, now);
  PlacementWorker worker = workerWith("w", {"used1", "used2"});
  worker.holdings.onDisk = {"new", "used1", "used2"};
  CHECK_TRUE(plan(engine, {worker}).empty());
  update.loads.pop_back();
  demand.update({1}, update, now);
  const auto steps = plan(engine, {worker});
  CHECK_EQUAL(1, steps.size());
  STRCMP_EQUAL("used2", steps[0].model.c_str());
}

TEST(PlacementTest, aModelWithMoreRequestsThanSlotsComesBeforeAColdOneAtTheStore) {
  catalog::EngineSpec engine = engineOf({"hot", "rare"});
  engine.slots = 4;
  reportDemand("hot", "", 0, 50, 1);
  reportDemand("rare", "", 1, 1, 2);
  PlacementWorker full = workerWith("full", {"hot"});
  full.running = 16;
  reportLoads({{{"full"}, "hot", 16}});  // The store allows one load now.
  const auto steps = plan(engine, {full, workerWith("w1", {}), workerWith("w2", {})});
  CHECK_EQUAL(1, steps.size());
  STRCMP_EQUAL("hot", steps[0].model.c_str());
}

TEST(PlacementTest, aColdModelComesFirstOnceReplicasForTheQueueAreBeingLoaded) {
  catalog::EngineSpec engine = engineOf({"hot", "rare"});
  engine.slots = 4;
  reportDemand("hot", "", 0, 50, 1);
  reportDemand("rare", "", 1, 1, 2);
  PlacementWorker full = workerWith("full", {"hot"});
  full.running = 7;
  reportLoads({{{"full"}, "hot", 7}});
  PlacementWorker coming = workerWith("coming", {});
  coming.loadingModel = "hot";
  coming.canTakeOrders = false;
  coming.remainingOrderTime = 2s;
  const auto steps = plan(engine, {full, coming, workerWith("w1", {}), workerWith("w2", {})});
  CHECK_EQUAL(1, steps.size());
  STRCMP_EQUAL("rare", steps[0].model.c_str());
}

TEST(PlacementTest, aModelWithMoreRequestsThanSlotsWaitsForNoBusyWorker) {
  catalog::EngineSpec engine = engineOf({"hot", "x"});
  engine.slots = 4;
  reportDemand("hot", "", 0, 50);
  PlacementWorker full = workerWith("full", {"hot"});
  full.running = 16;
  reportLoads({{{"full"}, "hot", 16}});
  PlacementWorker busy = workerWith("busy", {});
  busy.holdings.onDisk = {"hot"};
  busy.canTakeOrders = false;
  busy.loadingModel = "x";
  busy.remainingOrderTime = 500ms;
  const auto steps = plan(engine, {full, busy, workerWith("idle", {})});
  CHECK_EQUAL(1, steps.size());
  STRCMP_EQUAL("idle", steps[0].worker.value.c_str());
}

TEST(PlacementTest, aReplicaThatPreventsQueueingIsNotUnloadedForAColdModel) {
  catalog::EngineSpec engine = engineOf({"hot", "other", "idle1", "idle2", "new"});
  engine.slots = 4;
  engine.models.back().storeLoadTime = 20s;
  reportDemand("new", "", 1, 1, 1);
  reportDemand("hot", "", 0, 50, 2);
  reportDemand("other", "", 0, 50, 3);
  PlacementWorker first = workerWith("first", {"hot", "other"});
  first.running = 8;
  PlacementWorker second = workerWith("second", {"hot", "other"});
  second.holdings.onDisk = {"new"};
  PlacementWorker third = workerWith("third", {"hot", "other"});
  PlacementWorker fourth = workerWith("fourth", {"idle1", "idle2"});
  reportLoads({{{"first"}, "hot", 12}, {{"first"}, "other", 12}});
  const auto steps = plan(engine, {first, second, third, fourth});
  for (const PlacementStep& step : steps) {
    STRCMP_EQUAL("fourth", step.worker.value.c_str());
  }
}
