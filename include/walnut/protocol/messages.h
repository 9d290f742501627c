#pragma once
/// @file
/// Messages between the system's own processes. Encoded with cereal in length-prefixed frames.
/// Alternatives of `Message` are part of the protocol: append only.

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/base/ids.h"
#include "walnut/base/time.h"
#include "walnut/consensus/messages.h"
#include "walnut/control/commands.h"
#include "walnut/registry/messages.h"
#include "walnut/resource/types.h"

namespace walnut::protocol {

/// Version of the message formats. 5 added tenants to documents and incarnations to workers.
inline constexpr std::uint32_t kProtocolVersion = 5;

enum class PeerRole : std::uint8_t { router = 0, controller = 1 };

/// Handshake: the first message that either side sends on a connection.
struct Hello {
  std::uint32_t protocolVersion = kProtocolVersion;
  PeerRole role = PeerRole::router;
  base::CellId cell;
  std::uint64_t id = 0;  ///< RouterId or ServerId.
  base::ZoneId zone;
  /// Features the sender supports beyond the protocol version (registry/feature_level.h); 0: none.
  std::uint32_t featureLevel = 0;

  /// Builds without feature levels accept exactly five fields, so the level is appended to the
  /// zone, which registries and gateways of such builds don't read.
  template <class Archive>
  void serialize(Archive& archive) {
    if constexpr (Archive::is_saving::value) {
      const base::ZoneId zoneAndLevel = zoneWithLevel(zone, featureLevel);
      archive(protocolVersion, role, cell, id, zoneAndLevel);
    } else {
      archive(protocolVersion, role, cell, id, zone);
      featureLevel = takeLevel(zone);
    }
  }

 private:
  static base::ZoneId zoneWithLevel(const base::ZoneId& zone, std::uint32_t level);
  /// Strips the level from the zone. @return the level; 0 if there is none or it is unreadable.
  static std::uint32_t takeLevel(base::ZoneId& zone);
};

/// Asks a controller for its last log index. A router is up to date as of the time it sent the
/// probes once it has applied the greatest `lastLogIndex` of some majority of voters: any committed
/// entry is in the log of at least one of them. This needs no leader.
struct ProbeRequest {
  std::uint64_t sequence = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence);
  }
};

struct ProbeReply {
  std::uint64_t sequence = 0;
  base::ServerId server;
  consensus::Term term = 0;
  consensus::LogIndex lastLogIndex = 0;
  consensus::LogIndex appliedIndex = 0;
  consensus::LogIndex membershipIndex = 0;
  base::ServerId leader;  ///< Zero: unknown.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, server, term, lastLogIndex, appliedIndex, membershipIndex, leader);
  }
};

/// Alternatives of `Change`, a change of the state that routers replicate.
struct ResourceChanged {
  resource::Resource resource;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(resource);
  }
};
struct ResourceDeleted {
  resource::Key key;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(key);
  }
};
struct EngineChanged {
  resource::Engine engine;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(engine);
  }
};
struct EngineRemoved {
  base::EngineId engine;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(engine);
  }
};
struct ReplicaChanged {
  resource::Replica replica;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(replica);
  }
};
struct ReplicaRemoved {
  base::ReplicaId replica;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(replica);
  }
};
struct MembershipChanged {
  consensus::LogIndex index = 0;
  consensus::Membership membership;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, membership);
  }
};

using Change = std::variant<ResourceChanged, ResourceDeleted, EngineChanged, EngineRemoved,
                            ReplicaChanged, ReplicaRemoved, MembershipChanged>;

/// Request of a router for all changes after `fromIndex`; 0 asks for the whole state.
struct WatchRequest {
  consensus::LogIndex fromIndex = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(fromIndex);
  }
};

/// Committed changes of (fromIndex, toIndex], coalesced to the last change of each object.
/// An empty delta confirms that nothing changed. Applied only if fromIndex <= the router's index
/// and toIndex >= it.
struct WatchDelta {
  consensus::LogIndex fromIndex = 0;
  consensus::LogIndex toIndex = 0;
  std::vector<Change> changes;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(fromIndex, toIndex, changes);
  }
};

/// One page of the whole state at `index`; the router replaces its state after the last page.
struct WatchSnapshotPage {
  consensus::LogIndex index = 0;
  std::uint32_t page = 0;
  bool last = false;
  std::vector<Change> changes;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, page, last, changes);
  }
};

