/// Tests that a plan for thousands of workers considers only a few of them, and that its decisions
/// are the same as if it considered all.

#include "registry/planning_pool.h"

#include "registry/placement.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

TEST_GROUP(PlanningPoolTest) {
  WorkerIndex index;
  DemandBook demand;
  base::TimePoint now = base::TimePoint(100s);
  static constexpr std::size_t kWorkers = 5000;

  static WorkerId id(std::size_t number) { return {"w" + std::to_string(number)}; }
  void setup() override {
    for (std::size_t number = 0; number < kWorkers; ++number) {
      const std::string model = number < 10 ? "rare" : "common";
      index.set(id(number), "svc", {{model, 1, {}}});
    }
  }
  PlanningPool pool() const { return choosePlanningPool("svc", index, demand, {"w2"}, now); }
  void ask(const char* model, const char* adapter, std::uint32_t waiting) {
    DemandUpdate update;
    update.demands.push_back({"svc", model, adapter, waiting, 1});
    demand.update({1}, update, now);
  }
};

TEST(PlanningPoolTest, poolSizeIsIndependentOfTheFleetSize) {
  CHECK_EQUAL(kPlannedTargets, pool().workers.size());
}

TEST(PlanningPoolTest, poolIsStableBetweenPlans) {
  CHECK_TRUE(pool().loadTargets == pool().loadTargets);
}

TEST(PlanningPoolTest, busyWorkersAreIncluded) {
  DemandUpdate update;
  update.loads.push_back({id(4321), "common", 2});
  demand.update({1}, update, now);
  CHECK_EQUAL(1, pool().workers.count(id(4321)));
  CHECK_EQUAL(0, pool().loadTargets.count(id(4321)));
}

TEST(PlanningPoolTest, holdersOfRequestedModelsAreIncludedAndTheRestIsCounted) {
  ask("rare", "", 0);
  const PlanningPool chosen = pool();
  std::size_t holders = 0;
  for (std::size_t number = 0; number < 10; ++number) {
    holders += chosen.workers.count(id(number));
  }
  CHECK_TRUE(holders >= kPlannedHolders);
  CHECK_EQUAL(10, holders + chosen.otherHolders.at("rare"));
}

TEST(PlanningPoolTest, holdersThatMayLoadAnAdapterAreListed) {
  ask("rare", "a1", 1);
  CHECK_EQUAL(kPlannedHolders, pool().adapterTargets.size());
}

/// Guards against loading an adapter again that a worker outside the targets already has.
TEST(PlanningPoolTest, holdersOfTheAdapterAreIncluded) {
  index.set(id(3999), "svc", {{"common", 1, {"a1"}}});
  ask("common", "a1", 1);
  CHECK_EQUAL(1, pool().workers.count(id(3999)));
}

TEST(PlanningPoolTest, modelsWithoutRecentRequestsAreLeftOut) {
  ask("rare", "", 0);
  now += kPlannedDemandAge + 1s;
  CHECK_EQUAL(kPlannedTargets, pool().workers.size());
}

/// Thousands of workers outside the plan serve the model, so a waiting request causes no load.
TEST(PlanningPoolTest, aModelThatIsServedOutsideIsNotCold) {
  catalog::EngineSpec engine;
  engine.slots = 4;
  engine.weightsMegabytes = 100;
  catalog::ModelSpec model;
  model.name = "common";
  model.weightsMegabytes = 40;
  engine.models.push_back(model);
  ask("common", "", 1);
  PlacementWorker target;
  target.id = {"target"};
  target.canTakeOrders = true;
  PlacementPolicy policy("svc");
  StoreScheduler store;
  store.setLimit(0, {}, now);
  CHECK_TRUE(policy.plan(engine, {target}, demand, store, now, {}, {{"common", 3000}}).empty());
  CHECK_EQUAL(1, policy.plan(engine, {target}, demand, store, now).size());
}

TEST(PlanningPoolTest, aWorkerThatIsNoTargetIsNotOrderedToLoad) {
  catalog::EngineSpec engine;
  engine.slots = 4;
  engine.weightsMegabytes = 100;
  catalog::ModelSpec model;
  model.name = "cold";
  model.weightsMegabytes = 40;
  engine.models.push_back(model);
  ask("cold", "", 1);
  PlacementWorker other;
  other.id = {"other"};
  other.canTakeOrders = true;
  other.canLoadModels = false;
  PlacementPolicy policy("svc");
  StoreScheduler store;
  store.setLimit(0, {}, now);
  CHECK_TRUE(policy.plan(engine, {other}, demand, store, now).empty());
}
