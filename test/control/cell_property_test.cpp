/// @file
/// Property test with random commands. After each command the invariants of CellState hold and the
/// sums agree with scans; a watcher that follows the history sees the same state, and a twin that
/// applies the same log or starts from a snapshot is identical byte for byte.

#include <algorithm>

#include "control/cell_fixture.h"
#include "walnut/base/random.h"

// Must be included last: its macro for `new` breaks the headers of the library.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::control;
using resource::Kind;

namespace {

constexpr std::size_t kSeeds = 40;
constexpr std::size_t kCommands = 1000;

/// State that a router or an operator builds from the changes.
struct Watcher {
  consensus::LogIndex index = 0;
  consensus::Membership membership;
  std::map<resource::Key, resource::Resource> resources;
  std::map<base::EngineId, resource::Engine> engines;
  std::map<base::ReplicaId, resource::Replica> replicas;

  void operator()(const protocol::ResourceChanged& change) {
    resources[change.resource.key] = change.resource;
  }
  void operator()(const protocol::ResourceDeleted& change) { resources.erase(change.key); }
  void operator()(const protocol::EngineChanged& change) {
    engines[change.engine.id] = change.engine;
  }
  void operator()(const protocol::EngineRemoved& change) { engines.erase(change.engine); }
  void operator()(const protocol::ReplicaChanged& change) {
    replicas[change.replica.id] = change.replica;
  }
  void operator()(const protocol::ReplicaRemoved& change) { replicas.erase(change.replica); }
  void operator()(const protocol::MembershipChanged& change) { membership = change.membership; }

  void follow(const CellState& state) {
    auto changes = state.history().since(index);
    if (!changes) {
      *this = Watcher{};
      changes = state.wholeState();
    }
    for (const protocol::Change& change : *changes) {
      std::visit([this](const auto& body) { (*this)(body); }, change);
    }
    index = state.appliedIndex();
  }
};

/// Draws random commands that use only a few names, so that they affect each other.
class CommandSource {
 public:
  CommandSource(base::Random& random, const CellState& state) : random_(random), state_(state) {}

  CommandBody draw() {
    switch (random_.uniform(0, 19)) {
      case 0:
        return drawPut();
      case 1:
        return DeleteResource{requestId(), expected(), drawKey()};
      case 2:
        return RegisterEngine{drawEngine()};
      case 3:
        return random_.chance(0.2) ? CommandBody(RemoveEngine{engineId()})
                                   : RegisterEngine{drawEngine()};
      case 4:
        return ClaimKeys{{drawClaim(), drawClaim()}};
      case 5:
      case 6:
      case 7:
        return MarkReplicaReady{replicaId()};
      case 8:
      case 9:
        return BeginUnload{replicaId()};
      case 10:
      case 11:
      case 12:
        return ReleaseReplica{replicaId()};
      default:
        return drawPlacement();
    }
  }

