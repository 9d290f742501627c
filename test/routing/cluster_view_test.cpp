/// @file
/// Tests the router's copy of the configuration and the data derived from it.

#include "routing/cluster_view.h"

#include <map>
#include <set>
#include <vector>

#include "routing/fake_cell.h"
#include "walnut/base/random.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::routing;
using namespace walnut::routing::testing;

namespace {

const resource::Servable kServable{"m", "v1", ""};

/// Makes a view of a model with a ready replica, as of index 1.
ClusterView makeView() {
  ClusterView view;
  view.applyPage({1}, protocol::WatchSnapshotPage{
                          1,
                          0,
                          true,
                          {modelChange("m", "v1"), protocol::EngineChanged{engineRecord(0)},
                           protocol::ReplicaChanged{replicaRecord(5, "m", 0)}}});
  return view;
}

}  // namespace

TEST_GROUP(ClusterView){};

TEST(ClusterView, namesIndexFollowsModelsAndAdaptersOnly) {
  resource::Resource adapter;
  adapter.key = {resource::Kind::adapter, "a"};
  adapter.spec = resource::AdapterSpec{"m", "checkpoint", 1, 1};
  resource::Resource budget;
  budget.key = {resource::Kind::capacityBudget, "b"};
  budget.spec = resource::CapacityBudgetSpec{};
  struct Case {
    protocol::Change change;
    bool changesNames;
  };
  const std::vector<Case> cases{
      {modelChange("m", "v2"), true},
      {protocol::ResourceChanged{adapter}, true},
      {protocol::ResourceDeleted{adapter.key}, true},
      {protocol::ResourceChanged{budget}, false},
      {protocol::ReplicaRemoved{{5}}, false},
      {protocol::EngineChanged{engineRecord(1)}, false},
  };
  for (const Case& one : cases) {
    ClusterView view = makeView();
    CHECK_EQUAL(1U, view.namesIndex());
    view.applyDelta({1, 4, {one.change}});
    CHECK_EQUAL(4U, view.index());
    CHECK_EQUAL(one.changesNames ? 4U : 1U, view.namesIndex());
  }
}

TEST(ClusterView, readyReplicasFollowEveryChangeThatTouchesThem) {
  resource::Engine leaving = engineRecord(0);
  leaving.status = resource::EngineStatus::leaving;
  resource::Engine restarted = engineRecord(0);
  restarted.incarnation = {2};
  resource::Resource drain;
  drain.key = {resource::Kind::drain, engineRecord(0).id.value};
  drain.spec = resource::DrainSpec{};
  const std::vector<protocol::Change> changes{
      protocol::EngineChanged{leaving},
      protocol::EngineChanged{restarted},
      protocol::EngineRemoved{engineRecord(0).id},
      protocol::ResourceChanged{drain},
      protocol::ReplicaChanged{replicaRecord(5, "m", 0, resource::ReplicaState::unloading)},
      protocol::ReplicaRemoved{{5}},
  };
  for (const protocol::Change& change : changes) {
    ClusterView view = makeView();
    CHECK_EQUAL(1U, view.readyReplicas(kServable).size());
    view.applyDelta({1, 2, {change}});
    CHECK_EQUAL(0U, view.readyReplicas(kServable).size());
    CHECK_FALSE(view.hasReadyReplica(kServable));
  }
}

TEST(ClusterView, snapshotReplacesTheReadyReplicas) {
  ClusterView view = makeView();
  CHECK_EQUAL(1U, view.readyReplicas(kServable).size());
  view.applyPage({1}, protocol::WatchSnapshotPage{9, 0, true, {modelChange("m", "v1")}});
  CHECK_EQUAL(0U, view.readyReplicas(kServable).size());
}

