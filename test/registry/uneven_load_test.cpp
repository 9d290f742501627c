/// Tests placement in a service where replicas are slow to add. The load is that of a measured day:
/// the hottest model has 4 replicas, and its rate rises from 15 to 75 requests per second within
/// 20 s; single callers wait for cold models; demand swings by half of its mean within 13 s.

#include <algorithm>
#include <cmath>
#include <numbers>

#include "registry/uneven_load_fixture.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;
using namespace std::chrono_literals;

namespace {

bool unloads(const std::vector<PlacementStep>& steps, const std::string& model) {
  return std::any_of(steps.begin(), steps.end(), [&model](const PlacementStep& step) {
    return step.operation == OrderOperation::unload && step.model == model;
  });
}

bool loads(const std::vector<PlacementStep>& steps, const std::string& model) {
  return std::any_of(steps.begin(), steps.end(), [&model](const PlacementStep& step) {
    return step.operation == OrderOperation::load && step.model == model;
  });
}

double swing(double mean, double seconds) {
  constexpr double kPeriodSeconds = 13;
  return mean * (1 + 0.5 * std::sin(2 * std::numbers::pi * seconds / kPeriodSeconds));
}

}  // namespace

TEST_GROUP(UnevenLoadTest) {
  UnevenLoad load;

  /// Four workers serve the hot model; each holds another model besides, with few requests.
  void startHotModel() {
    load.workers = {workerWith("w1", {"hot", "n1"}), workerWith("w2", {"hot", "n2"}),
                    workerWith("w3", {"hot", "n3"}), workerWith("w4", {"hot", "n4"})};
  }
  static catalog::EngineSpec hotEngine() {
    return slowToAddEngine({"hot", "n1", "n2", "n3", "n4", "cold1", "cold2", "a", "b"});
  }
};

/// Guards against the measured fault: at second 2 and at second 21 a replica of the hottest model
/// was unloaded for a model that one caller waited for.
TEST(UnevenLoadTest, aRisingModelLosesNoReplicaToColdModelsWithOneCallerEach) {
  startHotModel();
  for (const char* neighbour : {"n1", "n2", "n3", "n4"}) {
    load.set(neighbour, 1, 3);  // Costs more to unload than the hot model's replica did.
  }
  for (int half = 0; half <= 42; ++half) {
    const double rate = 15 + 1.5 * half;
    load.set("hot", rate, std::min(64.0, 1.4 * rate));
    load.set("cold1", 0.2, 0, 1);
    load.set("cold2", 0.2, 0, 1);
    load.report();
    CHECK_FALSE(unloads(load.plan(hotEngine()), "hot"));
  }
}

/// Guards against a protection that acts on the present load only: one second ago the remaining
/// replicas had room, but not for the demand to come.
TEST(UnevenLoadTest, aReplicaIsKeptForTheDemandToCome) {
  const catalog::EngineSpec engine = slowToAddEngine({"hot", "n1", "n2", "cold1"});
  load.workers = {workerWith("w1", {"hot", "n1"}), workerWith("w2", {"hot", "n2"})};
  load.set("n1", 0.3, 3);
  load.set("n2", 0.3, 3);
  load.set("hot", 10, 2);
  load.reportFor(30s);
  load.set("cold1", 0.2, 0, 1);
  load.report();
  // 2 of the 16 slots of the other are no load.
  CHECK_TRUE(unloads(load.planAfterComparison(engine), "hot"));
  load.set("hot", 30, 2);
  load.reportFor(2s);
  CHECK_FALSE(unloads(load.plan(engine), "hot"));
}

/// Guards against a replica being taken from a model that can't lose it because another one, with
/// hardly more load, wants it: the two would take it from each other in turn.
TEST(UnevenLoadTest, twoModelsInDemandDoNotTakeReplicasFromEachOther) {
  load.workers = {workerWith("w1", {"a", "b"}), workerWith("w2", {"a", "b"})};
  load.set("a", 15, 12);
  load.set("b", 20, 16);
  for (int second = 0; second < 20; ++second) {
    load.reportFor(1s);
    CHECK_TRUE(load.plan(slowToAddEngine({"a", "b"})).empty());
  }
}

