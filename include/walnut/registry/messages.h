#pragma once
/// @file
/// Messages of the registry: between its servers, and between its leader and gateways.
/// Alternatives of the variants are part of the protocol: append only.

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
#include "walnut/registry/quota_messages.h"
#include "walnut/registry/request_digest.h"
#include "walnut/registry/worker.h"

namespace walnut::registry {

/// @name Calls from outside, as any server takes them and forwards them to the leader
/// @{
/// Declares a document, in the text form that it is read back in.
struct ReplaceDocument {
  std::string text;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(text);
  }
};
struct ReadDocument {
  template <class Archive>
  void serialize(Archive&) {}
};
struct ReportAlive {
  Heartbeat heartbeat;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(heartbeat);
  }
};
/// The worker gets no new work and is forgotten.
struct ReportGone {
  std::string name;
  std::uint64_t bornMillis = 0;  ///< Of the life that ends; 0: the present one.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, bornMillis);
  }
};
/// Nothing new is to be sent to the workers of a zone, or no longer so.
struct EvacuateZone {
  base::ZoneId zone;
  bool evacuated = true;  ///< False: the evacuation ends.
  /// Changes of that zone which the server that took the call had applied by then: a call that
  /// comes late, after later ones were acknowledged, changes nothing.
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
  done = 0,         ///< Durable beyond the losses that the cell is to survive.
  refused = 1,      ///< The caller must change its input; `error` names the field.
  unavailable = 2,  ///< It may or may not take effect; to be sent again.
};

struct ControlAnswer {
  ControlStatus status = ControlStatus::unavailable;
  base::Error error;
  std::string text;  ///< The document, for ReadDocument.
  /// Where further calls are answered without being forwarded.
  std::optional<base::Endpoint> leader;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(status, error, text, leader);
  }
};

struct ForwardedCall {
  std::uint64_t sequence = 0;
  ControlCall call;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, call);
  }
};
struct ForwardedAnswer {
  std::uint64_t sequence = 0;
  ControlAnswer answer;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, answer);
  }
};

/// A worker called again, and said the same as in its last Heartbeat but for the sequence.
struct WorkerHeard {
  WorkerId worker;
  std::uint64_t sequence = 0;
  std::uint64_t holdingsHash = 0;  ///< Of what it holds: hashOf(Heartbeat).
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, sequence, holdingsHash);
  }
};
/// Server to leader: heartbeats that the server has acknowledged, since nothing replicated changes
/// by them. What is lost of it is made good by the workers' next ones.
struct HeartbeatBatch {
  std::vector<Heartbeat> changed;  ///< That say something new to this leader.
  std::vector<WorkerHeard> heard;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(changed, heard);
  }
};
/// Leader to server: it doesn't know what these workers hold.
struct HeartbeatsWanted {
  std::vector<WorkerId> workers;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(workers);
  }
};

/// A server that hears no leader asks any other one to be admitted to the cell.
struct JoinRequest {
  consensus::Member member;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(member);
  }
};
/// Who is in the cell as far as the answering server knows.
struct JoinReply {
  consensus::Membership membership;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(membership);
  }
};

/// Where a gateway stands in taking a document; all 0: it takes none.
struct DocumentCursor {
  std::uint64_t version = 0;
  std::uint64_t baseVersion = 0;  ///< Of a delta; 0: of a whole document.
  std::uint64_t hash = 0;         ///< Of all bytes.
  std::uint64_t received = 0;     ///< Bytes, from the first on.

  bool operator==(const DocumentCursor&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, baseVersion, hash, received);
  }
};

/// A gateway asks for the state of workers and for the document, now and as they change.
struct Subscribe {
  std::uint64_t documentVersion = 0;  ///< That it holds; 0: none.
  DocumentCursor cursor;              ///< What it has of a newer one, from any server.
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
/// Gateway to leader, for each part: lets the leader send more.
struct DocumentPartTaken {
  DocumentCursor cursor;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(cursor);
  }
};

/// The server doesn't lead, or no longer does.
struct NotLeading {
  std::vector<base::Endpoint> servers;  ///< Internal endpoints of the cell.
  std::optional<base::Endpoint> leader;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(servers, leader);
  }
};

/// Requests that run on a worker.
struct WorkerLoad {
  WorkerId worker;
  std::string model;  ///< Empty: of a plain service, or all models together.
  std::uint32_t running = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, model, running);
  }
};

/// A worker as gateways see it.
struct WorkerView {
  WorkerRecord record;
  bool silent = false;            ///< It has not been heard of for some time.
  bool failing = false;           ///< It fails what it is sent, as gateways together have seen.
  bool holdingsKnown = false;     ///< Else a gateway keeps what it was told before.
  std::vector<HeldModel> models;  ///< Without what is about to be unloaded.
  /// Requests a second that it takes from all gateways together; absent: it names no limit. Told in
  /// a PackedView only, to gateways of level `kWorkerLimits`.
  std::optional<double> limit;

  bool operator==(const WorkerView&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(record, silent, failing, holdingsKnown, models);
  }
};

/// Leader to gateway. The first one on a connection is complete and replaces what the gateway knows
/// of workers. Sent at least every view interval, as a PackedView. It names the newest document,
/// which comes in parts (DocumentPart) if the gateway's is older.
struct ViewUpdate {
  consensus::Term term = 0;
  bool complete = false;
  std::uint64_t documentVersion = 0;
  std::vector<WorkerView> changed;
  std::vector<WorkerId> removed;
  /// Of all gateways together: what changed since the last update that had any; 0 ends one. A
  /// complete update has all.
  std::vector<WorkerLoad> loads;
  std::uint32_t gateways = 1;           ///< That share what is allotted to all of them.
  std::vector<base::Endpoint> servers;  ///< Internal endpoints of the cell; empty: as before.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, complete, documentVersion, changed, removed, loads, gateways, servers);
  }
};

