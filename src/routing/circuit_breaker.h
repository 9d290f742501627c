#pragma once
/// @file
/// Circuit breaker of one engine.

#include <cstdint>

#include "walnut/base/time.h"

namespace walnut::routing {

/// State of a circuit breaker. Transitions:
///   closed   -> open (consecutive failures)     open -> halfOpen (time passed, trial started)
///   halfOpen -> closed (trial succeeded) | open (trial failed)
enum class BreakerState : std::uint8_t { closed, open, halfOpen };

/// Blocks attempts at an engine after consecutive failures, until a trial succeeds.
class CircuitBreaker {
 public:
  BreakerState state() const { return state_; }

  /// @return whether an attempt may be made now. In state `open`, once the time has passed, this
  /// attempt is the trial.
  bool allows(base::TimePoint now) const {
    return state_ == BreakerState::closed || (state_ == BreakerState::open && now >= openUntil_);
  }
  /// @return when to check again while `allows` is false. A trial in progress may end at any time.
  base::TimePoint allowsAt() const {
    return state_ == BreakerState::open ? openUntil_ : base::TimePoint();
  }
  /// Records that an attempt is made.
  void recordAttempt() {
    if (state_ == BreakerState::open) {
      state_ = BreakerState::halfOpen;
    }
  }
  /// Records that the engine runs an attempt.
  void recordSuccess() {
    state_ = BreakerState::closed;
    failures_ = 0;
  }
  void recordFailure(base::TimePoint now, std::uint32_t threshold, base::Duration openFor) {
    ++failures_;
    if (state_ == BreakerState::halfOpen || failures_ >= threshold) {
      state_ = BreakerState::open;
      openUntil_ = now + openFor;
    }
  }
  /// Records that an attempt ended without an indication of the engine's health, e.g. by the
  /// caller. If it was the trial, another trial may start.
  void recordNoOutcome(base::TimePoint now) {
    if (state_ == BreakerState::halfOpen) {
      state_ = BreakerState::open;
      openUntil_ = now;
    }
  }

 private:
  BreakerState state_ = BreakerState::closed;
  std::uint32_t failures_ = 0;
  base::TimePoint openUntil_;
};

}  // namespace walnut::routing
