#pragma once
/// @file
/// State changes of a request that are shared by all components of the router.

#include "routing/router_core.h"

namespace walnut::routing {

/// Reason for refusing a request, and whether the caller may retry.
struct Refusal {
  base::Error error;
  bool retryable = false;
  base::Duration retryAfter{0};
};

/// Whether an attempt was ended by the engine, or has to be cancelled there.
enum class AttemptEnd : std::uint8_t { byEngine, cancelled };

/// Performs the state changes of requests and keeps the tables consistent: a request in state
/// `queued` is in the queue; a request with an attempt holds a slot at its replica and is listed at
/// its engine.
class RequestLifecycle {
 public:
  explicit RequestLifecycle(RouterCore& core) : core_(core) {}

  /// Adds a request that is in state `queued` but not yet in the queue.
  void enqueue(Request& request);
  void dequeue(Request& request);
  /// Reserves a slot at the replica for the next attempt.
  void reserveSlot(Request& request, const ReadyReplica& replica,
                   const resource::Servable& servable);
  /// Frees the slot of the current attempt, if there is one. An attempt that was never dispatched
  /// needs no cancellation.
  void releaseAttempt(Request& request, AttemptEnd end);
  /// Drops the remaining data of a move; the engines that have the exported state may free it.
  void dropMove(Request& request);
  /// Discards the request's exported state that this process stores.
  void dropKeptState(Request& request);
  /// Sets the time-out of the request's current state.
  void setPhaseDeadline(Request& request, base::TimePoint at);
  void setMoveAt(Request& request, base::TimePoint at);
  void setNeedsReplica(Request& request, bool needs);

  /// @name Terminal outputs. The request is gone afterwards.
  /// @{
  void end(Request& request, engine::FinishReason reason);
  void refuse(Request& request, const Refusal& refusal);
  /// Removes the request without any output, because its caller disconnected.
  void abandon(Request& request);
  /// @}

  /// @return whether a caller may send the request again: it is repeatable or was not executed.
  static bool canBeResent(const Request& request);
  /// @return whether the request waits for a replica and can continue only from its exported state.
  static bool waitsWithExportedState(const Request& request);

 private:
  void remove(Request& request, AttemptEnd end);

  RouterCore& core_;
};

}  // namespace walnut::routing
