#pragma once
/// @file
/// Messages between the servers of the registry, and between its leader and gateways. The order of
/// the variants' alternatives is part of the protocol: new ones may only be appended.

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
#include "walnut/catalog/document.h"
#include "walnut/consensus/messages.h"
#include "walnut/registry/limit_messages.h"
#include "walnut/registry/prompt_part_messages.h"
#include "walnut/registry/quota_messages.h"
#include "walnut/registry/request_digest.h"
#include "walnut/registry/starting_retry_messages.h"
#include "walnut/registry/stream_messages.h"
#include "walnut/registry/timing_messages.h"
#include "walnut/registry/worker.h"

namespace walnut::registry {

/// @name External calls, which any server accepts and forwards to the leader
/// @{
/// Declares a document, in the text form in which ReadDocument returns it.
struct ReplaceDocument {
  std::string text;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(text);
  }
};
/// Reads the declared document.
struct ReadDocument {
  template <class Archive>
  void serialize(Archive&) {}
};
/// A worker's heartbeat.
struct ReportAlive {
  Heartbeat heartbeat;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(heartbeat);
  }
};
/// Deregisters a worker: it gets no new requests and is forgotten.
struct ReportGone {
  std::string name;
  std::uint64_t bornMillis = 0;  ///< Start time of the incarnation that ends; 0: the present one.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, bornMillis);
  }
};
/// Begins or ends the evacuation of a zone, during which its workers get no new requests.
struct EvacuateZone {
  base::ZoneId zone;
  bool evacuated = true;  ///< False: the evacuation ends.
  /// Revision of the zone at the server that accepted the call: a call that arrives after later
  /// ones were acknowledged changes nothing.
  std::uint64_t basedOn = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone, evacuated, basedOn);
  }
};
/// @}

using ControlCall =
    std::variant<ReplaceDocument, ReadDocument, ReportAlive, ReportGone, EvacuateZone>;

enum class ControlStatus : std::uint8_t {
  done = 0,         ///< Durable, even if the tolerated number of disks is lost.
  refused = 1,      ///< The caller must change its input; `error` names the field.
  unavailable = 2,  ///< The call may or may not take effect; the caller should repeat it.
};

/// Answer to an external call.
struct ControlAnswer {
  ControlStatus status = ControlStatus::unavailable;
  base::Error error;
  std::string text;  ///< The document, for ReadDocument.
  /// Server that answers further calls without forwarding them.
  std::optional<base::Endpoint> leader;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(status, error, text, leader);
  }
};

/// Server to leader: an external call.
struct ForwardedCall {
  std::uint64_t sequence = 0;
  ControlCall call;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, call);
  }
};
/// Leader to server: the answer to a ForwardedCall.
struct ForwardedAnswer {
  std::uint64_t sequence = 0;
  ControlAnswer answer;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, answer);
  }
};

/// A worker's heartbeat that differs from its last full one in the sequence only.
struct WorkerContact {
  WorkerId worker;
  std::uint64_t sequence = 0;
  std::uint64_t holdingsHash = 0;  ///< Hash of its holdings: hashOf(Heartbeat).
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, sequence, holdingsHash);
  }
};
/// Server to leader: heartbeats that the server has acknowledged, as they change no replicated
/// state. Lost batches are made up for by the workers' next heartbeats.
struct HeartbeatBatch {
  std::vector<Heartbeat> changed;       ///< Heartbeats with new information for this leader.
  std::vector<WorkerContact> contacts;  ///< All other heartbeats.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(changed, contacts);
  }
};
/// Leader to server: requests full heartbeats of workers whose holdings the leader does not know.
struct HeartbeatRequest {
  std::vector<WorkerId> workers;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(workers);
  }
};

/// Request for admission to the cell, sent to any server by a server without contact to a leader.
struct JoinRequest {
  consensus::Member member;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(member);
  }
};
/// Members of the cell as far as the answering server knows.
struct JoinReply {
  consensus::Membership membership;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(membership);
  }
};

/// Progress of a gateway in receiving a document; all 0: no transfer.
struct DocumentCursor {
  std::uint64_t version = 0;
  std::uint64_t baseVersion = 0;  ///< Base of the delta; 0: a whole document.
  std::uint64_t hash = 0;         ///< Hash of all bytes.
  std::uint64_t received = 0;     ///< Number of leading bytes received.

  bool operator==(const DocumentCursor&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, baseVersion, hash, received);
  }
};

/// Gateway to leader: subscribes to the state of workers and to the document.
struct Subscribe {
  std::uint64_t documentVersion = 0;  ///< Version that the gateway holds; 0: none.
  DocumentCursor cursor;              ///< Progress of a newer one, from any server.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(documentVersion, cursor);
  }
};

