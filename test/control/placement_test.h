#pragma once
/// @file
/// Test fixture with a placement policy on a small cell. Must be included last.

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "control/cell_fixture.h"
#include "control/placement_policy.h"

// Must be included last: it redefines `new`.
#include <CppUTest/TestHarness.h>

namespace walnut::control {

inline const resource::Servable kModel{"m", "v1", ""};
inline const resource::Servable kAdapter{"m", "v1", "a"};
inline constexpr std::int64_t kNow = 2000;

/// @return demand of `count` waiting interactive requests.
inline TotalDemand waiting(std::uint32_t count, std::int64_t deadline = kNow + 30) {
  TotalDemand demand;
  demand.waitingInteractive = count;
  demand.earliestDeadline = atSecond(deadline);
  demand.lastArrival = atSecond(kNow);
  return demand;
}

/// Engines e1 and e2 with two accelerators of 100 bytes each; model m takes 40 bytes, adapter a 5.
struct PlacementTest : Utest {
  TestCell cell;
  ControllerOptions options;
  std::uint64_t nextCall = 1;
  std::vector<ControllerAction> actions;
  EngineMonitor monitor{options, 1, nextCall, actions};
  LedgerIndex ledger;
  UsageTracker usage{atSecond(0)};
  PlacementPolicy policy;
  std::map<DemandTarget, TotalDemand> demand;
  std::set<AcceleratorPlace> unledgered;
  ReplicaIds changing;
  std::int64_t second = kNow;
  bool routersReported = true;

  void setup() override {
    cell.declareAll();
    for (const char* name : {"e1", "e2"}) {
      report(name, engine::Report{});
    }
  }

  /// Makes the engine answer with this report.
  void report(const std::string& name, engine::Report report) {
    report.incarnation.value = kFirstIncarnation;
    const base::EngineId id{name};
    monitor.forget(id);
    monitor.track(atSecond(second), id, {"127.0.0.1", 9000});
    actions.clear();
    monitor.tick(atSecond(second), true);
    for (const ControllerAction& action : actions) {
      const auto& call = std::get<EngineCall>(action);
      if (call.engine == id) {
        monitor.callFinished(atSecond(second), {call.call, engine::CallResult(report)});
      }
    }
  }

  std::set<std::string> allModels() {
    std::set<std::string> models;
    for (const auto& [key, declared] : cell.state.resources()) {
      if (key.kind == resource::Kind::model) {
        models.insert(key.name);
      }
    }
    return models;
  }
  /// Runs the policy for all models and applies the decisions.
  std::vector<CommandBody> decide() {
    ledger.rebuild(cell.state);
    const PlacementInput input{atSecond(second), cell.state, ledger,         monitor, demand, usage,
                               unledgered,       changing,   routersReported};
    std::vector<CommandBody> decisions = policy.decide(input, allModels(), usage);
    for (const CommandBody& decision : decisions) {
      const auto applied = cell.apply(decision);
      CHECK_FALSE(applied.refusal.has_value());
    }
    return decisions;
  }
  std::size_t places(const std::vector<CommandBody>& decisions) {
    return static_cast<std::size_t>(std::count_if(
        decisions.begin(), decisions.end(),
        [](const CommandBody& body) { return std::holds_alternative<PlaceReplica>(body); }));
  }
  std::size_t unloads(const std::vector<CommandBody>& decisions) {
    return decisions.size() - places(decisions);
  }
  /// Declares a model with an active version that needs `bytes`.
  resource::Servable addModel(const std::string& name, std::uint64_t bytes,
                              const std::string& budget = "") {
    const std::string version = name + "-v1";
    cell.put(declare(resource::Kind::model, name, modelSpec("")));
    resource::ModelVersionSpec spec{name, "weights-" + name, 30, bytes};
    cell.put(declare(resource::Kind::modelVersion, version, spec));
    resource::ModelSpec model = modelSpec(version, 1);
    model.budget = budget;
    cell.put(declare(resource::Kind::model, name, model));
    return {name, version, ""};
  }
  void addBudget(const std::string& name, std::uint32_t weight, std::uint64_t bytes = 0) {
    resource::CapacityBudgetSpec spec;
    spec.coldStartWeight = weight;
    spec.acceleratorBytes = bytes;
    spec.idleUnloadSeconds = 60;
    cell.put(declare(resource::Kind::capacityBudget, name, spec));
  }
  /// Places a replica and marks it as ready.
  base::ReplicaId hold(const resource::Servable& servable, const std::string& engine,
                       std::uint32_t accelerator, std::uint64_t bytes) {
    PlaceReplica placement = placementOf(servable, engine, accelerator);
    placement.bytes = bytes;
    const base::ReplicaId id = cell.place(placement);
    CHECK_TRUE(id.value != 0);
    cell.apply(MarkReplicaReady{id});
    return id;
  }
  /// Fills all four accelerators with idle models x0 .. x3 of 90 bytes each, last used at these
  /// seconds.
  std::vector<base::ReplicaId> fill(const std::vector<std::int64_t>& usedAt,
                                    const std::vector<std::string>& budgets) {
    std::vector<base::ReplicaId> ids;
    for (std::uint32_t number = 0; number < 4; ++number) {
      const std::string name = "x" + std::to_string(number);
      const auto servable = addModel(name, 90, budgets[number]);
      ids.push_back(hold(servable, number < 2 ? "e1" : "e2", number % 2, 90));
      usage.recordUse(atSecond(usedAt[number]), {name, ""});
      usage.recordFullUse(atSecond(usedAt[number]), servable);
    }
    return ids;
  }
  bool unloadsOnly(const std::vector<CommandBody>& decisions, base::ReplicaId id) {
    return decisions.size() == 1 && std::holds_alternative<BeginUnload>(decisions.front()) &&
           std::get<BeginUnload>(decisions.front()).replica == id;
  }
};

}  // namespace walnut::control
