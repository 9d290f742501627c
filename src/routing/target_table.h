#pragma once
/// @file
/// Observations of a router for each target, and the wait estimate that is derived from them.

#include <map>
#include <optional>
#include <string>

#include "routing/load_times.h"
#include "routing/moving_average.h"
#include "walnut/routing/router.h"

namespace walnut::routing {

/// Observations of one model or adapter at this router.
struct Target {
  std::uint32_t running = 0;  ///< Requests with an attempt or a reserved slot.
  std::uint32_t needingReplica =
      0;  ///< Streams that need another replica because their engine leaves.
  base::TimePoint lastArrival;
  /// Time since which requests have waited without a ready replica.
  std::optional<base::TimePoint> coldSince;
  /// End of the time for which demand is reported after a request was refused because no replica
  /// was ready, so that its caller finds one on a retry.
  base::TimePoint refusedDemandUntil;
  engine::Priority refusedPriority = engine::Priority::interactive;
  MovingAverage serviceTime;   ///< Time from dispatch to the end.
  MovingAverage startLatency;  ///< Time from dispatch to the first token.
  MovingAverage tokenInterval;
  LoadTimes loadTimes;
  /// Time of the next dispatch without any event; kNever if none is needed.
  base::TimePoint dispatchAt = base::kNever;
};

/// State of a target's queue and replicas at the time of an estimate.
struct QueueLoad {
  std::size_t readyReplicas = 0;
  std::size_t requestsAhead = 0;  ///< Waiting requests that are served earlier.
};

/// @return the estimated time from the arrival of a request to its first token. Without a ready
/// replica it includes the remaining time of the load. Requests ahead that find no free slot are
/// served at the observed service time. Values that were not yet observed count as zero, except for
/// the load, so that no request is refused on a guess.
base::Duration estimateWait(const Target& target, const QueueLoad& queueLoad, base::TimePoint now,
                            const RouterOptions& options);

}  // namespace walnut::routing
