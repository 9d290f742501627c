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

/// 5: documents have tenants, workers have lives.
inline constexpr std::uint32_t kProtocolVersion = 5;

enum class PeerRole : std::uint8_t { router = 0, controller = 1 };

/// First message of either side on a connection.
struct Hello {
  std::uint32_t protocolVersion = kProtocolVersion;
  PeerRole role = PeerRole::router;
  base::CellId cell;
  std::uint64_t id = 0;  ///< RouterId or ServerId.
  base::ZoneId zone;
  /// What the sender knows beyond the protocol version (registry/feature_level.h); 0: nothing.
  std::uint32_t featureLevel = 0;

  /// Builds that know no levels take exactly the first five fields: the level stands behind the
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
  /// Leaves the zone alone. @return the level that stood behind it; 0: none, or unreadable.
  static std::uint32_t takeLevel(base::ZoneId& zone);
};

/// Asks a controller how far its log reaches. A router is up to date as of the time it sent the
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

/// A change of what routers need to know. Alternatives:
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

/// Router asks for all changes after `fromIndex`; 0 asks for the whole state.
struct WatchRequest {
  consensus::LogIndex fromIndex = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(fromIndex);
  }
};

/// Committed changes of (fromIndex, toIndex], coalesced: the last change of each object. With no
/// changes it only tells that nothing changed. Applied only if fromIndex <= the router's index and
/// toIndex >= it.
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
  /// Of streams that can only go on with a version that is no longer the active one; else empty.
  std::string version;
  std::uint32_t waitingInteractive = 0;
  std::uint32_t waitingBatch = 0;
  std::uint32_t running = 0;
  std::optional<base::TimePoint> earliestDeadline;  ///< Of the waiting ones.
  base::TimePoint lastArrival;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(model, adapter, version, waitingInteractive, waitingBatch, running, earliestDeadline,
            lastArrival);
  }
};

/// What became of the attempts of one router at one engine since the router's last report.
struct EngineOutcomes {
  base::EngineId engine;
  std::uint32_t answered = 0;  ///< It has begun to answer.
  std::uint32_t failed = 0;    ///< It failed, or did not answer in time.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(engine, answered, failed);
  }
};

/// Router to leader, every report interval. `complete` replaces all that the leader holds of this
/// router; else only the listed entries are replaced. An entry lapses when the router is silent
/// for longer than the demand lifetime.
struct DemandReport {
  base::RouterId router;
  std::uint64_t sequence = 0;  ///< Older reports than the last one are ignored.
  bool complete = false;
  std::vector<Demand> entries;
  std::vector<EngineOutcomes> outcomes;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(router, sequence, complete, entries, outcomes);
  }
};

struct ClaimRequest {
  std::uint64_t sequence = 0;  ///< Of the router; echoed.
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
/// Adds (as learner, promoted to voter when it has caught up) or removes a server of the cell.
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

/// State of the cell as an operator sees it.
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

/// Answer of the resource API. With `error` set the other fields are void, but
/// `currentVersion` with versionConflict.
struct ApiReply {
  std::optional<base::Error> error;
  resource::Version version = 0;  ///< Of the write, or of the listed state.
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

/// A connection of the process, numbered by its driver; never reused within a run.
using ConnectionId = base::StrongId<struct ConnectionTag, std::uint64_t>;

}  // namespace walnut::protocol
