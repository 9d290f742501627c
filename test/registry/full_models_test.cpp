/// Tests that workers of a full model are kept free of other models. The load: a model of 4
/// replicas whose workers have more requests than slots, beside models with few requests.

#include <algorithm>

#include "registry/uneven_load_fixture.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;
using namespace std::chrono_literals;

TEST_GROUP(FullModelsTest) {
  UnevenLoad load;
  const catalog::EngineSpec engine = slowToAddEngine({"hot", "n1", "n2", "cold1"});

  void setup() override {
    load.workers = {workerWith("w1", {"hot", "n1"}), workerWith("w2", {"hot", "n2"}),
                    workerWith("w3", {"n1", "n2"}), workerWith("w4", {"n1", "n2"})};
  }
  /// Lets 40 requests run on the 32 slots of the hot model.
  void fillHotModel() {
    load.set("hot", 30, 40);
    load.reportFor(20s);
  }
  static bool concerns(const std::vector<PlacementStep>& steps, const char* worker) {
    return std::any_of(steps.begin(), steps.end(),
                       [worker](const PlacementStep& step) { return step.worker.value == worker; });
  }
};

TEST(FullModelsTest, theNeighbourOfAFullModelIsUnloadedIfAnotherReplicaHasRoom) {
  fillHotModel();
  const auto steps = load.plan(engine);
  CHECK_TRUE(concerns(steps, "w1"));
  CHECK_TRUE(concerns(steps, "w2"));
  for (const PlacementStep& step : steps) {
    const bool isMove = step.worker == WorkerId{"w1"} || step.worker == WorkerId{"w2"};
    CHECK_TRUE(!isMove || (step.operation == OrderOperation::unload && step.model != "hot"));
  }
  const auto decisions = load.policy.takeDecisions();
  CHECK_TRUE(std::any_of(decisions.begin(), decisions.end(), [](const auto& decision) {
    return decision.reason == PlacementReason::neighbour && decision.model == "hot" &&
           decision.victim == "n1";
  }));
}

TEST(FullModelsTest, theLastReplicaStaysBesideAFullModel) {
  load.workers = {workerWith("w1", {"hot", "n1"}), workerWith("w2", {"hot", "n2"}),
                  workerWith("w3", {}), workerWith("w4", {})};
  fillHotModel();
  const auto steps = load.plan(engine);
  CHECK_FALSE(concerns(steps, "w1"));
  CHECK_FALSE(concerns(steps, "w2"));
}

TEST(FullModelsTest, aModelInDemandStaysBesideAFullModel) {
  load.set("n1", 6, 9);
  load.set("n2", 6, 9);
  fillHotModel();
  const auto steps = load.plan(engine);
  CHECK_FALSE(concerns(steps, "w1"));
  CHECK_FALSE(concerns(steps, "w2"));
}

TEST(FullModelsTest, aWorkerOfAFullModelTakesNoFurtherModelUntilItHasRoomAgain) {
  load.workers = {workerWith("w1", {"hot"}), workerWith("w2", {"hot"}), workerWith("w3", {"n1"}),
                  workerWith("w4", {"n2"})};
  load.worker("w1").holdings.onDisk = {"cold1"};
  load.worker("w3").canLoadModels = false;
  load.worker("w4").canLoadModels = false;
  fillHotModel();
  load.set("cold1", 0.2, 0, 1);
  load.report();
  CHECK_FALSE(concerns(load.plan(engine), "w1"));
  load.set("hot", 30, 20);  // No request is queued, but more than half of the slots are in use.
  load.report();
  CHECK_FALSE(concerns(load.plan(engine), "w1"));
  load.set("hot", 8, 10);
  load.report();
  CHECK_TRUE(concerns(load.plan(engine), "w1"));
}

/// Guards against a service whose workers are all kept for full models: cold models would never be
/// served.
TEST(FullModelsTest, fullModelsKeepAtMostHalfOfTheWorkers) {
  load.workers = {workerWith("w1", {"hot"}), workerWith("w2", {"hot"}), workerWith("w3", {"n1"})};
  load.worker("w1").holdings.onDisk = {"cold1"};
  fillHotModel();
  load.set("cold1", 0.2, 0, 1);
  load.report();
  CHECK_TRUE(concerns(load.plan(engine), "w1"));
}
