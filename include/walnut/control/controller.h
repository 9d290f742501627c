#pragma once
/// @file
/// Interface of a controller's decision logic: consensus, the state machine, the leader's tasks,
/// the resource API and router sessions. It performs no I/O.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/base/time.h"
#include "walnut/consensus/raft.h"
#include "walnut/engine/messages.h"
#include "walnut/protocol/messages.h"

namespace walnut::control {

/// Settings of the control logic. The sources of the default values are given in docs/DESIGN.md,
/// "Timing".
struct ControllerOptions {
  consensus::RaftOptions raft;
  /// Interval between reports of one engine.
  base::Duration reportInterval = std::chrono::milliseconds(500);
  /// Report interval of an engine that loads or unloads; short, so that a replica serves soon after
  /// it becomes ready.
  base::Duration busyReportInterval = std::chrono::milliseconds(100);
  base::Duration callTimeout = std::chrono::seconds(2);  ///< Time-out of an engine call.
  base::Duration platformListInterval = std::chrono::seconds(1);
  base::Duration demandLifetime = std::chrono::seconds(5);
  base::Duration placementInterval = std::chrono::milliseconds(50);
  /// Time in which all models are planned once, for changes that follow from the passage of time
  /// alone; short compared to idle times.
  base::Duration planningPassDuration = std::chrono::seconds(2);
  /// A machine counts as gone when it has been missing from the platform list for this long.
  base::Duration machineRemovalTimeout = std::chrono::seconds(10);
  base::Duration claimWindow = std::chrono::minutes(10);  ///< Time for which a claimed key is kept.
  base::Duration claimClockSkew = std::chrono::seconds(30);
  /// After this time a request is answered with `outcomeUnknown`.
  base::Duration apiTimeout = std::chrono::seconds(5);
  std::size_t snapshotEveryEntries = 4096;
  std::size_t snapshotKeepEntries = 512;
  /// Changes kept for watchers; a watcher that is further behind must list again.
  std::size_t maxWatchChanges = 4096;
  std::size_t maxRequestAnswers = 4096;  ///< Answers kept for resent requests.
  std::size_t watchPageChanges = 512;    ///< Changes in a WatchSnapshotPage.
  /// Shortest time between two deltas to one router; changes in between are coalesced.
  base::Duration watchPushInterval = std::chrono::milliseconds(20);
  /// Longest time between two messages to a router, so that it can tell a quiet state from a lost
  /// connection.
  base::Duration watchHeartbeatInterval = std::chrono::milliseconds(500);
  /// Time from the decision to unload until the unload order, in which routers learn of the
  /// decision and stop sending requests.
  base::Duration unloadGrace = std::chrono::seconds(1);
  /// After this time the server stops without a leadership transfer.
  base::Duration plannedStopTimeout = std::chrono::seconds(5);
};

/// @name Inputs
/// @{
struct PeerOpened {
  protocol::ConnectionId connection;
  protocol::Hello hello;
};
struct PeerClosed {
  protocol::ConnectionId connection;
};
/// Message received over an opened connection, including consensus::Message.
struct PeerMessage {
  protocol::ConnectionId connection;
  protocol::Message message;
};
/// API call from the HTTP edge; `call` is chosen by the edge and echoed in the answer.
struct ApiCall {
  std::uint64_t call = 0;
  protocol::ApiRequest request;
};
/// An operator watches changes of resources after `fromVersion`; the watch stays open until it is
/// closed.
struct ApiWatchOpened {
  std::uint64_t call = 0;
  std::optional<resource::Kind> kind;
  resource::Version fromVersion = 0;
};
struct ApiWatchClosed {
  std::uint64_t call = 0;
};
struct EngineCallFinished {
  std::uint64_t call = 0;
  engine::CallResult result;
};
struct PlatformListRead {
  base::Result<engine::PlatformList> result;
};
/// The last batch was synced to disk.
struct Persisted {};
struct Tick {};
/// Planned shutdown: transfer leadership, answer pending requests, then output ControllerStopped.
struct PlannedShutdown {};
/// @}

using ControllerInput =
    std::variant<PeerOpened, PeerClosed, PeerMessage, ApiCall, ApiWatchOpened, ApiWatchClosed,
                 EngineCallFinished, PlatformListRead, Persisted, Tick, PlannedShutdown>;

/// @name Outputs
/// @{
/// Sends a message to another server. The driver keeps one connection to each server and drops
/// messages that it cannot send.
struct SendToServer {
  base::ServerId server;
  base::Endpoint endpoint;
  protocol::Message message;
};
/// Sends a message over an opened connection.
struct SendToConnection {
  protocol::ConnectionId connection;
  protocol::Message message;
};
struct ApiAnswer {
  std::uint64_t call = 0;
  protocol::ApiReply reply;
};
/// Changes for an operator's watch. If `error` (`watchTooOld`) is set, the watch has ended.
struct ApiWatchEvents {
  std::uint64_t call = 0;
  resource::Version version = 0;  ///< All changes up to this version are included.
  std::vector<protocol::Change> changes;
  std::optional<base::Error> error;
};
/// Calls an engine over its published protocol. EngineCallFinished must follow within callTimeout.
struct EngineCall {
  std::uint64_t call = 0;
  base::EngineId engine;
  base::Endpoint endpoint;
  engine::Call request;
};
/// Reads the platform's list of machines. PlatformListRead must follow.
struct ReadPlatformList {};
struct ControllerStopped {};
/// @}

using ControllerAction = std::variant<SendToServer, SendToConnection, ApiAnswer, ApiWatchEvents,
                                      EngineCall, ReadPlatformList, ControllerStopped>;

/// Outputs of the controller. The driver first persists and syncs `persist`, then performs the
/// actions in order, then inputs `Persisted` if `persist` was not empty.
struct ControllerOutputs {
  consensus::PersistBatch persist;
  std::vector<ControllerAction> actions;
};

/// Decision logic of one controller. It is deterministic, performs no I/O and is owned by one
/// decision loop. The driver may input several events before it takes outputs, so that one sync
/// covers them all.
class Controller {
 public:
  virtual ~Controller() = default;
  virtual void step(base::TimePoint now, const ControllerInput& input) = 0;
  /// Must not be called between outputs with a non-empty batch and the `Persisted` that confirms
  /// it.
  virtual ControllerOutputs takeOutputs() = 0;
  virtual base::TimePoint nextWakeup() const = 0;
  virtual consensus::RaftStatus raftStatus() const = 0;
};

}  // namespace walnut::control
