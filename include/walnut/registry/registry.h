#pragma once
/// @file
/// Pure interface of a registry server's decision logic: a replicated cell that holds the
/// operator's document and the list of workers, and whose leader orders what workers load.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
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

/// Reads the text form of a document. Pure.
class DocumentReader {
 public:
  virtual ~DocumentReader() = default;
  /// @return the document, or an error that names the field; not yet validated.
  virtual base::Result<catalog::Document> read(const std::string& text) const = 0;
};

/// How exactly the quotas of tenants have to be kept over all gateways. In each window a tenant may
/// use (rate x window + burst) x (1 + overshoot) + slack.
struct QuotaOptions {
  base::Duration window = std::chrono::seconds(8);
  double overshoot = 0;
  double slack = 0;  ///< In the units that the tenant's quota counts in.
};

/// Settings of the registry's logic. Sources of the defaults: docs/DESIGN.md, "Timing".
struct RegistryOptions {
  consensus::RaftOptions raft;
  std::string name;        ///< Of this server, as the holder of orders.
  consensus::Member self;  ///< Its id is that of the recovered state.
  /// Internal endpoints of servers to ask for admission, beside those of the known membership.
  std::vector<base::Endpoint> joinEndpoints;
  std::vector<base::ZoneId> zones;    ///< That workers may be in; empty: any.
  std::uint32_t tolerableLosses = 2;  ///< Disks that may be lost at once.
  base::Duration callTimeout = std::chrono::milliseconds(900);  ///< Heartbeats and the like.
  base::Duration documentTimeout = std::chrono::milliseconds(900);
  base::Duration viewInterval = std::chrono::milliseconds(250);  ///< Longest silence to gateways.
  base::Duration planInterval = std::chrono::milliseconds(100);
  base::Duration joinInterval = std::chrono::milliseconds(250);
  base::Duration joinAfterSilence = std::chrono::milliseconds(1200);
  base::Duration heartbeatInterval = std::chrono::milliseconds(1200);  ///< Of workers.
  /// Silence from which a worker gets no new work while others can take it, in heartbeats.
  double silentHeartbeats = 3.4;
  /// The same, if some gateway can't reach it.
  double overdueHeartbeats = 1.3;
  base::Duration workerForgottenAfter = std::chrono::seconds(20);
  base::Duration orderLease = std::chrono::milliseconds(3000);  ///< A holder's turn, after its end.
  bool ordersFenced = false;  ///< Workers refuse a fencing token below one that they have seen.
  /// @name Loads from the weight store, counted in any such window
  /// @{
  base::Duration storeWindow = std::chrono::seconds(5);
  double storeOvershoot = 1.1;  ///< Of the rate, allowed within a window.
  /// @}
  QuotaOptions quota;
  base::Duration orderTimeout = std::chrono::seconds(1);
  base::Duration adapterSettleTime = std::chrono::milliseconds(40);
  std::size_t snapshotEveryBytes = 512U << 10U;  ///< Of commands since the last snapshot.
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
/// From outside; `call` is chosen by the driver and echoed.
struct CallReceived {
  std::uint64_t call = 0;
  ControlCall body;
};
/// What a worker answered to an order.
enum class OrderOutcome : std::uint8_t {
  accepted,     ///< It is being done, or an adapter is on its way.
  alreadyDone,  ///< It holds it already, or has dropped it at once.
  busy,         ///< Another order is under way, or the expected count differs.
  fenced,       ///< It has seen a higher fencing token.
  misdirected,  ///< Another worker is at that address.
  refused,      ///< The order itself is wrong.
  unclear,      ///< No clear answer: it may be carried out now, later or never.
};
struct OrderFinished {
  std::uint64_t order = 0;
  OrderOutcome outcome = OrderOutcome::unclear;
};
struct ReportFinished {
  WorkerId worker;
  base::Result<WorkerReport> report;
};
struct Persisted {};
struct Tick {};
/// Planned stop: hands over leadership.
struct PlannedStop {};
/// @}

using RegistryInput = std::variant<LinkOpened, LinkClosed, LinkReceived, CallReceived,
                                   OrderFinished, ReportFinished, Persisted, Tick, PlannedStop>;

/// @name Outputs
/// @{
/// To a server whose identity is not known, by its internal endpoint.
struct SendToEndpoint {
  base::Endpoint endpoint;
  protocol::Message message;
};
struct CallAnswered {
  std::uint64_t call = 0;
  ControlAnswer answer;
};
/// OrderFinished must follow.
struct SendOrder {
  std::uint64_t order = 0;
  WorkerRecord worker;
  bool load = true;  ///< False: unload.
  std::string model;
  std::string adapter;
  std::uint64_t expectedOrderCount = 0;
  std::string holder;
  std::uint64_t fence = 0;
};
/// ReportFinished must follow.
struct ReadReport {
  WorkerRecord worker;
};
/// @}

using RegistryAction = std::variant<control::SendToServer, control::SendToConnection,
                                    SendToEndpoint, CallAnswered, SendOrder, ReadReport>;

/// The driver persists and syncs `persist` first, then carries out the actions in order, then hands
/// in `Persisted` if `persist` was not empty.
struct RegistryOutputs {
  consensus::PersistBatch persist;
  std::vector<RegistryAction> actions;
  /// An entry or a snapshot that this build can't read: its state would differ from the others'.
  /// The driver ends the process, and carries out nothing more.
  std::optional<base::Error> unreadable;
};

/// Decision logic of one server. Deterministic, no I/O, owned by one loop.
class Registry {
 public:
  virtual ~Registry() = default;
  virtual void step(base::TimePoint now, const RegistryInput& input) = 0;
  virtual RegistryOutputs takeOutputs() = 0;
  virtual base::TimePoint nextWakeup() const = 0;
  virtual consensus::RaftStatus raftStatus() const = 0;
};

/// @param founders membership of a new cell, the same on all of them; empty for a server that asks
/// to be admitted. Used only if nothing was recovered.
std::unique_ptr<Registry> makeRegistry(const RegistryOptions& options,
                                       consensus::RecoveredState recovered,
                                       const consensus::Membership& founders,
                                       const DocumentReader& reader, runtime::EventLog& log,
                                       std::uint64_t seed, base::TimePoint now);

}  // namespace walnut::registry
