#pragma once
/// @file
/// Commands of the replicated state machine. Each command is an entry of the cell's log.

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <string>
#include <variant>

#include "walnut/base/error.h"
#include "walnut/base/ids.h"
#include "walnut/base/time.h"
#include "walnut/resource/types.h"

namespace walnut::control {

/// Creates or replaces a resource.
struct PutResource {
  /// Id chosen by the operator, never empty. A resent request gets the first answer.
  std::string requestId;
  /// Version that the resource must have. 0: the resource must not exist; absent: the write is
  /// unconditional.
  std::optional<resource::Version> expectedVersion;
  resource::Resource resource;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(requestId, expectedVersion, resource);
  }
};

struct DeleteResource {
  std::string requestId;
  std::optional<resource::Version> expectedVersion;
  resource::Key key;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(requestId, expectedVersion, key);
  }
};

/// Adds an engine or replaces its record. A new incarnation removes the replicas of the previous
/// one and frees their memory.
struct RegisterEngine {
  resource::Engine engine;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(engine);
  }
};

/// Removes the engine and its replicas after its machine is known to be gone.
struct RemoveEngine {
  base::EngineId engine;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(engine);
  }
};

/// Places a replica. The state machine refuses it if the memory or the replica limit does not allow
/// it at the time it is applied, so that no order of commands overcommits memory.
struct PlaceReplica {
  resource::Servable servable;
  base::EngineId engine;
  base::Incarnation incarnation;
  base::AcceleratorIndex accelerator;
  std::uint64_t bytes = 0;
  /// True if the replica is for streams that began with a version that is no longer the active one.
  bool previousVersion = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(servable, engine, incarnation, accelerator, bytes, previousVersion);
  }
};

/// Marks the replica as ready after the engine reported it.
struct MarkReplicaReady {
  base::ReplicaId replica;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(replica);
  }
};

/// Begins to unload a replica. Routers stop using it when they learn of it.
struct BeginUnload {
  base::ReplicaId replica;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(replica);
  }
};

/// Releases the memory of a replica after the engine confirmed, under a token of the current
/// leader's term, that it does not hold it.
struct ReleaseReplica {
  base::ReplicaId replica;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(replica);
  }
};

/// Claims an idempotency key for a request that may not be repeated.
struct ClaimKey {
  std::string key;
  base::RequestId request;   ///< A repeated claim by the same request is granted again.
  base::TimePoint issuedAt;  ///< Time of first issue by the caller's clock.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, request, issuedAt);
  }
};

/// Claims several keys in one log entry, so that one sync covers them all.
struct ClaimKeys {
  std::vector<ClaimKey> claims;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(claims);
  }
};

using CommandBody =
    std::variant<PutResource, DeleteResource, RegisterEngine, RemoveEngine, PlaceReplica,
                 MarkReplicaReady, BeginUnload, ReleaseReplica, ClaimKeys>;

/// A command with the leader's time; the state machine's time is the greatest it has seen.
struct Command {
  base::TimePoint time;
  CommandBody body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(time, body);
  }
};

/// Outcome of a claim.
enum class ClaimOutcome : std::uint8_t {
  granted = 0,
  duplicate = 1,    ///< Claimed by another request, which may have run.
  expired = 2,      ///< Issued before the claim window; the request was not run.
  unavailable = 3,  ///< No leader was reachable; the request was not run.
};

/// Outcome of PutResource or DeleteResource.
struct WriteOutcome {
  std::optional<base::Error> error;
  resource::Version version = 0;         ///< Version of the change, if there is no error.
  resource::Version currentVersion = 0;  ///< Current version of the resource, with versionConflict.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(error, version, currentVersion);
  }
};

}  // namespace walnut::control