/// Leader to gateway: the next bytes of a document that is newer than the gateway's. The bytes are
/// the packed Document or, if `baseVersion` is not 0, the packed DocumentDelta from that version
/// (catalog/document_codec.h).
struct DocumentPart {
  std::uint64_t version = 0;
  std::uint64_t baseVersion = 0;
  std::uint64_t hash = 0;  ///< XXH3 of all bytes.
  std::uint64_t totalBytes = 0;
  std::uint64_t offset = 0;
  std::string bytes;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, baseVersion, hash, totalBytes, offset, bytes);
  }
};
/// Gateway to leader: acknowledges a part, so that the leader sends more.
struct DocumentPartAck {
  DocumentCursor cursor;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(cursor);
  }
};

/// Server to gateway: the server does not lead, or no longer leads.
struct NotLeading {
  std::vector<base::Endpoint> servers;  ///< Internal endpoints of the cell.
  std::optional<base::Endpoint> leader;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(servers, leader);
  }
};

/// Number of requests that run on a worker.
struct WorkerLoad {
  WorkerId worker;
  std::string model;  ///< Empty: plain service, or all models together.
  std::uint32_t running = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, model, running);
  }
};

/// State of a worker as published to gateways.
struct WorkerView {
  WorkerRecord record;
  bool silent = false;            ///< True if it is unresponsive.
  bool failing = false;           ///< True if it fails requests, by the reports of all gateways.
  bool holdingsKnown = false;     ///< If false, a gateway keeps the models it was sent before.
  std::vector<HeldModel> models;  ///< Without models about to be unloaded.
  /// Requests per second that it accepts from all gateways together; absent: it announces no limit.
  /// Sent only in a PackedView, to gateways of level `kWorkerLimits`.
  std::optional<double> limit;

  bool operator==(const WorkerView&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(record, silent, failing, holdingsKnown, models);
  }
};

/// Leader to gateway: changes of the view of workers. The first one on a connection is complete and
/// replaces the gateway's view. Sent at least every view interval, as a PackedView. It has the
/// version of the newest document, which follows in parts (DocumentPart) if the gateway's is older.
struct ViewUpdate {
  consensus::Term term = 0;
  bool complete = false;
  std::uint64_t documentVersion = 0;
  std::vector<WorkerView> changed;
  std::vector<WorkerId> removed;
  /// Loads by all gateways together that changed since the last update with loads; 0 ends a load. A
  /// complete update has all loads.
  std::vector<WorkerLoad> loads;
  std::uint32_t gateways = 1;           ///< Number of gateways that share common budgets.
  std::vector<base::Endpoint> servers;  ///< Internal endpoints of the cell; empty: as before.
  /// The gateway's last mark, which the leader received while it held its lease; 0: none since the
  /// last update. In a PackedView only.
  std::uint64_t mark = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, complete, documentVersion, changed, removed, loads, gateways, servers);
  }
};

/// Leader to gateway: a ViewUpdate in the encoding of registry/view_codec.h. It refers to updates
/// sent before on the same connection.
struct PackedView {
  std::string bytes;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(bytes);
  }
};

/// Demand for one model, or one adapter of it, at one gateway.
struct ModelDemand {
  std::string service;
  std::string model;
  std::string adapter;  ///< Empty: the model itself.
  std::uint32_t waiting = 0;
  std::uint32_t arrivals = 0;  ///< Requests that arrived since the last report.
  /// Highest priority among the requests that wait or arrived; 0 is the highest of all.
  std::uint32_t priority = 0;
  /// Shortest target latency among them; 0 if there is none.
  base::Duration targetLatency{0};
  /// @name Attempts since the last report
  /// @{
  std::uint32_t answered = 0;  ///< Attempts that a worker began to answer successfully.
  std::uint32_t failed = 0;    ///< Attempts at which a worker failed or became unresponsive.
  /// @}
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, model, adapter, waiting, arrivals, priority, targetLatency, answered, failed);
  }
};
/// Outcomes of the attempts of one gateway at one worker since the gateway's last report.
struct WorkerOutcomes {
  WorkerId worker;
  std::uint32_t answered = 0;  ///< Attempts that it began to answer successfully.
  std::uint32_t failed = 0;    ///< Attempts at which it failed or became unresponsive.
  std::uint32_t stalled = 0;   ///< Such failures while all its slots were in use.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, answered, failed, stalled);
  }
};
/// Gateway to leader: demand, loads and outcomes. Replaces the waiting counts and the loads that
/// this gateway reported before.
struct DemandUpdate {
  std::vector<ModelDemand> demands;
  std::vector<WorkerLoad> loads;
  std::vector<WorkerId> unreachable;  ///< Workers that the gateway can't reach now.
  std::vector<WorkerOutcomes> outcomes;

