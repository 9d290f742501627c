#pragma once
/// @file
/// Commands of the replicated state machine. Each one is an entry of the cell's log.

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
  std::string requestId;  ///< Operator's; a resend gets the first answer. Never empty.
  /// Absent: unconditional. 0: must not exist. Else: must be the current version.
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

/// Adds an engine or replaces what is known of it. A new incarnation removes the replicas of the
/// former one and frees their memory.
struct RegisterEngine {
  resource::Engine engine;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(engine);
  }
};

/// The machine is known gone: the engine and its replicas are removed.
struct RemoveEngine {
  base::EngineId engine;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(engine);
  }
};

/// Decides a replica. Refused by the state machine if the memory or the replica limit does not
/// allow it at the time it is applied, so that no interleaving overcommits.
struct PlaceReplica {
  resource::Servable servable;
  base::EngineId engine;
  base::Incarnation incarnation;
  base::AcceleratorIndex accelerator;
  std::uint64_t bytes = 0;
  /// For streams that began with a version that is no longer the active one.
  bool formerVersion = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(servable, engine, incarnation, accelerator, bytes, formerVersion);
  }
};

/// The engine reported the replica as ready.
struct MarkReplicaReady {
  base::ReplicaId replica;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(replica);
  }
};

/// Decides that a replica is to be unloaded. Routers stop using it when they learn of it.
struct BeginUnload {
  base::ReplicaId replica;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(replica);
  }
};

/// The engine confirmed, under a token of the present leader's term, that it doesn't hold it.
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
  base::TimePoint issuedAt;  ///< Caller's time of first issue.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, request, issuedAt);
  }
};

/// Several claims in one entry, so that one sync carries them all.
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
  duplicate = 1,    ///< Claimed by another request: it may have run.
  expired = 2,      ///< Issued before the claim window: not run.
  unavailable = 3,  ///< No leader could be asked: not run by this request.
};

/// Outcome of PutResource or DeleteResource.
struct WriteOutcome {
  std::optional<base::Error> error;
  resource::Version version = 0;         ///< Of the change, when there is no error.
  resource::Version currentVersion = 0;  ///< Of the resource, with versionConflict.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(error, version, currentVersion);
  }
};

}  // namespace walnut::control
