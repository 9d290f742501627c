/// Tests where the placement policy loads models and adapters for streams that only workers of one
/// software version can continue.

#include "registry/placement.h"
#include "registry/placement_fixture.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;
using namespace std::chrono_literals;

namespace {

catalog::EngineSpec engineOf(std::initializer_list<const char*> models) {
  catalog::EngineSpec engine;
  engine.slots = 64;
  engine.weightsMegabytes = 100;
  engine.adapterSlots = 2;
  engine.storeLoadsPerSecond = 2;
  catalog::ModelSpec model;
  model.weightsMegabytes = 50;
  model.storeLoadTime = 4s;
  model.diskLoadTime = 2s;
  model.memoryLoadTime = 1s;
  model.adapters = 9;
  return withModels(engine, model, models);
}

PlacementWorker workerOf(const char* version, const char* id,
                         std::initializer_list<const char*> models) {
  PlacementWorker worker = workerWith(id, models);
  worker.softwareVersion = version;
  return worker;
}

}  // namespace

TEST_GROUP(VersionPlacementTest) {
  static constexpr protocol::ConnectionId kGateway{1};
  const base::TimePoint now = base::TimePoint(100s);
  PlacementPolicy policy{"svc"};
  StoreScheduler store;
  DemandBook demand;

  void streamWaits(const char* model, const char* adapter, const char* version) {
    DemandUpdate update;
    update.demands.push_back({"svc", model, adapter, 1, 1});
    demand.update(kGateway, update, now);
    demand.updateVersions(kGateway, {{{"svc", model, adapter, version, 1}}});
  }
  std::vector<PlacementStep> plan(const std::vector<PlacementWorker>& workers) {
    const catalog::EngineSpec engine = engineOf({"a", "b"});
    store.setLimit(engine.storeLoadsPerSecond, {}, now);
    return policy.plan(engine, workers, demand, store, now);
  }
};

/// Guards against a stream that waits for its model for ever since other versions serve it.
TEST(VersionPlacementTest, aModelThatAnotherVersionServesIsLoadedForAWaitingStream) {
  streamWaits("a", "", "v1");
  const auto steps =
      plan({workerOf("v2", "w1", {"a"}), workerOf("v2", "w2", {}), workerOf("v1", "w3", {})});
  CHECK_EQUAL(1, steps.size());
  CHECK_TRUE((steps[0] == PlacementStep{{"w3"}, OrderOperation::load, "a", "", true}));
}

TEST(VersionPlacementTest, aModelThatNobodyServesIsLoadedAtTheVersionWaitedFor) {
  PlacementWorker near = workerOf("v2", "w1", {});
  near.holdings.inMemory = {"a"};
  streamWaits("a", "", "v1");
  const auto steps = plan({near, workerOf("v1", "w2", {})});
  CHECK_EQUAL(1, steps.size());
  STRCMP_EQUAL("w2", steps[0].worker.value.c_str());
}

TEST(VersionPlacementTest, oneReplicaOfAVersionIsEnough) {
  streamWaits("a", "", "v1");
  PlacementWorker loading = workerOf("v1", "w2", {});
  loading.loadingModel = "a";
  CHECK_TRUE(plan({workerOf("v2", "w1", {"a"}), loading, workerOf("v1", "w3", {})}).empty());
}

TEST(VersionPlacementTest, nothingIsLoadedForAVersionWithoutWorkers) {
  streamWaits("a", "", "v1");
  CHECK_TRUE(plan({workerOf("v2", "w1", {"a"}), workerOf("v2", "w2", {})}).empty());
}

TEST(VersionPlacementTest, anAdapterIsLoadedAtTheVersionWaitedFor) {
  PlacementWorker other = workerOf("v2", "w1", {"a"});
  other.holdings.models[0].adapters = {"a1"};
  streamWaits("a", "a1", "v1");
  const auto steps = plan({other, workerOf("v1", "w2", {"a"})});
  CHECK_EQUAL(1, steps.size());
  CHECK_TRUE((steps[0] == PlacementStep{{"w2"}, OrderOperation::load, "a", "a1", false}));
}

TEST(VersionPlacementTest, whatAGatewayWaitedForEndsWithIt) {
  streamWaits("a", "", "v1");
  demand.forget(kGateway);
  CHECK_TRUE(demand.versionsWaitedFor({"svc", "a", {}}).empty());
}