/// Demand for one servable at one router. State, not an event: resending it adds nothing.
struct Demand {
  std::string model;
  std::string adapter;  ///< Empty: the model itself.
  /// Version required by streams that can only continue on a version which is no longer active;
  /// else empty.
  std::string version;
  std::uint32_t waitingInteractive = 0;
  std::uint32_t waitingBatch = 0;
  std::uint32_t running = 0;
  std::optional<base::TimePoint> earliestDeadline;  ///< Earliest among the waiting requests.
  base::TimePoint lastArrival;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(model, adapter, version, waitingInteractive, waitingBatch, running, earliestDeadline,
            lastArrival);
  }
};

/// Outcomes of one router's attempts on one engine since the router's last report.
struct EngineOutcomes {
  base::EngineId engine;
  std::uint32_t answered = 0;  ///< Attempts to which the engine began to respond.
  std::uint32_t failed = 0;    ///< Attempts that failed or timed out.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(engine, answered, failed);
  }
};

/// Report of a router to the leader, sent every report interval. With `complete` set it replaces
/// all entries that the leader holds for this router; else only the listed ones. An entry expires
/// when the router has not reported for longer than the demand lifetime.
struct DemandReport {
  base::RouterId router;
  std::uint64_t sequence = 0;  ///< Reports older than the latest one are ignored.
  bool complete = false;
  std::vector<Demand> entries;
  std::vector<EngineOutcomes> outcomes;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(router, sequence, complete, entries, outcomes);
  }
};

struct ClaimRequest {
  std::uint64_t sequence = 0;  ///< Assigned by the router; echoed in the reply.
  control::ClaimKey claim;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, claim);
  }
};

struct ClaimReply {
  std::uint64_t sequence = 0;
  control::ClaimOutcome outcome = control::ClaimOutcome::unavailable;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, outcome);
  }
};

/// Operations of the resource API, as forwarded from a follower to the leader.
struct GetResource {
  resource::Key key;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(key);
  }
};
struct ListResources {
  std::optional<resource::Kind> kind;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind);
  }
};
/// Adds a server to the cell (as learner, promoted to voter once it has caught up) or removes one.
struct ChangeMember {
  std::string requestId;
  bool remove = false;
  consensus::Member member;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(requestId, remove, member);
  }
};
struct GetStatus {
  template <class Archive>
  void serialize(Archive&) {}
};

using ApiRequest = std::variant<control::PutResource, control::DeleteResource, GetResource,
                                ListResources, ChangeMember, GetStatus>;

/// State of the cell as shown to operators.
struct CellStatus {
  base::ServerId server;
  base::ServerId leader;
  consensus::Term term = 0;
  consensus::LogIndex appliedIndex = 0;
  consensus::LogIndex firstIndex = 0;
  consensus::Membership membership;
  std::vector<resource::Engine> engines;
  std::vector<resource::Replica> replicas;
  std::uint64_t routersConnected = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(server, leader, term, appliedIndex, firstIndex, membership, engines, replicas,
            routersConnected);
  }
};

/// Reply of the resource API. With `error` set the other fields have no meaning, except
/// `currentVersion` for versionConflict.
struct ApiReply {
  std::optional<base::Error> error;
  resource::Version version = 0;  ///< Version of the write or of the listed state.
  resource::Version currentVersion = 0;
  std::vector<resource::Resource> resources;
  std::optional<CellStatus> status;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(error, version, currentVersion, resources, status);
  }
};

struct ForwardedRequest {
  std::uint64_t sequence = 0;
  ApiRequest request;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, request);
  }
};

struct ForwardedReply {
  std::uint64_t sequence = 0;
  ApiReply reply;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, reply);
  }
};

using Message = std::variant<Hello, consensus::Message, ProbeRequest, ProbeReply, WatchRequest,
                             WatchDelta, WatchSnapshotPage, DemandReport, ClaimRequest, ClaimReply,
                             ForwardedRequest, ForwardedReply, registry::RegistryMessage>;

/// Identifies a connection within the process; assigned by its driver, never reused within a run.
using ConnectionId = base::StrongId<struct ConnectionTag, std::uint64_t>;

}  // namespace walnut::protocol
