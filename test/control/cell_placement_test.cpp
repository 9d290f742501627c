#include <functional>

#include "control/cell_fixture.h"

// Must be included last: its macro for `new` breaks the headers of the library.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::control;
using base::ErrorCode;
using resource::Kind;
using resource::ReplicaState;

namespace {

const resource::Servable kModel{"m", "v1", ""};
const resource::Servable kAdapter{"m", "v1", "a"};

void putBudget(TestCell& cell, std::uint64_t bytes) {
  resource::CapacityBudgetSpec budget;
  budget.acceleratorBytes = bytes;
  cell.put(declare(Kind::capacityBudget, "b", budget));
  resource::ModelSpec spec = modelSpec("v1");
  spec.budget = "b";
  cell.put(declare(Kind::model, "m", spec));
}

void putPool(TestCell& cell, std::vector<std::string> zones, std::string machineClass) {
  resource::EnginePoolSpec pool;
  pool.zones = std::move(zones);
  pool.machineClass = std::move(machineClass);
  cell.put(declare(Kind::enginePool, "p", pool));
  resource::ModelSpec spec = modelSpec("v1");
  spec.pool = "p";
  cell.put(declare(Kind::model, "m", spec));
}

}  // namespace

TEST_GROUP(CellPlacement) {
  TestCell cell;
  void setup() override { cell.declareAll(); }
};

TEST(CellPlacement, refusals) {
  struct Case {
    const char* name;
    ErrorCode code;
    std::string field;
    std::function<void(TestCell&, PlaceReplica&)> arrange;
  };
  const std::vector<Case> cases = {
      {"unknown model", ErrorCode::referenceMissing, "servable.model",
       [](TestCell&, PlaceReplica& placement) { placement.servable.model = "other"; }},
      {"unknown version", ErrorCode::referenceMissing, "servable.version",
       [](TestCell&, PlaceReplica& placement) { placement.servable.version = "v9"; }},
      {"version not active", ErrorCode::versionConflict, "servable.version",
       [](TestCell&, PlaceReplica& placement) { placement.servable.version = "v2"; }},
      {"unknown adapter", ErrorCode::referenceMissing, "servable.adapter",
       [](TestCell&, PlaceReplica& placement) { placement.servable.adapter = "other"; }},
      {"adapter without its model", ErrorCode::modelNotLoaded, "servable.adapter",
       [](TestCell&, PlaceReplica& placement) { placement = placementOf(kAdapter, "e1"); }},
      {"adapter over a model that is not ready", ErrorCode::modelNotLoaded, "servable.adapter",
       [](TestCell& state, PlaceReplica& placement) {
         state.place(placement);
         placement = placementOf(kAdapter, "e1");
       }},
      {"adapter on another accelerator than its model", ErrorCode::modelNotLoaded,
       "servable.adapter",
       [](TestCell& state, PlaceReplica& placement) {
         state.apply(MarkReplicaReady{state.place(placement)});
         placement = placementOf(kAdapter, "e1", 1);
       }},
      {"unknown engine", ErrorCode::notFound, "engine",
       [](TestCell&, PlaceReplica& placement) { placement.engine.value = "e9"; }},
      {"leaving engine", ErrorCode::engineLeaving, "engine",
       [](TestCell& state, PlaceReplica&) {
         resource::Engine engine = engineOf("e1");
         engine.status = resource::EngineStatus::leaving;
         state.apply(RegisterEngine{engine});
       }},
      {"drained engine", ErrorCode::engineLeaving, "engine",
       [](TestCell& state, PlaceReplica&) {
         state.put(declare(Kind::drain, "e1", resource::DrainSpec{}));
       }},
      {"other incarnation", ErrorCode::wrongIncarnation, "incarnation",
       [](TestCell&, PlaceReplica& placement) { placement.incarnation.value = 8; }},
      {"unknown incarnation", ErrorCode::wrongIncarnation, "incarnation",
       [](TestCell& state, PlaceReplica& placement) {
         state.apply(RegisterEngine{engineOf("e3", 0)});
         placement.engine.value = "e3";
         placement.incarnation.value = 0;
       }},
      {"zone outside the pool", ErrorCode::outOfRange, "engine",
       [](TestCell& state, PlaceReplica&) {
         putPool(state, {"zone-b", "zone-c"}, "");
       }},
      {"class outside the pool", ErrorCode::outOfRange, "engine",
       [](TestCell& state, PlaceReplica&) { putPool(state, {"zone-a"}, "large"); }},
      {"unknown accelerator", ErrorCode::outOfRange, "accelerator",
       [](TestCell&, PlaceReplica& placement) { placement.accelerator.value = kAccelerators; }},
      {"bytes that differ from the spec", ErrorCode::outOfRange, "bytes",
       [](TestCell&, PlaceReplica& placement) { --placement.bytes; }},
      {"already held on the accelerator", ErrorCode::alreadyExists, "servable",
       [](TestCell& state, PlaceReplica& placement) { state.place(placement); }},
      {"being unloaded on another accelerator", ErrorCode::alreadyExists, "servable",
       [](TestCell& state, PlaceReplica&) {
         state.apply(BeginUnload{state.place(placementOf(kModel, "e1", 1))});
       }},
      {"replica limit", ErrorCode::noCapacity, "max_replicas",
       [](TestCell& state, PlaceReplica& placement) {
         state.place(placement);
         state.place(placementOf(kModel, "e2"));
         placement.accelerator.value = 1;
       }},
      {"budget", ErrorCode::noCapacity, "budget",
       [](TestCell& state, PlaceReplica&) {
         putBudget(state, 2 * kModelBytes - 1);
         state.place(placementOf(kModel, "e2"));
       }},
      {"memory", ErrorCode::insufficientMemory, "bytes",
       [](TestCell& state, PlaceReplica&) {
         resource::Engine engine = engineOf("e1");
         engine.acceleratorBytes[0] = kModelBytes - 1;
         state.apply(RegisterEngine{engine});
       }},
  };
  for (const Case& fault : cases) {
    TestCell state;
    state.declareAll();
    PlaceReplica placement = placementOf(kModel, "e1");
    fault.arrange(state, placement);
    const std::size_t before = state.state.replicas().size();
    const auto proposed = state.state.checkPlacement(placement);
    const auto refusal = state.apply(placement).refusal;
    CHECK_TRUE_TEXT(refusal.has_value(), fault.name);
    CHECK_TRUE_TEXT(refusal == proposed, fault.name);
    CHECK_TRUE_TEXT(refusal->code == fault.code, fault.name);
    STRCMP_EQUAL_TEXT(fault.field.c_str(), refusal->field.c_str(), fault.name);
    LONGS_EQUAL_TEXT(before, state.state.replicas().size(), fault.name);
  }
}

