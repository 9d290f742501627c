#include "routing/target_table.h"

#include <algorithm>

namespace walnut::routing {

base::Duration estimateWait(const Target& target, const QueueLoad& queueLoad, base::TimePoint now,
                            const RouterOptions& options) {
  base::Duration wait = target.startLatency.valueOr(base::Duration(0));
  if (queueLoad.readyReplicas == 0) {
    const base::TimePoint since = target.coldSince.value_or(now);
    const base::TimePoint loaded =
        since + target.loadTimes.estimate(now, options.initialLoadEstimate);
    wait += std::max(base::Duration(0), loaded - now);
  }
  const std::size_t replicas = std::max<std::size_t>(1, queueLoad.readyReplicas);
  const std::size_t slots = replicas * std::max(1U, options.maxRunningPerReplica);
  const std::size_t usedSlots = target.running + queueLoad.requestsAhead;
  if (usedSlots < slots) {
    return wait;
  }
  const auto serviceMicros =
      static_cast<double>(target.serviceTime.valueOr(base::Duration(0)).count());
  const double serviceRounds =
      static_cast<double>(usedSlots - slots + 1) / static_cast<double>(slots);
  return wait + base::Duration(static_cast<base::Duration::rep>(serviceRounds * serviceMicros));
}

}  // namespace walnut::routing