TEST(ClusterView, replicaIsReadyOnceItsEngineIsKnown) {
  ClusterView view;
  view.applyDelta({0, 1, {protocol::ReplicaChanged{replicaRecord(5, "m", 0)}}});
  CHECK_EQUAL(0U, view.readyReplicas(kServable).size());
  POINTERS_EQUAL(nullptr, view.engine(engineRecord(0).id));
  view.applyDelta({1, 2, {protocol::EngineChanged{engineRecord(0)}}});
  CHECK_EQUAL(1U, view.readyReplicas(kServable).size());
}

TEST(ClusterView, drainAppliesWhetherItsEngineIsAddedBeforeOrAfterIt) {
  resource::Resource drain;
  drain.key = {resource::Kind::drain, engineRecord(0).id.value};
  drain.spec = resource::DrainSpec{};
  ClusterView view;
  view.applyDelta({0, 1, {protocol::ResourceChanged{drain}}});
  view.applyDelta({1,
                   2,
                   {protocol::EngineChanged{engineRecord(0)},
                    protocol::ReplicaChanged{replicaRecord(5, "m", 0)}}});
  CHECK_EQUAL(0U, view.readyReplicas(kServable).size());
  view.applyDelta({2, 3, {protocol::ResourceDeleted{drain.key}}});
  CHECK_EQUAL(1U, view.readyReplicas(kServable).size());
}

TEST(ClusterView, snapshotTakesEffectWithItsLastPage) {
  ClusterView view = makeView();
  view.takeChange();
  const protocol::WatchSnapshotPage first{9, 0, false, {modelChange("n", "v1")}};
  CHECK_TRUE(view.applyPage({1}, first) == ApplyResult::applied);
  CHECK_EQUAL(1U, view.index());
  CHECK_EQUAL(1U, view.readyReplicas(kServable).size());
  CHECK_FALSE(view.resolve("n").has_value());
  CHECK_TRUE(view.takeChange().targets.empty());
  const protocol::WatchSnapshotPage last{9,
                                         1,
                                         true,
                                         {protocol::EngineChanged{engineRecord(1)},
                                          protocol::ReplicaChanged{replicaRecord(7, "n", 1)}}};
  CHECK_TRUE(view.applyPage({1}, last) == ApplyResult::applied);
  CHECK_EQUAL(9U, view.index());
  CHECK_EQUAL(9U, view.namesIndex());
  CHECK_FALSE(view.resolve("m").has_value());
  CHECK_EQUAL(1U, view.readyReplicas({"n", "v1", ""}).size());
  const ViewChange change = view.takeChange();
  CHECK_TRUE(change.everything);
  CHECK_TRUE(change.targets.contains("n"));
  CHECK_TRUE(change.engines.contains(engineRecord(1).id));
}

TEST(ClusterView, pagesOfAnIncompleteSnapshotAreDropped) {
  ClusterView view = makeView();
  view.applyPage({1}, protocol::WatchSnapshotPage{9, 0, false, {modelChange("n", "v1")}});
  CHECK_TRUE(view.applyPage({1}, protocol::WatchSnapshotPage{9, 2, true, {}}) == ApplyResult::gap);
  CHECK_TRUE(view.applyPage({1}, protocol::WatchSnapshotPage{9, 1, true, {}}) == ApplyResult::gap);
  CHECK_TRUE(view.resolve("m").has_value());
  CHECK_FALSE(view.resolve("n").has_value());
}

TEST(ClusterView, changeOfAModelTouchesItsAdapters) {
  resource::Resource adapter;
  adapter.key = {resource::Kind::adapter, "a"};
  adapter.spec = resource::AdapterSpec{"m", "checkpoint", 1, 1};
  ClusterView view = makeView();
  view.applyDelta({1, 2, {protocol::ResourceChanged{adapter}}});
  view.takeChange();
  view.applyDelta({2, 3, {modelChange("m", "v2")}});
  CHECK_TRUE(view.takeChange().targets.contains("a"));
  CHECK_EQUAL("v2", view.resolve("a")->version);
}

