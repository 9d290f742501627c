#pragma once
/// @file
/// Handling of engine events for attempts, and of failed attempts.

#include "routing/request_lifecycle.h"

namespace walnut::routing {

/// Failure of an attempt.
struct AttemptFailure {
  base::Error error;
  bool engineFault = false;  ///< Counts as a failure in the engine's circuit breaker.
  AttemptEnd end = AttemptEnd::byEngine;
};

/// Handles the events of attempts and retries failed attempts if the request is repeatable or the
/// attempt is known not to have been started, within maxAttempts and the retry budget. An attempt
/// that found no replica counts against neither: it cost no engine any work, and the engine's
/// circuit breaker, or the time for which the engine is avoided, limits how many follow. Its
/// request waits for a replica until its deadline. A retry beyond the budget waits for it, for at
/// most two of its windows: many streams that break at once, e.g. by the loss of a zone, are
/// resumed at the rate of the budget. Only refusals by overloaded engines are passed on to the
/// caller at once. A repeatable request whose tokens were partly delivered continues after the last
/// one. Events of attempts other than the current one are discarded.
class AttemptHandler {
 public:
  AttemptHandler(RouterCore& core, RequestLifecycle& lifecycle)
      : core_(core), lifecycle_(lifecycle) {}

  void handleEvent(const engine::GenerateEvent& event);
  /// Handles the time-out of states `starting` and `streaming`, and the end of `backingOff`.
  void handlePhaseTimeout(Request& request);
  void fail(Request& request, const AttemptFailure& failure);
  /// Continues the request at another engine. The export and all tokens below its offset have
  /// arrived.
  void detach(Request& request);
  /// Runs the remainder of a repeatable request on another engine, without an export.
  void recompute(Request& request);

 private:
  Request* find(const base::RequestId& request, base::AttemptId attempt);
  void handle(Request& request, const engine::GenerateStarted& event);
  void handle(Request& request, const engine::GenerateToken& event);
  void handle(Request& request, const engine::GenerateEnded& event);
  void handle(Request& request, const engine::GenerateFailed& event);
  void enterStreaming(Request& request);
  void recordRefusal(const base::EngineId& engine, base::ErrorCode code);
  bool canRunAgain(const Request& request) const;
  /// Retries the request at once or as soon as the budget allows, or refuses it.
  void retry(Request& request, const base::Error& error);
  /// Checks the retry budget again for a request that waits for it.
  void retryPending(Request& request);
  void backOff(Request& request, std::uint32_t doublings);
  base::Duration backoffWithJitter(base::Duration ceiling);
  void giveUp(Request& request, const base::Error& error);
  /// Extends a time-out once if it fired late, which means that this process was frozen: events
  /// that the engine sent meanwhile have not been read yet.
  bool extendAfterFreeze(Request& request);

  RouterCore& core_;
  RequestLifecycle& lifecycle_;
};

}  // namespace walnut::routing
