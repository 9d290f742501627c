#include "control/placement_policy.h"

// Must be included last: it redefines `new`.
#include "control/placement_test.h"

using namespace walnut;
using control::atSecond;
using control::BeginUnload;
using control::CommandBody;
using control::kAdapter;
using control::kModel;
using control::kNow;
using control::PlaceReplica;
using control::waiting;

TEST_GROUP_BASE(PlacementPolicy, control::PlacementTest){};

TEST(PlacementPolicy, aBurstPlacesNoMoreThanTheLimit) {
  demand[{"m", ""}] = waiting(500);
  for (; second < kNow + 20; ++second) {
    decide();
  }
  CHECK_EQUAL(2, cell.state.replicaCount(kModel));
}

TEST(PlacementPolicy, oneReplicaServesFewRequestsAndDemandPlacesItOnce) {
  demand[{"m", ""}] = waiting(3);
  CHECK_EQUAL(1, places(decide()));
  CHECK_EQUAL(0, decide().size());
}

TEST(PlacementPolicy, minReplicasAreKeptWithoutDemand) {
  resource::ModelSpec model = control::modelSpec("v1");
  model.minReplicas = 1;
  cell.put(control::declare(resource::Kind::model, "m", model));
  CHECK_EQUAL(1, places(decide()));
  second += 100000;
  report("e1", engine::Report{});
  report("e2", engine::Report{});
  CHECK_EQUAL(0, unloads(decide()));
}

TEST(PlacementPolicy, prefersTheEngineWithTheNearestWeights) {
  engine::Report onDisk;
  onDisk.cached = {{"weights", engine::CacheTier::localDisk}};
  engine::Report inMemory;
  inMemory.cached = {{"weights", engine::CacheTier::hostMemory}};
  report("e1", onDisk);
  report("e2", inMemory);
  demand[{"m", ""}] = waiting(1);
  const auto decisions = decide();
  STRCMP_EQUAL("e2", std::get<PlaceReplica>(decisions.at(0)).engine.value.c_str());
}

TEST(PlacementPolicy, spreadsReplicasOverEngines) {
  hold(kModel, "e1", 0, control::kModelBytes);
  demand[{"m", ""}] = waiting(20);
  const auto decisions = decide();
  CHECK_EQUAL(1, places(decisions));
  STRCMP_EQUAL("e2", std::get<PlaceReplica>(decisions.at(0)).engine.value.c_str());
}

TEST(PlacementPolicy, placesNothingOnUnresponsiveDrainedOrUnledgeredEngines) {
  demand[{"m", ""}] = waiting(1);
  cell.put(control::declare(resource::Kind::drain, "e1", resource::DrainSpec{}));
  unledgered = {{{"e2"}, {0}}, {{"e2"}, {1}}};
  CHECK_EQUAL(0, decide().size());
  unledgered.clear();
  monitor.forget({"e2"});
  CHECK_EQUAL(0, decide().size());
}

TEST(PlacementPolicy, loadsFromTheStoreKeepToThePoolsRate) {
  for (const char* name : {"p", "q", "r"}) {
    addModel(name, 10);
    demand[{name, ""}] = waiting(1);
  }
  CHECK_EQUAL(1, places(decide()));
  CHECK_TRUE(policy.nextWakeup() == atSecond(kNow) + std::chrono::milliseconds(500));
  ++second;
  CHECK_EQUAL(1, places(decide()));
}

TEST(PlacementPolicy, loadsFromTheStoreKeepToThePoolsConcurrency) {
  resource::EnginePoolSpec pool;
  pool.maxConcurrentLoads = 1;
  cell.put(control::declare(resource::Kind::enginePool, "small", pool));
  for (const char* name : {"p", "q"}) {
    auto model = std::get<resource::ModelSpec>(
        (addModel(name, 10), cell.state.resources().at({resource::Kind::model, name}).spec));
    model.pool = "small";
    cell.put(control::declare(resource::Kind::model, name, model));
    demand[{name, ""}] = waiting(1);
  }
  CHECK_EQUAL(1, places(decide()));
  ++second;
  CHECK_EQUAL(0, places(decide()));
  engine::Report loaded;  // The weights are in the cache now.
  loaded.cached = {{"weights-p", engine::CacheTier::localDisk}};
  report("e1", loaded);
  report("e2", loaded);
  CHECK_EQUAL(1, places(decide()));
}