namespace {

/// Reference model of readiness over plain records, without any incrementally updated lists.
struct ReferenceModel {
  std::map<base::EngineId, resource::Engine> engines;
  std::map<base::ReplicaId, resource::Replica> replicas;
  std::set<base::EngineId> drained;

  std::vector<base::ReplicaId> ready(const resource::Servable& servable) const {
    std::vector<base::ReplicaId> ids;
    for (const auto& [id, replica] : replicas) {
      const auto engine = engines.find(replica.engine);
      if (replica.servable == servable && replica.state == resource::ReplicaState::ready &&
          engine != engines.end() && engine->second.status == resource::EngineStatus::live &&
          engine->second.incarnation == replica.incarnation && !drained.contains(replica.engine)) {
        ids.push_back(id);
      }
    }
    return ids;
  }
};

constexpr std::size_t kRandomEngines = 4;
constexpr std::uint64_t kRandomReplicas = 12;

const std::vector<resource::Servable>& randomServables() {
  static const std::vector<resource::Servable> kServables{
      {"m", "v1", ""}, {"m", "v1", "a"}, {"m", "v1", "b"}, {"m", "v2", ""}, {"n", "v1", "a"}};
  return kServables;
}

protocol::Change randomEngineChange(base::Random& random, ReferenceModel& reference) {
  resource::Engine engine = engineRecord(random.uniform(0, kRandomEngines - 1));
  switch (random.uniform(0, 3)) {
    case 0:
      reference.engines.erase(engine.id);
      return protocol::EngineRemoved{engine.id};
    case 1: {
      resource::Resource drain;
      drain.key = {resource::Kind::drain, engine.id.value};
      drain.spec = resource::DrainSpec{};
      if (reference.drained.erase(engine.id) > 0) {
        return protocol::ResourceDeleted{drain.key};
      }
      reference.drained.insert(engine.id);
      return protocol::ResourceChanged{drain};
    }
    default:
      engine.incarnation = {random.uniform(1, 2)};
      engine.status = random.uniform(0, 3) == 0 ? resource::EngineStatus::leaving
                                                : resource::EngineStatus::live;
      reference.engines[engine.id] = engine;
      return protocol::EngineChanged{engine};
  }
}

protocol::Change randomReplicaChange(base::Random& random, ReferenceModel& reference) {
  const base::ReplicaId id{random.uniform(1, kRandomReplicas)};
  if (random.uniform(0, 3) == 0) {
    reference.replicas.erase(id);
    return protocol::ReplicaRemoved{id};
  }
  resource::Replica replica = replicaRecord(id.value, "m", random.uniform(0, kRandomEngines - 1));
  replica.servable = randomServables()[random.uniform(0, randomServables().size() - 1)];
  replica.incarnation = {random.uniform(1, 2)};
  replica.state =
      random.uniform(0, 2) == 0 ? resource::ReplicaState::unloading : resource::ReplicaState::ready;
  reference.replicas[id] = replica;
  return protocol::ReplicaChanged{replica};
}

}  // namespace

TEST(ClusterView, readyReplicasMatchTheReferenceModelUnderRandomChanges) {
  constexpr std::uint64_t kChanges = 20'000;
  base::Random random(20261202);
  ReferenceModel reference;
  ClusterView view;
  for (std::uint64_t index = 0; index < kChanges; ++index) {
    const bool ofEngine = random.uniform(0, 2) == 0;
    const protocol::Change change =
        ofEngine ? randomEngineChange(random, reference) : randomReplicaChange(random, reference);
    view.applyDelta({index, index + 1, {change}});
    for (const resource::Servable& servable : randomServables()) {
      std::vector<base::ReplicaId> ids;
      for (const ReadyReplica& replica : view.readyReplicas(servable)) {
        ids.push_back(replica.id);
        CHECK_TRUE(reference.replicas.at(replica.id).engine == replica.engine);
      }
      CHECK_TRUE(reference.ready(servable) == ids);
    }
  }
}
