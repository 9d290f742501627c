#pragma once
/// @file
/// The engines' published protocol as typed messages. On the wire it is HTTP with JSON bodies and
/// server-sent events (docs/API.md); the simulator passes these structures as they are.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/base/ids.h"
#include "walnut/base/time.h"
#include "walnut/resource/types.h"

namespace walnut::engine {

/// Fencing token. An engine remembers the greatest it has seen in its present incarnation and
/// refuses orders that are not greater. Ordered by term, then sequence.
struct FencingToken {
  std::uint64_t term = 0;      ///< Term of the leader that sends.
  std::uint64_t sequence = 0;  ///< Counts within the term, over all engines.
  auto operator<=>(const FencingToken&) const = default;
};

enum class OrderAction : std::uint8_t { load, unload };

/// An order to load or unload one servable. Accepting it only starts the work: progress shows in
/// reports. Loading what is loading or ready, or unloading what is absent, is accepted.
struct Order {
  FencingToken token;
  base::Incarnation incarnation;  ///< Refused by any other incarnation.
  OrderAction action = OrderAction::load;
  resource::Servable servable;
  base::AcceleratorIndex accelerator;
  std::string checkpoint;
  std::uint64_t checkpointBytes = 0;
  std::uint64_t acceleratorBytes = 0;
};

/// Asks for a report. The token also advances the engine's fence.
struct ReportRequest {
  FencingToken token;
};

using Call = std::variant<Order, ReportRequest>;

enum class HeldState : std::uint8_t { loading, ready, unloading, failed };

/// Where a checkpoint is cached at an engine.
enum class CacheTier : std::uint8_t { hostMemory, localDisk };

struct HeldServable {
  resource::Servable servable;
  base::AcceleratorIndex accelerator;
  std::uint64_t bytes = 0;
  HeldState state = HeldState::loading;
  std::uint32_t activeRequests = 0;
};

struct CachedCheckpoint {
  std::string checkpoint;
  CacheTier tier = CacheTier::localDisk;
};

/// Load of an engine, as of some time before it is sent.
struct Load {
  std::uint32_t runningRequests = 0;
  std::uint32_t queuedRequests = 0;
};

/// State of an engine. Everything but `load` is current when the report is made.
struct Report {
  base::Incarnation incarnation;
  FencingToken greatestToken;  ///< After the request's own token was taken in.
  bool leaving = false;
  Load load;
  std::vector<std::uint64_t> acceleratorBytes;
  std::vector<HeldServable> held;
  std::vector<CachedCheckpoint> cached;
};

/// The order was accepted. `greatestToken` is the order's own.
struct OrderAccepted {
  FencingToken greatestToken;
};

/// An error stands for a typed refusal (`staleOrder`, `wrongIncarnation`, `insufficientMemory`,
/// ...) or for a failure of the call (`connectFailed`, `connectionLost`, `timedOut`).
using CallResult = base::Result<std::variant<OrderAccepted, Report>>;

enum class Priority : std::uint8_t { batch = 0, interactive = 1 };

/// Where an attempt resumes from: the key-value cache that another engine exported.
struct KvSource {
  base::Endpoint endpoint;
  std::string handle;
};

/// Starts (or resumes) a generation.
struct GenerateRequest {
  base::RequestId request;
  base::AttemptId attempt;
  resource::Servable servable;
  std::string prompt;
  std::uint32_t maxTokens = 0;
  /// Tokens already delivered: generation goes on with this offset. `delivered` is their text, so
  /// that any engine can recompute the cache.
  std::uint32_t offset = 0;
  std::string delivered;
  Priority priority = Priority::interactive;
  std::optional<KvSource> kvSource;
};

/// The engine has begun to run the attempt.
struct GenerateStarted {
  base::RequestId request;
  base::AttemptId attempt;
  base::Incarnation incarnation;
  Load load;
};

struct GenerateToken {
  base::RequestId request;
  base::AttemptId attempt;
  std::uint32_t offset = 0;
  std::string text;
};

enum class FinishReason : std::uint8_t { stop, length };

/// The generation is whole: `tokenCount` tokens with offsets 0 .. tokenCount - 1, earlier attempts'
/// included.
struct GenerateEnded {
  base::RequestId request;
  base::AttemptId attempt;
  std::uint32_t tokenCount = 0;
  FinishReason reason = FinishReason::stop;
  Load load;
};

/// The attempt failed. `started` is the engine's own word, or, when the connection failed, what is
/// known of it.
struct GenerateFailed {
  enum class Started : std::uint8_t { no, yes, unknown };
  base::RequestId request;
  base::AttemptId attempt;
  base::Error error;
  Started started = Started::unknown;
};

using GenerateEvent = std::variant<GenerateStarted, GenerateToken, GenerateEnded, GenerateFailed>;

/// Ends an attempt; the engine frees what it holds.
struct CancelRequest {
  base::RequestId request;
  base::AttemptId attempt;
};

/// Stops an attempt at a token boundary and exports its key-value cache.
struct ExportRequest {
  base::RequestId request;
  base::AttemptId attempt;
};

/// Tokens with offsets below `offset` have been sent on the stream.
struct ExportReply {
  std::string handle;
  std::uint32_t offset = 0;
};

using ExportResult = base::Result<ExportReply>;

/// Asks an engine to fetch an exported key-value cache (and so to consume the export) and to hold
/// it in its host memory until another engine fetches it from there. The engine needs no replica of
/// the servable. It bounds how many it holds, and for how long; cancelling the attempt at it frees
/// the copy. A repeated request for what it holds already is given the same handle.
struct HoldRequest {
  base::RequestId request;
  base::AttemptId attempt;  ///< The attempt that was exported.
  KvSource source;
};

/// Gives an engine the bytes of an exported key-value cache, to hold as after a HoldRequest. On the
/// wire the bytes are the body.
struct PutRequest {
  base::RequestId request;
  base::AttemptId attempt;  ///< The attempt that was exported.
};

/// The copy is there, under this handle of the holder.
struct HoldReply {
  std::string handle;
};

/// Refusals: `engineOverloaded` (holds as many as it may) and `engineLeaving`, both before anything
/// was fetched; `unknownAttempt` if the source has no such export, or can't be reached.
using HoldResult = base::Result<HoldReply>;

/// Prefix cache change at an engine; late, and with gaps in `sequence`.
struct CacheEvent {
  std::uint64_t sequence = 0;
  resource::Servable servable;
  std::uint64_t prefixHash = 0;
  bool evicted = false;
};

/// One machine of the platform list.
struct PlatformMachine {
  base::EngineId engine;
  base::Endpoint endpoint;
  base::ZoneId zone;
  std::string machineClass;
  bool leaving = false;
  std::optional<base::TimePoint> reclaimAt;
};

/// The platform list as of `asOf`; it lags. A machine that has left is no longer in it.
struct PlatformList {
  base::TimePoint asOf;
  std::vector<PlatformMachine> machines;
};

}  // namespace walnut::engine