/// Leader to gateway: a ViewUpdate in the form of registry/view_codec.h. Refers to what was sent
/// before on the same connection.
struct PackedView {
  std::string bytes;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(bytes);
  }
};

/// Requests for one model, or one adapter of it, at one gateway.
struct ModelDemand {
  std::string service;
  std::string model;
  std::string adapter;  ///< Empty: the model itself.
  std::uint32_t waiting = 0;
  std::uint32_t arrivals = 0;  ///< Since the last report.
  /// Of the most urgent one among those that wait or arrived; 0 is the highest.
  std::uint32_t priority = 0;
  /// The shortest target latency among them; 0 if there is none.
  base::Duration targetLatency{0};
  /// @name Attempts since the last report
  /// @{
  std::uint32_t answered = 0;  ///< A worker has begun to answer, with success.
  std::uint32_t failed = 0;    ///< A worker failed or went silent.
  /// @}
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, model, adapter, waiting, arrivals, priority, targetLatency, answered, failed);
  }
};
/// What became of the attempts of one gateway at one worker since the gateway's last report.
struct WorkerOutcomes {
  WorkerId worker;
  std::uint32_t answered = 0;  ///< It has begun to answer, with success.
  std::uint32_t failed = 0;    ///< It failed or went silent.
  std::uint32_t stalled = 0;   ///< The same, while it had requests for all its slots.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, answered, failed, stalled);
  }
};
/// Gateway to leader. Replaces the waiting counts and the loads that this gateway reported before.
struct DemandUpdate {
  std::vector<ModelDemand> demands;
  std::vector<WorkerLoad> loads;
  std::vector<WorkerId> unreachable;  ///< Workers that the gateway can't reach at present.
  std::vector<WorkerOutcomes> outcomes;

  bool empty() const {
    return demands.empty() && loads.empty() && unreachable.empty() && outcomes.empty();
  }
  template <class Archive>
  void serialize(Archive& archive) {
    archive(demands, loads, unreachable, outcomes);
  }
};

/// A request that a worker had, and had not answered a part of, when its connection ended.
struct RequestCut {
  RequestDigest request;
  WorkerId worker;
  bool begun = false;     ///< The head of its answer had come: it was no longer queued.
  base::Duration age{0};  ///< Since the connection ended.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, worker, begun, age);
  }
};
/// Gateway to leader: which requests may have crashed their workers. Sent only if there are any;
/// each is sent once, and again to a leader that is new to the gateway.
struct CutReport {
  std::vector<RequestCut> cuts;
  std::vector<RequestDigest> answered;  ///< Suspects that were answered: they crash nobody.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(cuts, answered);
  }
};

/// How a request that may crash its workers is treated.
enum class RequestStanding : std::uint8_t {
  suspected = 0,    ///< It goes on; that it is answered is worth telling.
  held = 1,         ///< Not sent until it is known whether a worker has ended under it once more.
  quarantined = 2,  ///< Not sent to a worker any more.
};
struct SuspectRequest {
  RequestDigest request;
  RequestStanding standing = RequestStanding::suspected;
  std::uint32_t crashes = 0;    ///< Workers that ended with it.
  base::Duration remaining{0};  ///< For which the standing lasts, if nothing new is learned.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, standing, crashes, remaining);
  }
};
/// Leader to gateway: all requests that are not like others. Sent when it changes, and before the
/// first view on a connection if there are any; without it there are none.
struct SuspectList {
  std::vector<SuspectRequest> requests;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(requests);
  }
};

/// Gateway to leader: which document is the newest one? What the gateway knows of keys counts only
/// for some time from this question.
struct ConfirmDocument {
  std::uint64_t sequence = 0;  ///< Of the gateway; echoed.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence);
  }
};
/// Leader to gateway: at some time after the question, confirmed by a majority of the cell, no
/// document above this version was acknowledged.
struct DocumentConfirmed {
  std::uint64_t sequence = 0;
  std::uint64_t documentVersion = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, documentVersion);
  }
};

/// A model that is asked for, that no worker serves, and that will not be there soon.
struct LateModel {
  std::string service;
  std::string model;
  base::Duration availableIn{0};  ///< As expected when it was sent.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, model, availableIn);
  }
};
/// Leader to gateway: all such models. Sent before the first view on a connection, when it changes,
/// and again and again while there are any: it counts for `kLateModelsLast`.
struct LateModels {
  std::vector<LateModel> models;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(models);
  }
};
inline constexpr base::Duration kLateModelsLast = std::chrono::seconds(3);

using MessageBody =
    std::variant<ForwardedCall, ForwardedAnswer, JoinRequest, JoinReply, Subscribe, NotLeading,
                 ViewUpdate, DemandUpdate, DocumentPart, DocumentPartTaken, PackedView, CutReport,
                 SuspectList, ConfirmDocument, DocumentConfirmed, QuotaRequest, QuotaGrant,
                 LateModels, HeartbeatBatch, HeartbeatsWanted, LimitReport, ShareRequest,
                 ShareGrant>;

/// One alternative of protocol::Message for all of the registry's.
struct RegistryMessage {
  MessageBody body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(body);
  }
};

}  // namespace walnut::registry
