#pragma once
/// @file
/// Resources that operators declare, and the engines and replicas that the cell derives from them.

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "walnut/base/ids.h"
#include "walnut/base/time.h"

namespace walnut::resource {

/// Version of the cell's state: the log index of the change that produced it. Versions only grow.
using Version = std::uint64_t;

enum class Kind : std::uint8_t {
  model = 0,
  modelVersion = 1,
  adapter = 2,
  capacityBudget = 3,
  enginePool = 4,
  drain = 5,  ///< Carries the name of the engine that is to be drained.
};

/// A model that callers request by name. It is served at `activeVersion`.
struct ModelSpec {
  std::string activeVersion;  ///< Name of a ModelVersion; empty: the model is declared, not served.
  std::string pool;           ///< Name of an EnginePool; empty: any engine.
  std::string budget;         ///< Name of a CapacityBudget; empty: the default budget.
  std::uint32_t minReplicas = 0;
  std::uint32_t maxReplicas = 1;
  bool operator==(const ModelSpec&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(activeVersion, pool, budget, minReplicas, maxReplicas);
  }
};

/// Immutable weights of a model.
struct ModelVersionSpec {
  std::string model;
  std::string checkpoint;              ///< Key in the weight store.
  std::uint64_t checkpointBytes = 0;   ///< Bytes read when loading from the store.
  std::uint64_t acceleratorBytes = 0;  ///< Reserved memory of one accelerator, KV cache included.
  bool operator==(const ModelVersionSpec&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(model, checkpoint, checkpointBytes, acceleratorBytes);
  }
};

/// Small additional weights that are applied to a model; callers name the adapter in place of the
/// model.
struct AdapterSpec {
  std::string model;
  std::string checkpoint;
  std::uint64_t checkpointBytes = 0;
  std::uint64_t acceleratorBytes = 0;
  bool operator==(const AdapterSpec&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(model, checkpoint, checkpointBytes, acceleratorBytes);
  }
};

/// Policy for when an idle replica is unloaded and when a model is loaded ahead of requests.
enum class KeepAlive : std::uint8_t {
  idleTimeout = 0,  ///< Unloaded after a fixed idle time.
  learned = 1,      ///< Follows the idle gaps observed for each model and adapter.
  resident = 2,     ///< Kept, and loaded ahead into free memory, until the memory is needed.
};

/// Limits of the accelerator memory and idle time that may be spent on the models that name this
/// budget.
struct CapacityBudgetSpec {
  std::uint64_t acceleratorBytes = 0;     ///< Limit for all its models together; 0: no limit.
  std::uint32_t idleUnloadSeconds = 600;  ///< A replica idle for this long may be unloaded.
  /// Weight of cold-start time against idle accelerator hours. 0: only idle hours count; 100: only
  /// cold-start time counts.
  std::uint32_t coldStartWeight = 50;
  KeepAlive keepAlive = KeepAlive::idleTimeout;
  /// With `learned`: how many seconds one whole accelerator may idle to save a request one second
  /// of cold start.
  std::uint32_t idleSecondsPerColdSecond = 60;
  /// With `learned`: a cold start that takes longer than this counts more, by the ratio of its
  /// duration to the target; 0: all cold-start seconds count the same.
  std::uint32_t coldStartTargetSeconds = 0;
  bool operator==(const CapacityBudgetSpec&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(acceleratorBytes, idleUnloadSeconds, coldStartWeight, keepAlive,
            idleSecondsPerColdSecond, coldStartTargetSeconds);
  }
};

/// A named set of engines, and the limits of the weight store that they load from.
struct EnginePoolSpec {
  std::vector<std::string> zones;  ///< The pool has the engines of these zones; empty: all zones.
  std::string machineClass;        ///< Machine class as in the platform list; empty: any.
  std::uint32_t maxConcurrentLoads = 8;
  double loadsPerSecond = 2.0;
  bool operator==(const EnginePoolSpec&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(zones, machineClass, maxConcurrentLoads, loadsPerSecond);
  }
};

/// An operator's request to drain the engine that has the resource's name.
struct DrainSpec {
  std::string reason;
  bool operator==(const DrainSpec&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(reason);
  }
};

/// Specification of a resource of any kind. The alternatives are in the order of Kind.
using Spec = std::variant<ModelSpec, ModelVersionSpec, AdapterSpec, CapacityBudgetSpec,
                          EnginePoolSpec, DrainSpec>;

/// Identifies a resource within a cell.
struct Key {
  Kind kind = Kind::model;
  std::string name;
  auto operator<=>(const Key&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, name);
  }
};

/// A declared resource. `spec.index()` equals `key.kind`.
struct Resource {
  Key key;
  Version version = 0;  ///< Version of its last change; set by the cell.
  Spec spec;
  bool operator==(const Resource&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, version, spec);
  }
};

/// The unit that an engine loads and unloads: a model version, or an adapter for one.
struct Servable {
  std::string model;
  std::string version;
  std::string adapter;  ///< Empty: the model itself.
  auto operator<=>(const Servable&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(model, version, adapter);
  }
};

/// Lifecycle of a replica in the cell's state. Transitions, each a committed log entry:
///   reserved -> ready (engine reported it) -> unloading -> (removed: engine confirmed, or dead)
///   reserved -> unloading (abandoned)       reserved | ready -> (removed: incarnation dead)
/// Memory is reserved in every state; only removal frees it.
enum class ReplicaState : std::uint8_t { reserved = 0, ready = 1, unloading = 2 };

struct Replica {
  base::ReplicaId id;
  Servable servable;
  base::EngineId engine;
  base::Incarnation incarnation;
  base::AcceleratorIndex accelerator;
  std::uint64_t bytes = 0;
  ReplicaState state = ReplicaState::reserved;
  base::TimePoint since;  ///< Time of the last transition.
  bool operator==(const Replica&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, servable, engine, incarnation, accelerator, bytes, state, since);
  }
};

/// Whether an engine takes work. live: takes new work. leaving: takes no new work and is unloaded
/// when idle. An engine is removed from the state once its machine is known to be gone.
enum class EngineStatus : std::uint8_t { live = 0, leaving = 1 };

/// One engine as recorded in the cell's state.
struct Engine {
  base::EngineId id;
  base::Endpoint endpoint;
  base::ZoneId zone;
  std::string machineClass;
  base::Incarnation incarnation;  ///< Zero until the engine's first report.
  EngineStatus status = EngineStatus::live;
  std::optional<base::TimePoint> reclaimAt;     ///< End of a reclaimed machine's grace period.
  std::vector<std::uint64_t> acceleratorBytes;  ///< Memory of each accelerator.
  bool operator==(const Engine&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, endpoint, zone, machineClass, incarnation, status, reclaimAt, acceleratorBytes);
  }
};

}  // namespace walnut::resource