  bool empty() const {
    return demands.empty() && loads.empty() && unreachable.empty() && outcomes.empty();
  }
  template <class Archive>
  void serialize(Archive& archive) {
    archive(demands, loads, unreachable, outcomes);
  }
};

/// A request that a worker had, and had not answered even in part, when its connection ended.
struct CutRequest {
  RequestDigest request;
  WorkerId worker;
  bool begun = false;     ///< True if the head of its answer had arrived: it was no longer queued.
  base::Duration age{0};  ///< Time since the connection ended.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, worker, begun, age);
  }
};
/// Gateway to leader: requests that may have crashed their workers. Sent only if there are any;
/// each is sent once, and once more to each new leader.
struct CutReport {
  std::vector<CutRequest> cuts;
  std::vector<RequestDigest> answered;  ///< Suspects that were answered, so they crash no worker.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(cuts, answered);
  }
};

/// Treatment of a request that may crash its workers.
enum class RequestStanding : std::uint8_t {
  suspected = 0,    ///< It is sent to workers; the gateway reports if it is answered.
  held = 1,         ///< Not sent until it is known whether it has crashed another worker.
  quarantined = 2,  ///< No longer sent to any worker.
};
/// A request that may crash its workers, with its treatment.
struct SuspectRequest {
  RequestDigest request;
  RequestStanding standing = RequestStanding::suspected;
  std::uint32_t crashes = 0;    ///< Number of workers that crashed while they had it.
  base::Duration remaining{0};  ///< Time until the standing expires, without new evidence.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, standing, crashes, remaining);
  }
};
/// Leader to gateway: all suspect requests. Sent when the list changes, and before the first view
/// on a connection unless it is empty; a gateway without a list assumes that there are none.
struct SuspectList {
  std::vector<SuspectRequest> requests;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(requests);
  }
};

/// Gateway to leader: query for the version of the newest document. The gateway trusts its API keys
/// only for a limited time from this query.
struct ConfirmDocument {
  std::uint64_t sequence = 0;  ///< Number chosen by the gateway; echoed.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence);
  }
};
/// Leader to gateway: at some time after the query, no document above this version was
/// acknowledged. A majority of the cell has confirmed that.
struct DocumentConfirmed {
  std::uint64_t sequence = 0;
  std::uint64_t documentVersion = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, documentVersion);
  }
};

/// A requested model that no worker serves and that will not be available soon.
struct LateModel {
  std::string service;
  std::string model;
  base::Duration availableIn{0};  ///< Expected time, counted from when the message was sent.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, model, availableIn);
  }
};
/// Leader to gateway: all late models. Sent before the first view on a connection, when the list
/// changes, and repeatedly while it is not empty, as it expires after `kLateModelsLifetime`.
struct LateModels {
  std::vector<LateModel> models;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(models);
  }
};
inline constexpr base::Duration kLateModelsLifetime = std::chrono::seconds(3);

/// A requested model that no worker serves, and when one is expected to.
struct ModelForecast {
  std::string service;
  std::string model;
  base::Duration availableIn{0};  ///< Expected time, counted from when the message was sent.
  /// Time for which a request waits at least, counted from its arrival: that of a load which comes
  /// before all others. 0 if it waits until `availableIn`, as for a load in progress.
  base::Duration shortestWait{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, model, availableIn, shortestWait);
  }
};
/// Leader to gateway: replaces LateModels for gateways of feature level `kModelForecasts`, and is
/// sent at the same times.
struct ModelForecasts {
  std::vector<ModelForecast> models;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(models);
  }
};

using MessageBody = std::variant<
    ForwardedCall, ForwardedAnswer, JoinRequest, JoinReply, Subscribe, NotLeading, ViewUpdate,
    DemandUpdate, DocumentPart, DocumentPartAck, PackedView, CutReport, SuspectList,
    ConfirmDocument, DocumentConfirmed, QuotaRequest, QuotaGrant, LateModels, HeartbeatBatch,
    HeartbeatRequest, LimitReport, ShareRequest, ShareGrant, WorkerTimingReport, WorkerTimings,
    ModelForecasts, StartingRetriesRequest, StartingRetries, StreamsBegan, FindStreamOrigin,
    StreamOriginFound, VersionDemand, CutPartsReport, SuspectPartList, PartsAnswered, MarkView>;

/// The alternative of protocol::Message that carries all messages of the registry.
struct RegistryMessage {
  MessageBody body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(body);
  }
};

}  // namespace walnut::registry