TEST(CellPlacement, reservesUntilReleased) {
  const base::AcceleratorIndex first{0};
  const base::ReplicaId id = cell.place(placementOf(kModel, "e1"));
  LONGS_EQUAL(cell.index, id.value);
  LONGS_EQUAL(kMemory - kModelBytes, cell.state.freeBytes({"e1"}, first));
  cell.apply(MarkReplicaReady{id});
  cell.now += std::chrono::seconds(5);
  cell.apply(BeginUnload{id});
  CHECK_TRUE(cell.state.replicas().at(id).state == ReplicaState::unloading);
  CHECK_TRUE(cell.state.replicas().at(id).since == cell.now);
  LONGS_EQUAL(kMemory - kModelBytes, cell.state.freeBytes({"e1"}, first));
  LONGS_EQUAL(1, cell.state.replicaCount(kModel));
  cell.apply(ReleaseReplica{id});
  LONGS_EQUAL(kMemory, cell.state.freeBytes({"e1"}, first));
  LONGS_EQUAL(0, cell.state.replicaCount(kModel));
  LONGS_EQUAL(0, cell.state.freeBytes({"e9"}, first));
  LONGS_EQUAL(0, cell.state.freeBytes({"e1"}, {kAccelerators}));
}

TEST(CellPlacement, transitions) {
  using Step = std::function<CommandBody(base::ReplicaId)>;
  const Step ready = [](base::ReplicaId id) { return MarkReplicaReady{id}; };
  const Step unload = [](base::ReplicaId id) { return BeginUnload{id}; };
  const Step release = [](base::ReplicaId id) { return ReleaseReplica{id}; };
  struct Case {
    const char* name;
    std::vector<Step> before;
    Step step;
    bool allowed;
  };
  const std::vector<Case> cases = {
      {"reserved to ready", {}, ready, true},
      {"reserved to unloading", {}, unload, true},
      {"reserved to removed", {}, release, false},
      {"ready to ready", {ready}, ready, false},
      {"ready to unloading", {ready}, unload, true},
      {"ready to removed", {ready}, release, false},
      {"unloading to ready", {unload}, ready, false},
      {"unloading to unloading", {unload}, unload, false},
      {"unloading to removed", {ready, unload}, release, true},
      {"removed to ready", {unload, release}, ready, false},
      {"removed to unloading", {unload, release}, unload, false},
      {"removed to removed", {unload, release}, release, false},
  };
  for (const Case& transition : cases) {
    TestCell state;
    state.declareAll();
    const base::ReplicaId id = state.place(placementOf(kModel, "e1"));
    for (const Step& step : transition.before) {
      CHECK_FALSE_TEXT(state.apply(step(id)).refusal.has_value(), transition.name);
    }
    const auto replicas = state.state.replicas();
    const bool refused = state.apply(transition.step(id)).refusal.has_value();
    CHECK_EQUAL_TEXT(transition.allowed, !refused, transition.name);
    CHECK_EQUAL_TEXT(refused, replicas == state.state.replicas(), transition.name);
  }
}