TEST(PlacementPolicy, theEarliestDeadlineIsServedFirst) {
  addModel("late", 10);
  addModel("soon", 10);
  demand[{"late", ""}] = waiting(1, kNow + 50);
  demand[{"soon", ""}] = waiting(1, kNow + 5);
  const auto decisions = decide();
  CHECK_EQUAL(1, places(decisions));
  STRCMP_EQUAL("soon", std::get<PlaceReplica>(decisions.at(0)).servable.model.c_str());
}

TEST(PlacementPolicy, evictsTheLeastRecentlyUsed) {
  const auto ids = fill({kNow - 30, kNow - 50, kNow - 10, kNow - 20}, {"", "", "", ""});
  demand[{"m", ""}] = waiting(1);
  CHECK_TRUE(unloadsOnly(decide(), ids[1]));
  CHECK_EQUAL(0, decide().size());  // The freed memory is reserved: no second eviction.
}

TEST(PlacementPolicy, memoryThatAnEvictionFreesServesTheNextNeedToo) {
  fill({kNow - 30, kNow - 50, kNow - 10, kNow - 20}, {"", "", "", ""});
  for (const char* name : {"p", "q"}) {
    addModel(name, 20);
    demand[{name, ""}] = waiting(1);
  }
  CHECK_EQUAL(1, decide().size());
}

TEST(PlacementPolicy, evictionFollowsTheColdStartWeights) {
  addBudget("cold-starts-count", 100);
  addBudget("memory-counts", 0);
  const auto ids =
      fill({kNow - 30, kNow - 50, kNow - 40, kNow - 40},
           {"memory-counts", "cold-starts-count", "cold-starts-count", "cold-starts-count"});
  demand[{"m", ""}] = waiting(1);
  CHECK_TRUE(unloadsOnly(decide(), ids[0]));
}

TEST(PlacementPolicy, neverEvictsAModelWithDemandOrRunningRequests) {
  fill({kNow - 30, kNow - 50, kNow - 40, kNow - 40}, {"", "", "", ""});
  for (const char* name : {"x0", "x1"}) {
    demand[{name, ""}].running = 1;
  }
  engine::Report running;
  for (std::uint32_t number : {2U, 3U}) {
    const std::string name = "x" + std::to_string(number);
    running.held.push_back(
        {{name, name + "-v1", ""}, {number % 2}, 90, engine::HeldState::ready, 1});
  }
  report("e2", running);
  demand[{"m", ""}] = waiting(1);
  CHECK_EQUAL(0, decide().size());
}

TEST(PlacementPolicy, evictsNothingBeforeAllRoutersHadTimeToReport) {
  fill({kNow - 30, kNow - 50, kNow - 40, kNow - 40}, {"", "", "", ""});
  demand[{"m", ""}] = waiting(1);
  routersReported = false;
  CHECK_EQUAL(0, decide().size());
}

TEST(PlacementPolicy, unloadsAModelAfterItsBudgetsIdleTime) {
  struct Case {
    std::uint32_t weight;
    std::int64_t idleSeconds;
    bool unloaded;
  };
  for (const Case& one : {Case{0, 59, false}, Case{0, 61, true}, Case{50, 119, false},
                          Case{50, 121, true}, Case{100, 1000, false}}) {
    addBudget("b", one.weight);
    const auto servable = addModel("idle", 10, "b");
    const base::ReplicaId id = hold(servable, "e1", 0, 10);
    usage.recordUse(atSecond(second), {"idle", ""});
    usage.recordFullUse(atSecond(second), servable);
    second += one.idleSeconds;
    const auto decisions = decide();
    CHECK_EQUAL(one.unloaded ? 1 : 0, unloads(decisions));
    if (!one.unloaded) {
      cell.apply(BeginUnload{id});
    }
    cell.apply(control::ReleaseReplica{id});
  }
}

