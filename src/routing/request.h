#pragma once
/// @file
/// Records of a request and of its current attempt.

#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "routing/moving_average.h"
#include "routing/request_machine.h"
#include "walnut/routing/router.h"

namespace walnut::routing {

/// Execution, or possible execution, of a request on an engine.
struct Attempt {
  base::AttemptId id;
  base::EngineId engine;
  base::Endpoint endpoint;
  base::ReplicaId replica;
  resource::Servable servable;
  base::TimePoint dispatchedAt;
  base::TimePoint lastTokenAt;  ///< Equals dispatchedAt until a token arrived.
  MovingAverage tokenInterval;  ///< Per attempt, since accelerators differ in speed.
};

/// Engine that has the exported state of an attempt, or was asked to hold it.
struct StateHolder {
  base::EngineId engine;
  base::Endpoint endpoint;
  base::Incarnation incarnation;  ///< The state is lost when it changes.
};

/// Whether this process stores the exported state of a request.
enum class LocalCopy : std::uint8_t {
  no,
  fetching,  ///< The fetch is in progress; counts as stored.
  kept,
};

/// Data that a request needs only while it moves from one engine to another.
struct Move {
  Attempt source;                       ///< The attempt that is exported.
  std::optional<std::uint32_t> offset;  ///< Tokens below it arrive on the source's stream. Absent
                                        ///< until the engine has answered the export.
  engine::KvSource kvSource;
  StateHolder holder;  ///< Where the state is: the source or an engine with a copy.
  std::optional<StateHolder> pendingHolder;  ///< Asked to hold a copy; no definite answer yet.
  std::set<base::EngineId> refusingEngines;  ///< Engines that refused to hold a copy.
  LocalCopy localCopy = LocalCopy::no;
  bool sourceFailed = false;  ///< The source's stream broke before the engine answered.
  bool detached = false;      ///< All tokens of the source arrived: it may continue elsewhere.
};

/// Retry that the retry budget does not allow yet.
struct PendingRetry {
  base::Error failure;
  base::TimePoint retryUntil;
};

/// Record of one request from admission to its terminal output.
struct Request {
  CallerRequest caller;
  RequestMachine machine;
  std::uint64_t sequence = 0;  ///< Arrival order; breaks ties.
  base::TimePoint arrivedAt;
  base::TimePoint deadline;
  bool cold = false;             ///< No replica was ready when it arrived.
  bool claimed = false;          ///< The cell granted its idempotency key.
  bool timeoutExtended = false;  ///< Its time-out was extended after this process had been frozen.
  bool cannotMove = false;       ///< An export was refused: it stays at its engine.
  bool needsReplica = false;     ///< Its engine is leaving and no other replica is ready.

  base::TimePoint phaseDeadline = base::kNever;  ///< Time-out or end of the current state.
  base::TimePoint moveAt = base::kNever;  ///< Next check of a request whose engine is leaving.
  base::TimePoint timer = base::kNever;   ///< Time registered in the timer set.

  base::TimePoint claimDeadline = base::kNever;
  std::vector<std::uint64_t> claimSequences;  ///< Sequences of its unanswered ClaimRequests.

  std::uint32_t attempts = 0;                  ///< Number of attempts that were started.
  std::uint32_t failedAttempts = 0;            ///< Attempts that count against maxAttempts.
  std::optional<base::EngineId> failedEngine;  ///< Engine of the last failed attempt.
  /// Present in state backingOff while the retry budget is exhausted: the last failure, and the
  /// time until which the budget is checked again.
  std::optional<PendingRetry> pendingRetry;
  /// Present in states claiming (not started, id zero), starting, streaming and exporting.
  std::optional<Attempt> attempt;
  std::unique_ptr<Move> move;
  /// Set once tokens were delivered: the remaining ones have to come from the same weights.
  std::optional<resource::Servable> pinned;
  std::vector<std::uint64_t>
      prefixHashes;  ///< Hashes of the prompt, computed at the first attempt.
};

}  // namespace walnut::routing
