#pragma once
/// @file
/// Abstract interface of a registry server's decision logic. The servers form a replicated cell
/// that stores the operator's document and the list of workers; its leader orders workers to load
/// models.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/base/time.h"
#include "walnut/consensus/raft.h"
#include "walnut/control/controller.h"
#include "walnut/protocol/messages.h"
#include "walnut/registry/messages.h"
#include "walnut/runtime/event_log.h"

namespace walnut::registry {

/// Parser of the text form of a document. It has no side effects.
class DocumentReader {
 public:
  virtual ~DocumentReader() = default;
  /// @return the document, or an error that names the field; not yet validated.
  virtual base::Result<catalog::Document> read(const std::string& text) const = 0;
};

/// Accuracy with which the quotas of tenants are enforced over all gateways. In each window a
/// tenant may use (rate x window + burst) x (1 + overshoot) + slack.
struct QuotaOptions {
  base::Duration window = std::chrono::seconds(8);
  double overshoot = 0;
  double slack = 0;  ///< In the units of the tenant's quota.
};

/// Settings of the registry's logic. Sources of the defaults: docs/DESIGN.md, "Timing".
struct RegistryOptions {
  consensus::RaftOptions raft;
  std::string name;        ///< Name of this server as the holder of the order lease.
  consensus::Member self;  ///< Its id is that of the recovered state.
  /// Internal endpoints of servers to ask for admission, besides those of the known membership.
  std::vector<base::Endpoint> joinEndpoints;
  std::vector<base::ZoneId> zones;    ///< Zones that workers may be in; empty: any.
  std::uint32_t tolerableLosses = 2;  ///< Number of disks that may be lost at once.
  base::Duration callTimeout = std::chrono::milliseconds(900);      ///< Calls without a document.
  base::Duration documentTimeout = std::chrono::milliseconds(900);  ///< Calls with a document.
  base::Duration viewInterval = std::chrono::milliseconds(250);  ///< Longest time between updates.
  base::Duration planInterval = std::chrono::milliseconds(100);
  base::Duration joinInterval = std::chrono::milliseconds(250);
  base::Duration joinAfterSilence = std::chrono::milliseconds(1200);
  base::Duration heartbeatInterval = std::chrono::milliseconds(1200);  ///< Heartbeats of workers.
  /// Time without contact after which a worker counts as unresponsive and gets no new requests
  /// while others can take them, in heartbeat intervals.
  double silentHeartbeats = 3.4;
  /// The same for a worker that some gateway can't reach.
  double overdueHeartbeats = 1.3;
  base::Duration workerForgottenAfter = std::chrono::seconds(20);
  /// Time after the last order of a holder in which no other server may order the same worker.
  base::Duration orderLease = std::chrono::milliseconds(3000);
  bool ordersFenced = false;  ///< True if workers refuse fencing tokens below the highest seen.
  /// @name Rate limit of loads from the weight store, counted in any such window
  /// @{
  base::Duration storeWindow = std::chrono::seconds(5);
  double storeOvershoot = 1.1;  ///< Factor of the rate that is allowed within a window.
  /// @}
  QuotaOptions quota;
  base::Duration orderTimeout = std::chrono::seconds(1);
  base::Duration adapterSettleTime = std::chrono::milliseconds(40);
  std::size_t snapshotEveryBytes = 512U << 10U;  ///< Least bytes of commands between snapshots.
  std::size_t snapshotKeepEntries = 16;
};

/// @name Inputs
/// @{
struct LinkOpened {
  protocol::ConnectionId connection;
  protocol::Hello hello;
};
struct LinkClosed {
  protocol::ConnectionId connection;
};
struct LinkReceived {
  protocol::ConnectionId connection;
  protocol::Message message;
};
/// An external call; `call` is a number chosen by the driver and echoed.
struct CallReceived {
  std::uint64_t call = 0;
  ControlCall body;
};
/// A worker's answer to an order.
enum class OrderOutcome : std::uint8_t {
  accepted,     ///< The order is in progress, or an adapter is in transfer.
  alreadyDone,  ///< The model is already loaded, or was unloaded immediately.
  busy,         ///< Another order is in progress, or the expected count differs.
  fenced,       ///< The worker has seen a higher fencing token.
  misdirected,  ///< Another worker is at that address.
  refused,      ///< The order is invalid.
  unclear,      ///< No clear answer: the order may be carried out now, later or never.
};
/// The outcome of a SendOrder.
struct OrderFinished {
  std::uint64_t order = 0;
  OrderOutcome outcome = OrderOutcome::unclear;
};
/// The outcome of a ReadReport.
struct ReportFinished {
  WorkerId worker;
  base::Result<WorkerReport> report;
};
/// The `persist` batch with this number is synced.
struct Persisted {
  std::uint64_t batch = consensus::kAllBatches;
};
struct Tick {};
/// The process is about to stop: the server hands over leadership.
struct PlannedShutdown {};
/// @}

using RegistryInput = std::variant<LinkOpened, LinkClosed, LinkReceived, CallReceived,
                                   OrderFinished, ReportFinished, Persisted, Tick, PlannedShutdown>;

/// @name Outputs
/// @{
/// Sends a message to the internal endpoint of a server whose id is not known.
struct SendToEndpoint {
  base::Endpoint endpoint;
  protocol::Message message;
};
struct CallAnswered {
  std::uint64_t call = 0;
  ControlAnswer answer;
};
/// Sends an order to a worker; OrderFinished must follow.
struct SendOrder {
  std::uint64_t order = 0;
  WorkerRecord worker;
  bool load = true;  ///< False: unload.
  std::string model;
  std::string adapter;
  std::string_view reason;  ///< Why the order was decided, for metrics; empty for adapters.
  std::uint64_t expectedOrderCount = 0;
  std::string holder;
  std::uint64_t fence = 0;
};
/// Requests a report from a worker; ReportFinished must follow.
struct ReadReport {
  WorkerRecord worker;
};
/// @}

using RegistryAction = std::variant<control::SendToServer, control::SendToConnection,
                                    SendToEndpoint, CallAnswered, SendOrder, ReadReport>;

/// A step of a server that asks to be admitted, from its start to its vote.
enum class JoinStep : std::uint8_t {
  requested,    ///< It asked for admission.
  leaderHeard,  ///< A leader has made contact.
  admitted,     ///< It has the membership in which it is a learner.
  incoming,     ///< It votes in the next set of voters, beside the former one.
  voter,        ///< It votes.
};

/// @return the name for logs and metrics.
std::string_view joinStepName(JoinStep step);

/// Outputs of one step. The driver begins to write `persist`, performs the actions in order, and
/// passes `Persisted` once `persist`, if it was not empty, is synced.
struct RegistryOutputs {
  consensus::PersistBatch persist;
  std::vector<RegistryAction> actions;
  /// Error of an entry or snapshot that this build can't decode; its state would diverge from the
  /// others'. The driver ends the process and performs nothing more.
  std::optional<base::Error> unreadable;
  std::vector<consensus::ElectionReport> elections;  ///< Of this server, ended since; for metrics.
  std::vector<JoinStep> joinSteps;  ///< Of this server, taken since; for logs and metrics.
};

/// What a leader knows of its cell; zero on a server that does not lead.
struct LeaderFigures {
  std::size_t workers = 0;           ///< Workers in the replicated state.
  std::size_t orderableWorkers = 0;  ///< Those that may be sent an order for a model now.
  std::size_t silentVoters = 0;      ///< Voters without contact for longer than a voter may be.
};

/// Decision logic of one registry server. Deterministic, without I/O, owned by one event loop.
class Registry {
 public:
  virtual ~Registry() = default;
  virtual void step(base::TimePoint now, const RegistryInput& input) = 0;
  virtual RegistryOutputs takeOutputs() = 0;
  virtual base::TimePoint nextWakeup() const = 0;
  virtual consensus::RaftStatus raftStatus() const = 0;
  /// @return the maxima of the estimates for workers; zero on a server that does not lead.
  virtual WorkerTimingMaxima timingMaxima() const = 0;
  virtual LeaderFigures leaderFigures() const = 0;
  /// @return true while this server leads and has applied what was committed before its term.
  virtual bool isServing() const = 0;
};

/// @param founders membership of a new cell, the same on all its servers; empty for a server that
/// requests admission. Used only if nothing was recovered.
std::unique_ptr<Registry> makeRegistry(const RegistryOptions& options,
                                       consensus::RecoveredState recovered,
                                       const consensus::Membership& founders,
                                       const DocumentReader& reader, runtime::EventLog& log,
                                       std::uint64_t seed, base::TimePoint now);

}  // namespace walnut::registry
