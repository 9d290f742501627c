#pragma once
/// @file
/// Pure interface of a router's decision logic: admission, queue, choice of engine, retries,
/// resumption of streams, at-most-once claims, freshness of configuration.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/base/ids.h"
#include "walnut/base/time.h"
#include "walnut/engine/messages.h"
#include "walnut/protocol/messages.h"

namespace walnut::routing {

/// What a router does with new requests while it can't confirm that its configuration is current.
enum class UnconfirmedPolicy : std::uint8_t { refuse, serve };

/// Settings of the routing logic. Sources of the defaults: docs/DESIGN.md, "Timing".
struct RouterOptions {
  base::CellId cell;
  base::ZoneId zone;
  std::vector<base::Endpoint> controllers;  ///< To begin with; later from the membership.
  base::Duration probeInterval = std::chrono::milliseconds(500);
  base::Duration freshnessLimit = std::chrono::seconds(3);  ///< After it, UnconfirmedPolicy rules.
  UnconfirmedPolicy whenUnconfirmed = UnconfirmedPolicy::refuse;
  base::Duration demandInterval = std::chrono::milliseconds(200);
  base::Duration defaultDeadline = std::chrono::seconds(60);
  base::Duration maxDeadline = std::chrono::hours(12);
  std::size_t maxQueuedPerTarget = 256;
  std::size_t maxQueued = 4096;
  std::uint32_t maxRunningPerReplica = 32;  ///< Of this router; the engine batches them.
  /// Exported states that this process keeps while no engine can hold them; 0: none.
  std::uint32_t maxKeptStates = 8;
  std::uint32_t maxAttempts = 4;
  double retryBudgetRatio = 0.2;  ///< Retries per first attempt, over a sliding window.
  base::Duration retryBackoffMin = std::chrono::milliseconds(20);
  base::Duration retryBackoffMax = std::chrono::seconds(1);
  std::uint32_t breakerFailures = 5;  ///< Consecutive failures that open an engine's breaker.
  base::Duration breakerOpenFor = std::chrono::seconds(2);
  base::Duration startTimeout =
      std::chrono::seconds(10);                           ///< From handing over to GenerateStarted.
  base::Duration tokenTimeout = std::chrono::seconds(5);  ///< Between events of a stream.
  base::Duration claimTimeout = std::chrono::seconds(3);
  base::Duration claimWindow = std::chrono::minutes(10);         ///< As the cell's.
  base::Duration initialLoadEstimate = std::chrono::seconds(5);  ///< Until a load was observed.
};

/// A request of a caller, decoded and checked by the edge.
struct CallerRequest {
  base::RequestId request;  ///< Unique; made by the edge.
  std::string target;       ///< Name of a model or an adapter.
  std::string prompt;
  std::uint32_t maxTokens = 0;
  engine::Priority priority = engine::Priority::interactive;
  std::optional<base::TimePoint> deadline;  ///< For the whole answer; absent: defaultDeadline.
  bool repeatable = true;
  std::string idempotencyKey;               ///< Required if not repeatable.
  std::optional<base::TimePoint> issuedAt;  ///< Required if not repeatable.
};

/// Whether the request was run by an engine.
enum class Executed : std::uint8_t { no, yes, unknown };

/// @name Inputs
/// @{
struct CallerRequested {
  CallerRequest request;
};
/// The caller closed its connection: cancel.
struct CallerGone {
  base::RequestId request;
};
/// Event of an attempt. A connection failure arrives as GenerateFailed.
struct EngineEvent {
  engine::GenerateEvent event;
};
struct EngineExported {
  base::RequestId request;
  base::AttemptId attempt;
  engine::ExportResult result;
};
/// Answer to KeepState.
struct StateKept {
  base::RequestId request;
  base::AttemptId attempt;
  base::Result<void> result;
};
/// Answer to HoldState and to PutState.
struct EngineHeld {
  base::EngineId engine;
  base::RequestId request;
  base::AttemptId attempt;
  engine::HoldResult result;
};
struct CacheEventsRead {
  base::EngineId engine;
  std::vector<engine::CacheEvent> events;
};
/// A controller's connection is up and its Hello was read.
struct ControllerConnected {
  protocol::ConnectionId connection;
  base::Endpoint endpoint;
  protocol::Hello hello;
};
/// Also when an OpenController failed.
struct ControllerDisconnected {
  base::Endpoint endpoint;
};
struct ControllerMessage {
  protocol::ConnectionId connection;
  protocol::Message message;
};
struct Tick {};
/// Planned stop: no new requests, finish those that are there, then output RouterStopped.
struct PlannedStop {};
/// @}

using RouterInput = std::variant<CallerRequested, CallerGone, EngineEvent, EngineExported,
                                 StateKept, EngineHeld, CacheEventsRead, ControllerConnected,
                                 ControllerDisconnected, ControllerMessage, Tick, PlannedStop>;

/// @name Outputs
/// @{
/// Next token for the caller; offsets without gaps from 0.
struct CallerToken {
  base::RequestId request;
  std::uint32_t offset = 0;
  std::string text;
};
/// Terminal: the whole answer was given.
struct CallerEnded {
  base::RequestId request;
  std::uint32_t tokenCount = 0;
  engine::FinishReason reason = engine::FinishReason::stop;
  bool cold = false;  ///< No replica was ready when the request arrived.
};
/// Terminal: typed failure.
struct CallerRefused {
  base::RequestId request;
  base::Error error;
  bool retryable = false;
  Executed executed = Executed::no;
  base::Duration retryAfter{0};  ///< When to come back; 0 if not retryable.
};
/// Hands an attempt to an engine. Its end is an EngineEvent with Ended or Failed.
struct StartAttempt {
  base::EngineId engine;
  base::Endpoint endpoint;
  engine::GenerateRequest generate;
};
/// No event of this attempt is awaited any more; the driver closes it and tells the engine.
struct CancelAttempt {
  base::EngineId engine;
  base::Endpoint endpoint;
  engine::CancelRequest cancel;
};
/// EngineExported must follow.
struct ExportAttempt {
  base::EngineId engine;
  base::Endpoint endpoint;
  engine::ExportRequest exportRequest;
};
/// Asks an engine to hold the exported state of an attempt. EngineHeld must follow.
struct HoldState {
  base::EngineId engine;
  base::Endpoint endpoint;
  engine::HoldRequest hold;
};
/// Fetch the exported state of an attempt, which consumes it there, and keep it in this process.
/// StateKept must follow.
struct KeepState {
  base::RequestId request;
  base::AttemptId attempt;
  engine::KvSource source;
};
/// Give the kept state to an engine to hold; it stays kept. EngineHeld must follow.
struct PutState {
  base::EngineId engine;
  base::Endpoint endpoint;
  engine::PutRequest put;
};
/// The kept state is not needed any more; also if it was asked for and is not there yet.
struct DropState {
  base::RequestId request;
  base::AttemptId attempt;
};
/// Keep a connection to this controller; ControllerConnected or ControllerDisconnected follows.
struct OpenController {
  base::Endpoint endpoint;
};
struct CloseController {
  base::Endpoint endpoint;
};
struct SendToController {
  protocol::ConnectionId connection;
  protocol::Message message;
};
struct RouterStopped {};
/// @}

using RouterAction =
    std::variant<CallerToken, CallerEnded, CallerRefused, StartAttempt, CancelAttempt,
                 ExportAttempt, HoldState, KeepState, PutState, DropState, OpenController,
                 CloseController, SendToController, RouterStopped>;

/// A name that callers may ask for.
struct ServedName {
  std::string name;
  bool adapter = false;
  resource::Version version = 0;
};

struct RouterStatus {
  bool ready = false;  ///< Configuration confirmed; not stopping.
  consensus::LogIndex appliedIndex = 0;
  consensus::LogIndex namesIndex = 0;  ///< Of the last change that `servedNames` depends on.
  base::TimePoint confirmedAt;
  std::size_t queued = 0;
  std::size_t running = 0;
};

/// Decision logic of one router. Deterministic, no I/O, owned by one decision loop. Each request
/// gets exactly one terminal output (CallerEnded or CallerRefused), none after CallerGone.
class Router {
 public:
  virtual ~Router() = default;
  virtual void step(base::TimePoint now, const RouterInput& input) = 0;
  /// @return all outputs since the last call, in order.
  virtual std::vector<RouterAction> takeActions() = 0;
  virtual base::TimePoint nextWakeup() const = 0;
  virtual RouterStatus status(base::TimePoint now) const = 0;
  virtual std::vector<ServedName> servedNames() const = 0;
};

}  // namespace walnut::routing
