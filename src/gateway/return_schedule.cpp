#include "gateway/return_schedule.h"

#include <algorithm>

namespace walnut::gateway {

namespace {

/// Smallest difference between two times: Retry-After has two decimals.
constexpr base::Duration kMinInterval = std::chrono::milliseconds(10);

}  // namespace

base::Duration ReturnSchedule::add(const std::string& service, const std::string& model,
                                   base::TimePoint now, base::Duration expectedWait,
                                   base::Duration interval) {
  const base::Duration step = std::max(interval, kMinInterval);
  const base::TimePoint earliest = now + std::max(expectedWait, step);
  auto found = lastGiven_.find({service, model});
  if (found == lastGiven_.end()) {
    removeExpired(now);
    found = lastGiven_.emplace(std::pair(service, model), earliest).first;
  } else {
    found->second = std::max(earliest, found->second + step);
  }
  return found->second - now;
}

/// Keeps the size bounded by the models that callers were refused lately.
void ReturnSchedule::removeExpired(base::TimePoint now) {
  for (auto entry = lastGiven_.begin(); entry != lastGiven_.end();) {
    entry = entry->second < now ? lastGiven_.erase(entry) : std::next(entry);
  }
}

}  // namespace walnut::gateway