TEST(PlacementPolicy, anAdapterWaitsForItsModelAndGoesToItsAccelerator) {
  demand[{"m", "a"}] = waiting(1);
  auto decisions = decide();
  CHECK_EQUAL(1, places(decisions));
  CHECK_TRUE(std::get<PlaceReplica>(decisions.at(0)).servable == kModel);
  cell.apply(control::MarkReplicaReady{base::ReplicaId{cell.index}});
  ++second;
  decisions = decide();
  CHECK_EQUAL(1, places(decisions));
  CHECK_TRUE(std::get<PlaceReplica>(decisions.at(0)).servable == kAdapter);
}

TEST(PlacementPolicy, aModelIsUnloadedWithItsAdaptersFirst) {
  const base::ReplicaId model = hold(kModel, "e1", 0, control::kModelBytes);
  const base::ReplicaId adapter = hold(kAdapter, "e1", 0, control::kAdapterBytes);
  cell.put(control::declare(resource::Kind::drain, "e1", resource::DrainSpec{}));
  const auto decisions = decide();
  CHECK_EQUAL(2, unloads(decisions));
  CHECK_TRUE(std::get<BeginUnload>(decisions.at(0)).replica == adapter);
  CHECK_TRUE(std::get<BeginUnload>(decisions.at(1)).replica == model);
}

TEST(PlacementPolicy, aDrainedReplicaInUseIsReplacedIfTheLimitAllows) {
  hold(kModel, "e1", 0, control::kModelBytes);
  usage.recordUse(atSecond(kNow - 5), {"m", ""});
  cell.put(control::declare(resource::Kind::drain, "e1", resource::DrainSpec{}));
  const auto decisions = decide();
  CHECK_EQUAL(1, places(decisions));
  CHECK_EQUAL(1, unloads(decisions));
}

TEST(PlacementPolicy, aPreviousVersionStaysUntilTheNewOneIsReady) {
  const base::ReplicaId previous = hold(kModel, "e1", 0, control::kModelBytes);
  usage.recordUse(atSecond(kNow - 5), {"m", ""});
  cell.put(control::declare(resource::Kind::model, "m", control::modelSpec("v2")));
  const auto decisions = decide();
  CHECK_EQUAL(1, places(decisions));
  CHECK_EQUAL(1, decisions.size());
  cell.apply(control::MarkReplicaReady{base::ReplicaId{cell.index}});
  CHECK_TRUE(unloadsOnly(decide(), previous));
}

TEST(PlacementPolicy, aLoweredLimitUnloadsTheRest) {
  hold(kModel, "e1", 0, control::kModelBytes);
  hold(kModel, "e2", 0, control::kModelBytes);
  cell.put(control::declare(resource::Kind::model, "m", control::modelSpec("v1", 1)));
  demand[{"m", ""}] = waiting(100);
  CHECK_EQUAL(1, unloads(decide()));
}

TEST(PlacementPolicy, aFullBudgetEvictsWithinItself) {
  addBudget("b", 0, 100);
  const auto idle = addModel("idle", 60, "b");
  addModel("wanted", 60, "b");
  const base::ReplicaId id = hold(idle, "e1", 0, 60);
  usage.recordUse(atSecond(kNow - 10), {"idle", ""});
  usage.recordFullUse(atSecond(kNow), idle);
  demand[{"wanted", ""}] = waiting(1);
  CHECK_TRUE(unloadsOnly(decide(), id));
}

TEST(PlacementPolicy, aFailedLoadIsTriedAgainLater) {
  demand[{"m", ""}] = waiting(1);
  policy.loadFailed(atSecond(second), kModel);
  CHECK_EQUAL(0, decide().size());
  CHECK_TRUE(policy.nextWakeup() == atSecond(second + 1));
  ++second;
  CHECK_EQUAL(1, places(decide()));
}