/// Guards against a rule so strict that a hot model gets no place at all.
TEST(UnevenLoadTest, aMuchBusierModelGetsThePlaceOfAnother) {
  load.workers = {workerWith("w1", {"hot"}), workerWith("w2", {"a", "b"}),
                  workerWith("w3", {"a", "b"})};
  load.worker("w2").holdings.onDisk = {"hot"};
  load.set("hot", 20, 30);
  load.set("a", 3, 4);
  load.set("b", 3, 4);
  load.reportFor(20s);
  const auto steps = load.plan(slowToAddEngine({"hot", "a", "b"}));
  CHECK_EQUAL(1, steps.size());
  CHECK_TRUE(steps[0].worker == WorkerId{"w2"} && steps[0].operation == OrderOperation::unload);
}

/// Guards against streams that wait at gateways, as those that begin late do, not counting.
TEST(UnevenLoadTest, requestsThatWaitAtGatewaysForAServedModelCountAsQueued) {
  load.workers = {workerWith("w1", {"hot"}), workerWith("w2", {})};
  load.set("hot", 0.5, 2, 4);
  load.report();
  load.plan(slowToAddEngine({"hot"}));
  const auto decisions = load.policy.takeDecisions();
  CHECK_EQUAL(1, decisions.size());
  CHECK_TRUE(decisions[0].reason == PlacementReason::queueing);
  DOUBLES_EQUAL(4, decisions[0].queued, 0.01);
}

/// Guards against `not-worth` for the cheapest replica of all, a load of 0.8 s.
TEST(UnevenLoadTest, aModelExpectedToBeFullUsesItsDiskCopiesAtNearlyAnyCost) {
  load.workers = {workerWith("w1", {"hot"}), workerWith("w2", {"a", "b"})};
  load.worker("w2").holdings.onDisk = {"hot"};
  load.set("hot", 0.8, 9);  // 6 x rate is less than the cost of unloading a last replica.
  load.set("a", 2, 1);
  load.set("b", 2, 1);
  load.reportFor(20s);
  const auto steps = load.plan(slowToAddEngine({"hot", "a", "b"}));
  CHECK_EQUAL(1, steps.size());
  CHECK_TRUE(steps[0].worker == WorkerId{"w2"} && steps[0].operation == OrderOperation::unload);
}

/// Guards against a replica that is loaded only once the present ones are busy.
TEST(UnevenLoadTest, aRisingModelGetsAReplicaBeforeItsReplicasAreBusy) {
  load.workers = {workerWith("w1", {"hot"}), workerWith("w2", {"hot"}), workerWith("w3", {"hot"}),
                  workerWith("w4", {"hot"}), workerWith("w5", {})};
  load.worker("w5").holdings.onDisk = {"hot"};
  load.set("hot", 5, 2.5);
  load.reportFor(20s);
  CHECK_TRUE(load.plan(slowToAddEngine({"hot"})).empty());
  std::vector<PlacementStep> steps;
  for (int half = 0; half < 12 && steps.empty(); ++half) {
    const double rate = 5 + 1.75 * half;
    load.set("hot", rate, 0.5 * rate);
    load.report();
    steps = load.plan(slowToAddEngine({"hot"}));
  }
  CHECK_TRUE(loads(steps, "hot"));
  CHECK_TRUE(load.policy.takeDecisions()[0].reason == PlacementReason::rising);
}

/// Guards against a wrong forecast that loads many replicas: the rate jumps once and stays.
TEST(UnevenLoadTest, aWrongForecastCostsAtMostOneReplicaMoreThanTwiceTheNeed) {
  const catalog::EngineSpec engine = slowToAddEngine({"hot"});
  load.workers = {workerWith("w0", {"hot"})};
  for (const char* id : {"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"}) {
    load.worker(id).holdings.onDisk = {"hot"};
  }
  constexpr double kRunning = 6;  // Needs 3 replicas: 6 / (3 x 16) < kScaleOutShare.
  load.set("hot", 0.4, 1);
  load.reportFor(20s);
  load.set("hot", 8, kRunning);
  for (int half = 0; half < 40; ++half) {
    load.report();
    for (const PlacementStep& step : load.plan(engine)) {
      load.worker(step.worker.value.c_str()).holdings.models.push_back({"hot", 1, {}});
    }
  }
  const auto replicas =
      std::count_if(load.workers.begin(), load.workers.end(),
                    [](const auto& worker) { return worker.holdings.find("hot") != nullptr; });
  CHECK_TRUE(replicas >= 3);
  CHECK_TRUE(replicas <= 2 * 3 + 1);
}

