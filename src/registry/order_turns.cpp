#include "registry/order_turns.h"

#include <algorithm>

namespace walnut::registry {

void OrderTurns::ordered(const std::vector<WorkerId>& workers, base::TimePoint now) {
  for (const WorkerId& worker : workers) {
    orderedAt_[worker] = now;
  }
}

base::TimePoint OrderTurns::allowedAt(const WorkerId& worker, base::TimePoint electedAt,
                                      base::Duration lease) const {
  const auto found = orderedAt_.find(worker);
  const base::TimePoint orderedAt =
      found == orderedAt_.end() ? unknownAt_ : std::max(found->second, unknownAt_);
  return std::min(orderedAt + kRecordedOrderLifetime, electedAt) + lease + kTurnMargin;
}

}  // namespace walnut::registry
