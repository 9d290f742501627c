#include "control/cell_placement_rules.h"

#include <algorithm>
#include <string>
#include <utility>

namespace walnut::control {

namespace {

using base::Error;
using base::ErrorCode;
using resource::Kind;

/// Model of a resolved placement and the memory that it needs.
struct Target {
  const resource::ModelSpec* model = nullptr;
  std::uint64_t bytes = 0;
};

base::Result<Target> resolveServable(const CellContents& contents, const PlaceReplica& placement) {
  const resource::Servable& servable = placement.servable;
  const auto* model = contents.findSpec<resource::ModelSpec>(Kind::model, servable.model);
  if (model == nullptr) {
    return Error{ErrorCode::referenceMissing, "servable.model", "no such model"};
  }
  const auto* version =
      contents.findSpec<resource::ModelVersionSpec>(Kind::modelVersion, servable.version);
  if (version == nullptr || version->model != servable.model) {
    return Error{ErrorCode::referenceMissing, "servable.version", "no such version of the model"};
  }
  if (model->activeVersion != servable.version && !placement.previousVersion) {
    return Error{ErrorCode::versionConflict, "servable.version", "not the active version"};
  }
  if (servable.adapter.empty()) {
    return Target{model, version->acceleratorBytes};
  }
  const auto* adapter = contents.findSpec<resource::AdapterSpec>(Kind::adapter, servable.adapter);
  if (adapter == nullptr || adapter->model != servable.model) {
    return Error{ErrorCode::referenceMissing, "servable.adapter", "no such adapter of the model"};
  }
  return Target{model, adapter->acceleratorBytes};
}

bool inPool(const resource::Engine& engine, const resource::EnginePoolSpec& pool) {
  const bool zone = pool.zones.empty() || std::find(pool.zones.begin(), pool.zones.end(),
                                                    engine.zone.value) != pool.zones.end();
  return zone && (pool.machineClass.empty() || pool.machineClass == engine.machineClass);
}

base::Result<void> checkEngine(const CellContents& contents, const resource::ModelSpec& model,
                               const PlaceReplica& placement) {
  const auto found = contents.engines.find(placement.engine);
  if (found == contents.engines.end()) {
    return Error{ErrorCode::notFound, "engine", "no such engine"};
  }
  const resource::Engine& engine = found->second;
  const resource::Key drain{Kind::drain, engine.id.value};
  if (engine.status != resource::EngineStatus::live || contents.resources.contains(drain)) {
    return Error{ErrorCode::engineLeaving, "engine", "takes no new work"};
  }
  if (engine.incarnation.value == 0 || engine.incarnation != placement.incarnation) {
    return Error{ErrorCode::wrongIncarnation, "incarnation", "not the engine's present one"};
  }
  const auto* pool = contents.findSpec<resource::EnginePoolSpec>(Kind::enginePool, model.pool);
  if (pool != nullptr && !inPool(engine, *pool)) {
    return Error{ErrorCode::outOfRange, "engine", "not of the model's pool"};
  }
  if (placement.accelerator.value >= engine.acceleratorBytes.size()) {
    return Error{ErrorCode::outOfRange, "accelerator", "no such accelerator"};
  }
  return base::success();
}

/// Checks the rules that concern replicas already on the engine.
base::Result<void> checkPresentReplicas(const CellContents& contents, const CellLedger& ledger,
                                        const PlaceReplica& placement) {
  resource::Servable baseServable = placement.servable;
  baseServable.adapter.clear();
  bool baseReady = placement.servable.adapter.empty();
  for (const base::ReplicaId id : ledger.replicasOn(placement.engine)) {
    const resource::Replica& held = contents.replicas.at(id);
    const bool sameAccelerator = held.accelerator == placement.accelerator;
    const bool unloading = held.state == resource::ReplicaState::unloading;
    if (held.servable == placement.servable && (sameAccelerator || unloading)) {
      return Error{ErrorCode::alreadyExists, "servable", "held or being unloaded there"};
    }
    const bool ready = held.state == resource::ReplicaState::ready;
    baseReady = baseReady || (sameAccelerator && ready && held.servable == baseServable);
  }
  if (!baseReady) {
    return Error{ErrorCode::modelNotLoaded, "servable.adapter",
                 "its model is not ready on this accelerator"};
  }
  return base::success();
}

base::Result<void> checkLimits(const CellContents& contents, const CellLedger& ledger,
                               const resource::ModelSpec& model, const PlaceReplica& placement) {
  if (ledger.replicaCount(placement.servable) >= model.maxReplicas) {
    return Error{ErrorCode::noCapacity, "max_replicas",
                 "the limit is " + std::to_string(model.maxReplicas)};
  }
  const auto* budget =
      contents.findSpec<resource::CapacityBudgetSpec>(Kind::capacityBudget, model.budget);
  if (budget != nullptr && budget->acceleratorBytes != 0) {
    const std::uint64_t used = ledger.reservedBytesOfBudget(model.budget);
    const std::uint64_t free = budget->acceleratorBytes - std::min(used, budget->acceleratorBytes);
    if (placement.bytes > free) {
      return Error{ErrorCode::noCapacity, "budget", std::to_string(free) + " bytes are left"};
    }
  }
  const std::uint64_t memory =
      contents.engines.at(placement.engine).acceleratorBytes[placement.accelerator.value];
  const std::uint64_t reserved = ledger.reservedBytes(placement.engine, placement.accelerator);
  const std::uint64_t free = memory - std::min(reserved, memory);
  if (placement.bytes > free) {
    return Error{ErrorCode::insufficientMemory, "bytes", std::to_string(free) + " bytes are free"};
  }
  return base::success();
}

base::Result<void> check(const CellContents& contents, const CellLedger& ledger,
                         const PlaceReplica& placement) {
  BOOST_OUTCOME_TRY(target, resolveServable(contents, placement));
  BOOST_OUTCOME_TRYV(checkEngine(contents, *target.model, placement));
  if (placement.bytes != target.bytes) {
    return Error{ErrorCode::outOfRange, "bytes", "not the accelerator bytes of the spec"};
  }
  BOOST_OUTCOME_TRYV(checkPresentReplicas(contents, ledger, placement));
  return checkLimits(contents, ledger, *target.model, placement);
}

}  // namespace

std::optional<base::Error> checkPlacement(const CellContents& contents, const CellLedger& ledger,
                                          const PlaceReplica& placement) {
  const base::Result<void> checked = check(contents, ledger, placement);
  return checked.has_error() ? std::optional<base::Error>(checked.error()) : std::nullopt;
}

}  // namespace walnut::control
