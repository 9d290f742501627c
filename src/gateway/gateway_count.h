#pragma once
/// @file
/// Number of gateways by which a gateway divides what all gateways share.

#include <algorithm>
#include <cstdint>
#include <deque>

#include "walnut/base/time.h"

namespace walnut::gateway {

/// The largest number of gateways that leaders have announced lately. A smaller number is not
/// believed at once: a new leader counts only the gateways that have reached it, and one that is
/// cut off from the leader goes on with its share.
class GatewayCount {
 public:
  /// Longer than most partitions and changes of leader.
  static constexpr base::Duration kHold = std::chrono::seconds(30);

  /// @param assumed number until the first one is announced.
  explicit GatewayCount(std::uint32_t assumed) : assumed_(assumed) {}

  void announced(std::uint32_t count, base::TimePoint now) {
    count = std::max<std::uint32_t>(1, count);
    while (!latest_.empty() && latest_.back().count <= count) {
      latest_.pop_back();
    }
    latest_.push_back({count, now});
    while (now - latest_.front().lastAnnounced >= kHold) {
      latest_.pop_front();
    }
  }
  std::uint32_t value() const { return latest_.empty() ? assumed_ : latest_.front().count; }

 private:
  struct Announced {
    std::uint32_t count = 0;
    base::TimePoint lastAnnounced;
  };

  const std::uint32_t assumed_;
  std::deque<Announced> latest_;  ///< Falling counts; each was announced before the next one.
};

}  // namespace walnut::gateway
