#pragma once
/// @file
/// What callers, operators, engines, the weight store and the planner of faults saw in a run. The
/// only input of the oracle: nothing here comes from the product's own records. Times are true
/// times of the run.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/base/ids.h"
#include "walnut/base/time.h"
#include "walnut/engine/messages.h"
#include "walnut/resource/types.h"
#include "walnut/routing/router.h"

namespace walnut::simulator {

/// @name Seen by callers
/// @{
struct RequestIssued {
  base::RequestId request;
  std::string router;
  std::string target;
  std::string prompt;
  std::uint32_t maxTokens = 0;
  base::TimePoint deadline;
  std::string idempotencyKey;  ///< Empty: the request may be repeated.
};
struct TokenReceived {
  base::RequestId request;
  std::uint32_t offset = 0;
  std::string text;
};
struct AnswerEnded {
  base::RequestId request;
  std::uint32_t tokenCount = 0;
};
struct RequestRefused {
  base::RequestId request;
  base::ErrorCode code = base::ErrorCode::internal;
  routing::Executed executed = routing::Executed::unknown;
};
/// The connection to the router broke before a terminal answer.
struct ConnectionBroke {
  base::RequestId request;
};
/// The caller went away itself.
struct CallerLeft {
  base::RequestId request;
};
/// @}

/// @name Seen at engines
/// @{
/// A generate call, or a call to hold a state, was put on the wire towards the engine.
struct WorkSent {
  std::string engine;
  base::RequestId request;
};
/// The engine began to run the attempt.
struct RunStarted {
  std::string engine;
  base::RequestId request;
  std::uint32_t offset = 0;
  bool importedState = false;  ///< Goes on from another engine's exported state.
};
/// The engine holds a copy of the request's exported state for other engines.
struct StateHeld {
  std::string engine;
  base::RequestId request;
};
/// What the engine holds now; replaces what was known.
struct EngineHoldings {
  std::string engine;
  std::vector<std::uint64_t> acceleratorBytes;  ///< True memory of each accelerator.
  std::vector<engine::HeldServable> held;
};
struct EngineDied {
  std::string engine;
};
/// The engine itself asserted an excess.
struct EngineViolation {
  std::string engine;
  std::string what;
};
/// @}

/// @name Seen by operators and by readers of the platform list
/// @{
enum class LeavingSource : std::uint8_t { platformList, engine, drain };
struct LeavingVisible {
  std::string engine;
  LeavingSource source = LeavingSource::platformList;
};
struct LeavingEnded {
  std::string engine;
  LeavingSource source = LeavingSource::platformList;
};
struct WriteSent {
  std::string requestId;
  resource::Key key;
  std::optional<resource::Version> expectedVersion;
  std::optional<resource::Spec> spec;  ///< Absent: a deletion.
};
struct WriteAcknowledged {
  std::string requestId;
  resource::Version version = 0;
};
/// Refused for good (a conflict, a bad reference): the write did not take place.
struct WriteRefused {
  std::string requestId;
  base::ErrorCode code = base::ErrorCode::internal;
};
/// A read that began at `begun` saw the resource, or none if `version` is 0.
struct ResourceRead {
  base::TimePoint begun;
  resource::Key key;
  resource::Version version = 0;
  std::optional<resource::Spec> spec;
};
/// One operator's watch saw the resource change (or vanish, without a spec).
struct WatchSaw {
  std::uint64_t watch = 0;
  resource::Key key;
  resource::Version version = 0;
};
/// @}

/// @name Known to the planner of faults
/// @{
struct RouterFrozen {
  std::string router;
};
struct RouterThawed {
  std::string router;
};
/// A fault that nobody planned: what fails near it is excused from point 8 alone.
struct UnplannedFault {
  std::string what;
};
/// The control cell can't be expected to read the platform list or engines until the end of the
/// disturbance.
struct ControlDisturbed {};
struct ControlRestored {};
struct PlannedStopBegun {
  std::string process;
};
/// @}

using HistoryEvent =
    std::variant<RequestIssued, TokenReceived, AnswerEnded, RequestRefused, ConnectionBroke,
                 CallerLeft, WorkSent, RunStarted, StateHeld, EngineHoldings, EngineDied,
                 EngineViolation, LeavingVisible, LeavingEnded, WriteSent, WriteAcknowledged,
                 WriteRefused, ResourceRead, WatchSaw, RouterFrozen, RouterThawed, UnplannedFault,
                 ControlDisturbed, ControlRestored, PlannedStopBegun>;

}  // namespace walnut::simulator
