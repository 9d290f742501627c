#pragma once
/// @file
/// Count of the requests within a period that ends now.

#include <cstdint>
#include <deque>
#include <utility>

#include "walnut/base/time.h"

namespace walnut::registry {

/// Counts the requests of the last `kPeriod`. Requests that came within `kResolution` of each other
/// are kept as one entry, which bounds their number.
class RecentRequests {
 public:
  /// Callers come back within seconds, or not at all.
  static constexpr base::Duration kPeriod = std::chrono::seconds(20);
  static constexpr base::Duration kResolution = std::chrono::milliseconds(500);

  void add(std::uint32_t requests, base::TimePoint now) {
    while (!entries_.empty() && !isRecent(entries_.front(), now)) {
      entries_.pop_front();
    }
    if (entries_.empty() || now >= entries_.back().first + kResolution) {
      entries_.emplace_back(now, 0);
    }
    entries_.back().second += requests;
  }
  void clear() { entries_.clear(); }
  std::uint32_t count(base::TimePoint now) const {
    std::uint32_t total = 0;
    for (const Entry& entry : entries_) {
      total += isRecent(entry, now) ? entry.second : 0;
    }
    return total;
  }

 private:
  using Entry = std::pair<base::TimePoint, std::uint32_t>;  ///< First arrival, number of requests.

  static bool isRecent(const Entry& entry, base::TimePoint now) {
    return now < entry.first + kPeriod;
  }

  std::deque<Entry> entries_;  ///< The oldest first.
};

}  // namespace walnut::registry