TEST(PlacementPolicy, aReplicaOnAnUnresponsiveEngineIsReplacedWithinTheLimit) {
  hold(kModel, "e1", 0, control::kModelBytes);
  demand[{"m", ""}] = waiting(1);
  CHECK_EQUAL(0, decide().size());
  second += 10;
  report("e2", engine::Report{});
  const auto decisions = decide();
  CHECK_EQUAL(1, places(decisions));
  CHECK_EQUAL(0, unloads(decisions));
  CHECK_EQUAL(2, cell.state.replicaCount(kModel));
}

TEST(PlacementPolicy, burstIsServedOverSeveralRuns) {
  constexpr std::size_t kAccelerators = 4;
  constexpr std::size_t kModels = 6;
  policy = control::PlacementPolicy(2 * kAccelerators);
  engine::Report cached;  // Cached weights: the store's rate limit does not apply.
  for (std::size_t number = 0; number < kModels; ++number) {
    const std::string name = "y" + std::to_string(number);
    addModel(name, 10);
    demand[{name, ""}] = waiting(1);
    cached.cached.push_back({"weights-" + name, engine::CacheTier::localDisk});
  }
  report("e1", cached);
  report("e2", cached);
  std::size_t placed = 0;
  for (std::size_t run = 0; run < kModels / 2; ++run) {
    const std::vector<CommandBody> decisions = decide();
    CHECK_EQUAL_TEXT(2U, places(decisions), "the search of a run is bounded");
    placed += places(decisions);
    const bool last = placed == kModels;
    CHECK_TRUE(last == (policy.nextWakeup() > atSecond(second)));
  }
  CHECK_EQUAL(kModels, placed);
}

TEST(PlacementPolicy, needsWithoutSpaceDoNotStarveOthers) {
  policy = control::PlacementPolicy(1);
  addModel("a-large", 1000);
  addModel("b-small", 10);
  demand[{"a-large", ""}] = waiting(1, kNow + 10);
  demand[{"b-small", ""}] = waiting(1, kNow + 20);
  CHECK_EQUAL(0U, places(decide()));
  CHECK_EQUAL(1U, places(decide()));
}

namespace {

const control::DemandTarget kPreviousVersionTarget{"m", "", "v1"};
const control::DemandTarget kPreviousVersionAdapterTarget{"m", "a", "v1"};

}  // namespace

TEST(PlacementPolicy, aPreviousVersionIsPlacedOnceForItsOpenStreams) {
  cell.put(control::declare(resource::Kind::model, "m", control::modelSpec("v2")));
  demand[kPreviousVersionTarget] = waiting(40);
  const auto decisions = decide();
  CHECK_EQUAL(1, places(decisions));
  const auto& placement = std::get<control::PlaceReplica>(decisions.front());
  CHECK_TRUE(placement.servable == kModel);
  CHECK_TRUE(placement.previousVersion);
  cell.apply(control::MarkReplicaReady{base::ReplicaId{cell.index}});
  CHECK_EQUAL(0, decide().size());  // It is neither placed twice nor unloaded as outdated.
  demand.clear();
  CHECK_EQUAL(1, unloads(decide()));
}

TEST(PlacementPolicy, aPreviousVersionIsPlacedWithTheAdapterOfItsStreams) {
  cell.put(control::declare(resource::Kind::model, "m", control::modelSpec("v2")));
  demand[kPreviousVersionAdapterTarget] = waiting(1);
  CHECK_EQUAL(1, places(decide()));
  cell.apply(control::MarkReplicaReady{base::ReplicaId{cell.index}});
  ++second;  // The store allows one load per second.
  const auto decisions = decide();
  CHECK_EQUAL(1, places(decisions));
  CHECK_TRUE(std::get<control::PlaceReplica>(decisions.front()).servable == control::kAdapter);
}

TEST(PlacementPolicy, aPreviousVersionIsNotPlacedBeyondTheLimitOrAfterDeletion) {
  cell.put(control::declare(resource::Kind::model, "m", control::modelSpec("v2", 0)));
  demand[kPreviousVersionTarget] = waiting(1);
  CHECK_EQUAL(0, places(decide()));
  cell.put(control::declare(resource::Kind::model, "m", control::modelSpec("v2")));
  demand.clear();
  demand[{"m", "", "v9"}] = waiting(1);
  CHECK_EQUAL(0, places(decide()));
}