/// Guards against replicas that come and go with each swing of the demand.
TEST(UnevenLoadTest, demandThatSwingsDoesNotMoveReplicas) {
  const catalog::EngineSpec engine = slowToAddEngine({"hot", "a", "b", "cold1"});
  load.workers = {workerWith("w1", {"hot", "a"}), workerWith("w2", {"hot", "b"}),
                  workerWith("w3", {"hot", "a"}), workerWith("w4", {"hot", "b"})};
  load.set("a", 2, 2.5);
  load.set("b", 2, 2.5);
  int orders = 0;
  for (int half = 0; half < 104; ++half) {  // Four periods.
    const double rate = swing(12, half / 2.0);
    load.set("hot", rate, 0.8 * rate);
    load.set("cold1", 0.2, 0, half % 8 == 0 ? 1 : 0);
    load.report();
    for (const PlacementStep& step : load.plan(engine)) {
      orders += step.model == "hot" ? 1 : 0;
    }
  }
  CHECK_EQUAL(0, orders);
}

/// Guards against a new leader taking the beginning of its own counts for a rise.
TEST(UnevenLoadTest, aNewLeaderPlansByThePresentRateWithoutATrend) {
  load.workers = {workerWith("w1", {"hot"}), workerWith("w2", {"hot"}), workerWith("w3", {})};
  load.worker("w3").holdings.onDisk = {"hot"};
  load.set("hot", 10, 4);
  for (int half = 0; half < 20; ++half) {
    load.report();
    CHECK_TRUE(load.plan(slowToAddEngine({"hot"})).empty());
  }
}

/// Guards against a lost replica that counts when another is to be unloaded.
TEST(UnevenLoadTest, aLostReplicaDoesNotMakeAnotherSurplus) {
  const catalog::EngineSpec engine = slowToAddEngine({"hot", "a", "cold1"});
  load.workers = {workerWith("w1", {"hot", "a"}), workerWith("w2", {"hot", "a"}),
                  workerWith("w3", {"hot", "a"})};
  load.set("hot", 3, 9);
  load.set("a", 2, 16);
  load.reportFor(20s);
  load.set("cold1", 0.2, 0, 1);
  load.report();
  // 9 requests on the 32 slots that remain; without the lost replica on 16, more than half.
  CHECK_TRUE(unloads(load.planAfterComparison(engine), "hot"));
  load.worker("w3").serving = false;
  load.report();
  CHECK_FALSE(unloads(load.plan(engine), "hot"));
}

/// Guards against a further replica on a busy worker while another one is less busy.
TEST(UnevenLoadTest, aFurtherReplicaGoesToTheWorkerWithFewerRequests) {
  load.workers = {workerWith("w1", {"hot"}), workerWith("w2", {"a"}), workerWith("w3", {"b"})};
  load.worker("w2").holdings.onDisk = {"hot"};
  load.worker("w3").holdings.onDisk = {"hot"};
  load.set("hot", 10, 14);
  load.set("a", 0.4, 2);
  load.set("b", 0.4, 1);
  load.reportFor(20s);
  const auto steps = load.plan(slowToAddEngine({"hot", "a", "b"}));
  CHECK_EQUAL(1, steps.size());
  CHECK_TRUE(steps[0].worker == WorkerId{"w3"} && steps[0].operation == OrderOperation::load);
}

/// Guards against the rules acting where a further replica is there in time.
TEST(UnevenLoadTest, otherServicesArePlannedWithoutAForecast) {
  load.policy.setReplicasAreSlowToAdd(false);
  load.workers = {workerWith("w1", {"hot"}), workerWith("w2", {"hot"}), workerWith("w3", {})};
  load.worker("w3").holdings.onDisk = {"hot"};
  load.set("hot", 5, 4, 9);
  load.reportFor(20s);
  load.set("hot", 50, 4, 9);
  load.reportFor(2s);
  CHECK_TRUE(load.plan(slowToAddEngine({"hot"})).empty());
}