TEST(CellPlacement, newIncarnationFreesTheMemory) {
  cell.place(placementOf(kModel, "e1"));
  const base::ReplicaId other = cell.place(placementOf(kModel, "e2"));
  cell.apply(RegisterEngine{engineOf("e1")});
  LONGS_EQUAL(2, cell.state.replicas().size());
  cell.apply(RegisterEngine{engineOf("e1", 0)});
  LONGS_EQUAL_TEXT(2, cell.state.replicas().size(),
                   "incarnation 0 means unknown, not a new incarnation");
  LONGS_EQUAL(kFirstIncarnation, cell.state.engines().at({"e1"}).incarnation.value);
  cell.apply(RegisterEngine{engineOf("e1", kFirstIncarnation + 1)});
  LONGS_EQUAL(1, cell.state.replicas().size());
  CHECK_TRUE(cell.state.replicas().contains(other));
  LONGS_EQUAL(kMemory, cell.state.freeBytes({"e1"}, {0}));
}

TEST(CellPlacement, removedEngineTakesItsReplicasButNotItsDrain) {
  cell.place(placementOf(kModel, "e1"));
  cell.put(declare(Kind::drain, "e1", resource::DrainSpec{}));
  CHECK_FALSE(cell.apply(RemoveEngine{{"e1"}}).refusal.has_value());
  LONGS_EQUAL(0, cell.state.replicas().size());
  LONGS_EQUAL(1, cell.state.engines().size());
  CHECK_TRUE(cell.state.drained({"e1"}));
  CHECK_TRUE(cell.apply(RemoveEngine{{"e1"}}).refusal->code == ErrorCode::notFound);
}

TEST(CellPlacement, engineMayNotShrinkBelowItsReservations) {
  cell.place(placementOf(kModel, "e1", 1));
  resource::Engine engine = engineOf("e1");
  for (const std::vector<std::uint64_t>& memory :
       {std::vector<std::uint64_t>{kMemory}, {kMemory, kModelBytes - 1}}) {
    engine.acceleratorBytes = memory;
    CHECK_TRUE(cell.apply(RegisterEngine{engine}).refusal->code == ErrorCode::insufficientMemory);
  }
  engine.acceleratorBytes = {0, kModelBytes};
  CHECK_FALSE(cell.apply(RegisterEngine{engine}).refusal.has_value());
}

TEST(CellPlacement, budgetFollowsTheModel) {
  putBudget(cell, kModelBytes);
  cell.place(placementOf(kModel, "e1"));
  CHECK_TRUE(cell.state.checkPlacement(placementOf(kModel, "e2"))->field == "budget");
  cell.put(declare(Kind::model, "m", modelSpec("v1")));
  CHECK_FALSE(cell.state.checkPlacement(placementOf(kModel, "e2")).has_value());
  putBudget(cell, 2 * kModelBytes);
  cell.place(placementOf(kModel, "e2"));
  LONGS_EQUAL(2, cell.state.replicas().size());
}

TEST(CellPlacement, adapterOverAReadyModel) {
  cell.apply(MarkReplicaReady{cell.place(placementOf(kModel, "e1"))});
  CHECK_TRUE(cell.place(placementOf(kAdapter, "e1")).value != 0);
  LONGS_EQUAL(kMemory - kModelBytes - kAdapterBytes, cell.state.freeBytes({"e1"}, {0}));
}

TEST(CellPlacement, changedWeightsBeginToUnload) {
  const base::ReplicaId model = cell.place(placementOf(kModel, "e1"));
  cell.apply(MarkReplicaReady{model});
  const base::ReplicaId adapter = cell.place(placementOf(kAdapter, "e1"));
  cell.put(declare(Kind::adapter, "a", adapterSpec("m")));
  CHECK_TRUE(cell.state.replicas().at(adapter).state == ReplicaState::reserved);
  resource::AdapterSpec changed = adapterSpec("m");
  changed.checkpoint = "other-weights";
  cell.put(declare(Kind::adapter, "a", changed));
  CHECK_TRUE(cell.state.replicas().at(adapter).state == ReplicaState::unloading);
  CHECK_TRUE(cell.state.replicas().at(model).state == ReplicaState::ready);
  cell.put(declare(Kind::model, "m", modelSpec("v2")));
  cell.erase(Kind::modelVersion, "v1");
  CHECK_TRUE(cell.state.replicas().at(model).state == ReplicaState::unloading);
}

TEST(CellPlacement, adaptersUnloadWithTheirModel) {
  const base::ReplicaId model = cell.place(placementOf(kModel, "e1"));
  cell.apply(MarkReplicaReady{model});
  const base::ReplicaId adapter = cell.place(placementOf(kAdapter, "e1"));
  const base::ReplicaId otherReplica = cell.place(placementOf(kModel, "e1", 1));
  cell.apply(BeginUnload{model});
  CHECK_TRUE(cell.state.replicas().at(adapter).state == ReplicaState::unloading);
  CHECK_TRUE(cell.state.replicas().at(otherReplica).state == ReplicaState::reserved);
  LONGS_EQUAL(2, cell.state.history().since(cell.index - 1)->size());
}

TEST(CellPlacement, aPreviousVersionIsPlacedOnlyIfMarkedAsSuch) {
  PlaceReplica placement = placementOf({"m", "v2", ""}, "e1");
  placement.previousVersion = true;
  CHECK_FALSE(cell.apply(placement).refusal.has_value());
}
