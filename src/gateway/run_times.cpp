#include "gateway/run_times.h"

#include <algorithm>

namespace walnut::gateway {

void RunTimes::record(const std::string& route, base::Duration time, base::TimePoint now) {
  const auto [found, isNew] = routes_.try_emplace(route, Longest{now, time, std::nullopt});
  Longest& entry = found->second;
  if (now >= entry.periodBegan + kPeriod) {
    const bool follows = now < entry.periodBegan + 2 * kPeriod;
    entry = {now, time, follows ? std::optional(entry.present) : std::nullopt};
  }
  entry.present = std::max(entry.present, time);
}

std::optional<base::Duration> RunTimes::longest(const std::string& route,
                                                base::TimePoint now) const {
  const auto found = routes_.find(route);
  if (found == routes_.end() || now >= found->second.periodBegan + 2 * kPeriod) {
    return std::nullopt;
  }
  const Longest& entry = found->second;
  return std::max(entry.present, entry.previous.value_or(entry.present));
}

}  // namespace walnut::gateway
