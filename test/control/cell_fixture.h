#pragma once
/// @file
/// Test fixture with a small cell: names, specs and commands with typical values.

#include <string>
#include <utility>
#include <vector>

#include "control/cell_state.h"

namespace walnut::control {

constexpr std::uint64_t kMemory = 100;      ///< Memory of each accelerator.
constexpr std::uint64_t kModelBytes = 40;   ///< Memory of a model version.
constexpr std::uint64_t kAdapterBytes = 5;  ///< Memory of an adapter.
constexpr std::uint32_t kAccelerators = 2;  ///< Number of accelerators of an engine.
constexpr std::uint64_t kFirstIncarnation = 7;

inline base::TimePoint atSecond(std::int64_t second) {
  return base::TimePoint(std::chrono::seconds(second));
}

inline resource::Resource declare(resource::Kind kind, std::string name, resource::Spec spec) {
  return {{kind, std::move(name)}, 0, std::move(spec)};
}

inline resource::ModelSpec modelSpec(std::string activeVersion, std::uint32_t maxReplicas = 2) {
  resource::ModelSpec spec;
  spec.activeVersion = std::move(activeVersion);
  spec.maxReplicas = maxReplicas;
  return spec;
}

inline resource::ModelVersionSpec versionSpec(std::string model) {
  return {std::move(model), "weights", 30, kModelBytes};
}

inline resource::AdapterSpec adapterSpec(std::string model) {
  return {std::move(model), "adapter-weights", 3, kAdapterBytes};
}

inline resource::Engine engineOf(std::string name, std::uint64_t incarnation = kFirstIncarnation) {
  resource::Engine engine;
  engine.id.value = std::move(name);
  engine.endpoint = {"127.0.0.1", 9000};
  engine.zone.value = "zone-a";
  engine.machineClass = "standard";
  engine.incarnation.value = incarnation;
  engine.acceleratorBytes.assign(kAccelerators, kMemory);
  return engine;
}

inline PlaceReplica placementOf(resource::Servable servable, std::string engine,
                                std::uint32_t accelerator = 0) {
  const std::uint64_t bytes = servable.adapter.empty() ? kModelBytes : kAdapterBytes;
  return {std::move(servable), {std::move(engine)}, {kFirstIncarnation}, {accelerator}, bytes};
}

/// A cell state together with its last log index and its time.
class TestCell {
 public:
  explicit TestCell(ControllerOptions options = {}) : state(options) {}

  ApplyResult apply(CommandBody body) {
    return state.apply(++index, Command{now, std::move(body)});
  }
  WriteOutcome put(resource::Resource declared,
                   std::optional<resource::Version> expected = std::nullopt) {
    return *apply(PutResource{nextRequestId(), expected, std::move(declared)}).write;
  }
  WriteOutcome erase(resource::Kind kind, std::string name,
                     std::optional<resource::Version> expected = std::nullopt) {
    return *apply(DeleteResource{nextRequestId(), expected, {kind, std::move(name)}}).write;
  }
  /// @return the id of the new replica; zero if the placement was refused.
  base::ReplicaId place(const PlaceReplica& placement) {
    return base::ReplicaId{apply(placement).refusal ? 0 : index};
  }
  std::string nextRequestId() { return "request-" + std::to_string(++requests); }

  /// Declares model `m` with the versions `v1` (active) and `v2`, adapter `a`, and engines `e1` and
  /// `e2`.
  void declareAll() {
    put(declare(resource::Kind::model, "m", modelSpec("")));
    put(declare(resource::Kind::modelVersion, "v1", versionSpec("m")));
    put(declare(resource::Kind::modelVersion, "v2", versionSpec("m")));
    put(declare(resource::Kind::model, "m", modelSpec("v1")));
    put(declare(resource::Kind::adapter, "a", adapterSpec("m")));
    apply(RegisterEngine{engineOf("e1")});
    apply(RegisterEngine{engineOf("e2")});
  }

  CellState state;
  consensus::LogIndex index = 0;
  base::TimePoint now = atSecond(1000);
  std::uint64_t requests = 0;
};

}  // namespace walnut::control
