#pragma once
/// @file
/// Decides what becomes of a stream that can't begin within its target latency, in a service whose
/// replicas are slow to add: it is sent late, waits at the gateway, or is refused. Pure.

#include <cstddef>
#include <cstdint>

#include "walnut/base/time.h"

namespace walnut::gateway {

struct LateStartInput {
  base::TimePoint now;
  base::TimePoint arrivedAt;
  base::TimePoint deadline;
  base::Duration callerTimeout{0};  ///< See `catalog::callerTimeout`.
  base::Duration targetLatency{0};
  /// Expected time until a slot of the best worker is free, by the loads last reported.
  base::Duration expectedWait{0};
  /// Mean time between two slots of the model becoming free, over all its replicas.
  base::Duration slotInterval{0};
  /// Streams of the model that wait at this gateway and have earlier deadlines.
  std::size_t waitingBefore = 0;
  std::uint32_t gateways = 1;
  bool isRetry = false;    ///< Its caller was refused before.
  bool hasWaited = false;  ///< It already waited here since it could not begin in time.
};

enum class LateStartAction : std::uint8_t { sendInTime, sendLate, wait, refuse };

struct LateStartDecision {
  LateStartAction action = LateStartAction::sendInTime;
  /// If `wait`: when the stream is refused if it could not be sent before.
  base::TimePoint until;
  /// Expected time until a slot is free for this stream. It counts the streams that wait before it,
  /// at all gateways.
  base::Duration expectedWait{0};
};

LateStartDecision decideLateStart(const LateStartInput& input);

/// @return true if the request is its caller's second attempt: callers return with the time that is
/// left to them, so it is shorter than the route's timeout by more than the target latency.
bool isRetryOfRefused(base::Duration timeLeft, base::Duration routeTimeout,
                      base::Duration targetLatency);

/// A late stream is sent once the expected wait at the best worker is at most this fraction (1/n)
/// of the target latency. The streams that are in time then still are so behind it. It keeps the
/// rank of its route: with the lowest one it would be overtaken at a busy worker until its caller
/// has left.
inline constexpr int kShortQueueDivisor = 4;
/// A first attempt waits for at most this fraction (1/n) of the caller timeout, a retry for all of
/// it.
inline constexpr int kFirstAttemptDivisor = 2;

}  // namespace walnut::gateway
