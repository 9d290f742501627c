#pragma once
/// @file
/// State machine of one request: legal transitions, token order, and what is known of its
/// execution.

#include <cstdint>
#include <string>

#include "walnut/routing/router.h"

namespace walnut::routing {

/// State of a request. Transitions:
///   queued     -> claiming (not repeatable, not yet claimed) | starting
///                 | parking (the engine that has its exported state is leaving) | done
///   claiming   -> starting (granted) | queued (granted, but the replica is gone) | done
///   starting   -> streaming (started, or first token) | backingOff | done
///   streaming  -> exporting (its engine is leaving) | backingOff | done
///   exporting  -> queued (exported, or to be recomputed) | streaming (export refused)
///                 | backingOff | done
///   parking    -> queued (held, or refused) | done
///   backingOff -> queued | done
/// `done` is reached once; the request's single terminal output is given then.
enum class RequestState : std::uint8_t {
  queued,      ///< Waits for a slot at a replica.
  claiming,    ///< Waits for the cell to grant its idempotency key; holds a slot at a replica.
  starting,    ///< Dispatched to an engine; not known to have been started.
  streaming,   ///< The engine is running it.
  exporting,   ///< The engine was asked to export its key-value cache.
  parking,     ///< Its exported state moves to another engine, or this process stores it.
  backingOff,  ///< Waits before the next attempt.
  done,
};

enum class TokenCheck : std::uint8_t {
  deliver,    ///< The next expected token.
  duplicate,  ///< The token was already delivered.
  gap,        ///< A token before it is missing: the stream is broken.
};

/// State machine of one request.
class RequestMachine {
 public:
  RequestState state() const { return state_; }
  /// Enters the next state. Aborts the process on a transition that is not in the list above, since
  /// a request in an impossible state might be answered twice.
  void enter(RequestState next);

  /// Records that an attempt was dispatched to an engine.
  void markDispatched();
  /// Records that the engine runs, or ran, the current attempt.
  void markStarted();
  /// Records that the current attempt is known not to have been started. Ignored if it was observed
  /// to run.
  void markNotStarted();
  /// @return whether the current attempt may have been executed.
  bool attemptMayHaveRun() const { return currentAttempt_ != Executed::no; }
  /// @return `no` only if no attempt was dispatched, or each one is known not to have been started.
  Executed executed() const;

  TokenCheck checkToken(std::uint32_t offset) const;
  void deliver(const std::string& text);
  /// @return the number of delivered tokens, which is the next offset.
  std::uint32_t deliveredCount() const { return delivered_; }
  const std::string& deliveredText() const { return deliveredText_; }

 private:
  RequestState state_ = RequestState::queued;
  Executed currentAttempt_ = Executed::no;    ///< Outcome of the current attempt.
  Executed previousAttempts_ = Executed::no;  ///< Combined outcome of all earlier attempts.
  std::uint32_t delivered_ = 0;
  std::string deliveredText_;
};

}  // namespace walnut::routing