 private:
  std::string numbered(const char* prefix, std::uint64_t max) {
    return prefix + std::to_string(random_.uniform(1, max));
  }
  std::string requestId() { return numbered("request", 300); }
  base::EngineId engineId() { return {numbered("e", 3)}; }
  std::optional<resource::Version> expected() {
    return random_.chance(0.9) ? std::nullopt : std::optional(random_.uniform(0, 50));
  }
  base::ReplicaId replicaId() {
    if (state_.replicas().empty() || random_.chance(0.05)) {
      return {random_.uniform(0, 100)};
    }
    auto replica = state_.replicas().begin();
    std::advance(replica, random_.uniform(0, state_.replicas().size() - 1));
    return replica->first;
  }
  resource::Key drawKey() {
    static const char* const kPrefixes[] = {"m", "m1v", "a", "b", "p", "e"};
    const auto kind = static_cast<Kind>(random_.uniform(0, random_.chance(0.2) ? 5 : 4));
    return {kind, numbered(kPrefixes[static_cast<std::size_t>(kind)], 2)};
  }
  resource::Spec drawSpec(Kind kind) {
    resource::ModelSpec model = modelSpec(random_.chance(0.2) ? "" : numbered("m1v", 2),
                                          static_cast<std::uint32_t>(random_.uniform(0, 3)));
    resource::AdapterSpec adapter = adapterSpec("m1");
    resource::CapacityBudgetSpec budget;
    resource::EnginePoolSpec pool;
    switch (kind) {
      case Kind::model:
        model.budget = random_.chance(0.5) ? "" : numbered("b", 2);
        model.pool = random_.chance(0.8) ? "" : numbered("p", 2);
        return model;
      case Kind::modelVersion:
        return versionSpec("m1");
      case Kind::adapter:
        adapter.acceleratorBytes += random_.uniform(0, 1);
        return adapter;
      case Kind::capacityBudget:
        budget.acceleratorBytes = random_.uniform(0, 4) * kModelBytes;
        return budget;
      case Kind::enginePool:
        pool.zones = {random_.chance(0.5) ? "zone-a" : "zone-b"};
        return pool;
      case Kind::drain:
        break;
    }
    return resource::DrainSpec{};
  }
  PutResource drawPut() {
    const resource::Key key = drawKey();
    return {requestId(), expected(), {key, 0, drawSpec(key.kind)}};
  }
  resource::Engine drawEngine() {
    resource::Engine engine = engineOf(engineId().value);
    const bool sameIncarnation = random_.chance(0.8);
    const auto known = state_.engines().find(engine.id);
    if (known != state_.engines().end()) {
      engine.incarnation.value = known->second.incarnation.value + (sameIncarnation ? 0 : 1);
    }
    const bool leaving = random_.chance(0.1);
    engine.status = leaving ? resource::EngineStatus::leaving : resource::EngineStatus::live;
    engine.acceleratorBytes[0] = random_.uniform(30, 140);
    return engine;
  }
  PlaceReplica drawPlacement() {
    const std::string adapter = random_.chance(0.4) ? numbered("a", 2) : "";
    const auto* model = state_.findModel("m1");
    const auto* spec = state_.findAdapter(adapter);
    PlaceReplica placement =
        placementOf({"m1", model == nullptr ? "m1v1" : model->activeVersion, adapter},
                    engineId().value, static_cast<std::uint32_t>(random_.uniform(0, 1)));
    placement.bytes = spec == nullptr ? placement.bytes : spec->acceleratorBytes;
    const auto engine = state_.engines().find(placement.engine);
    if (engine != state_.engines().end()) {
      placement.incarnation = engine->second.incarnation;
    }
    return placement;
  }
  ClaimKey drawClaim() {
    const base::Duration age = random_.between(base::Duration{0}, std::chrono::seconds(20));
    return {numbered("key", 20), {numbered("r", 100)}, state_.time() - age};
  }

  base::Random& random_;
  const CellState& state_;
};

std::uint64_t budgetBytes(const CellState& state, const std::string& budget) {
  std::uint64_t bytes = 0;
  for (const auto& [id, replica] : state.replicas()) {
    const auto* model = state.findModel(replica.servable.model);
    bytes += model != nullptr && model->budget == budget ? replica.bytes : 0;
  }
  return bytes;
}

/// Checks the invariants stated in the header by scanning the replicas.
void checkInvariants(const CellState& state) {
  std::map<std::pair<base::EngineId, base::AcceleratorIndex>, std::uint64_t> reserved;
  std::map<resource::Servable, std::size_t> counts;
  for (const auto& [id, replica] : state.replicas()) {
    CHECK_TRUE(replica.incarnation == state.engines().at(replica.engine).incarnation);
    reserved[{replica.engine, replica.accelerator}] += replica.bytes;
    ++counts[replica.servable];
  }
  for (const auto& [id, engine] : state.engines()) {
    for (std::uint32_t index = 0; index < engine.acceleratorBytes.size(); ++index) {
      const std::uint64_t held = reserved[{id, {index}}];
      CHECK_TRUE(held <= engine.acceleratorBytes[index]);
      CHECK_EQUAL(engine.acceleratorBytes[index] - held, state.freeBytes(id, {index}));
    }
  }
  for (const auto& [servable, count] : counts) {
    CHECK_EQUAL(count, state.replicaCount(servable));
  }
}

/// Checks that every adapter in use has its model ready on the same accelerator.
void checkAdapters(const CellState& state) {
  for (const auto& [id, adapter] : state.replicas()) {
    const bool inUse = adapter.state != resource::ReplicaState::unloading;
    if (adapter.servable.adapter.empty() || !inUse) {
      continue;
    }
    const auto isItsModel = [&adapter = adapter](const auto& entry) {
      const resource::Replica& other = entry.second;
      return other.servable ==
                 resource::Servable{adapter.servable.model, adapter.servable.version, ""} &&
             other.engine == adapter.engine && other.accelerator == adapter.accelerator &&
             other.state == resource::ReplicaState::ready;
    };
    CHECK_EQUAL(1, std::count_if(state.replicas().begin(), state.replicas().end(), isItsModel));
  }
}

/// Checks the limits that apply to an accepted placement.
void checkPlaced(const CellState& state, const PlaceReplica& placement) {
  const resource::ModelSpec& model = *state.findModel(placement.servable.model);
  CHECK_TRUE(model.activeVersion == placement.servable.version);
  CHECK_TRUE(state.replicaCount(placement.servable) <= model.maxReplicas);
  CHECK_FALSE(state.drained(placement.engine));
  const std::uint64_t budget = state.budgetOf(model).acceleratorBytes;
  CHECK_TRUE(budget == 0 || budgetBytes(state, model.budget) <= budget);
  const auto sameThere = [&](const auto& entry) {
    return entry.second.servable == placement.servable && entry.second.engine == placement.engine &&
           entry.second.accelerator == placement.accelerator;
  };
  CHECK_EQUAL(1, std::count_if(state.replicas().begin(), state.replicas().end(), sameThere));
}

/// Checks that every referenced resource exists.
void checkReferencesHold(const CellState& state) {
  for (const auto& [key, declared] : state.resources()) {
    if (const auto* model = std::get_if<resource::ModelSpec>(&declared.spec)) {
      const auto* version = state.findModelVersion(model->activeVersion);
      CHECK_TRUE(model->activeVersion.empty() || version->model == key.name);
    } else if (const auto* adapter = std::get_if<resource::AdapterSpec>(&declared.spec)) {
      CHECK_TRUE(state.findModel(adapter->model) != nullptr);
    }
  }
}

ControllerOptions smallOptions() {
  ControllerOptions options;
  options.claimWindow = std::chrono::seconds(10);
  options.claimClockSkew = std::chrono::seconds(1);
  options.maxWatchChanges = 16;
  options.maxRequestAnswers = 50;
  return options;
}

/// One run with random commands.
class Run {
 public:
  explicit Run(std::uint64_t seed) : random_(seed) {}

  std::size_t run() {
    consensus::LogIndex index = 0;
    for (const auto& declared : {declare(Kind::model, "m1", modelSpec("")),
                                 declare(Kind::modelVersion, "m1v1", versionSpec("m1")),
                                 declare(Kind::modelVersion, "m1v2", versionSpec("m1")),
                                 declare(Kind::model, "m1", modelSpec("m1v1")),
                                 declare(Kind::adapter, "a1", adapterSpec("m1"))}) {
      ++index;
      step(index, PutResource{"first-" + std::to_string(index), {}, declared});
    }
    while (index < kCommands) {
      step(++index, CommandSource(random_, state_).draw());
    }
    return placed_;
  }

 private:
  void step(consensus::LogIndex index, CommandBody body) {
    // The clock of another leader may be behind this one.
    const auto change = random_.uniform(0, 1'500'000);
    const base::TimePoint time =
        state_.time() + base::Duration(static_cast<std::int64_t>(change) - 500'000);
    const Command command{time, std::move(body)};
    const base::TimePoint timeBefore = state_.time();
    const auto before = state_.wholeState().size();
    const ApplyResult result = state_.apply(index, command);
    twin_.apply(index, command);
    CHECK_TRUE(state_.time() >= timeBefore);
    if (result.refusal || (result.write && result.write->error)) {
      CHECK_EQUAL(0U, state_.history().since(index - 1)->size());
      CHECK_EQUAL(before, state_.wholeState().size());
    } else if (const auto* placement = std::get_if<PlaceReplica>(&command.body)) {
      checkPlaced(state_, *placement);
      ++placed_;
    }
    checkInvariants(state_);
    checkReferencesHold(state_);
    checkAdapters(state_);
    if (random_.chance(0.1)) {
      watcher_.follow(state_);
      CHECK_TRUE(watcher_.resources == state_.resources());
      CHECK_TRUE(watcher_.engines == state_.engines());
      CHECK_TRUE(watcher_.replicas == state_.replicas());
    }
    if (random_.chance(0.02)) {
      checkTwin();
    }
  }

  /// Compares the twin and replaces it by one restored from the snapshot.
  void checkTwin() {
    const std::string snapshot = state_.encodeSnapshot();
    CHECK_TRUE(twin_.encodeSnapshot() == snapshot);
    CellState fresh(smallOptions());
    CHECK_TRUE(fresh.restoreSnapshot(snapshot).has_value());
    CHECK_TRUE(fresh.encodeSnapshot() == snapshot);
    twin_ = std::move(fresh);
  }

  base::Random random_;
  CellState state_{smallOptions()};
  CellState twin_{smallOptions()};
  Watcher watcher_;
  std::size_t placed_ = 0;
};

}  // namespace

TEST_GROUP(CellProperty){};

TEST(CellProperty, randomCommandsKeepTheInvariants) {
  std::size_t placed = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    placed += Run(seed).run();
  }
  CHECK_TRUE_TEXT(placed > 10 * kSeeds, "the commands must reach placements");
}
