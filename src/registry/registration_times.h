#pragma once
/// @file
/// Times at which workers registered recently.

#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "walnut/base/time.h"
#include "walnut/registry/worker.h"

namespace walnut::registry {

/// Recent registration times of workers. Every server records them by its own clock as it applies
/// the log, so that the next leader knows which workers have just started.
class RegistrationTimes {
 public:
  void registered(const WorkerId& worker, base::TimePoint now) {
    while (!byTime_.empty() && byTime_.front().first + kKept < now) {
      const auto found = times_.find(byTime_.front().second);
      if (found != times_.end() && found->second == byTime_.front().first) {
        times_.erase(found);
      }
      byTime_.pop_front();
    }
    times_[worker] = now;
    byTime_.emplace_back(now, worker);
  }
  /// @return when the worker registered; nothing if that was long ago.
  std::optional<base::TimePoint> of(const WorkerId& worker) const {
    const auto found = times_.find(worker);
    return found == times_.end() ? std::nullopt : std::optional(found->second);
  }

 private:
  /// Retention period; longer than any worker is cold.
  static constexpr base::Duration kKept = std::chrono::minutes(1);

  std::map<WorkerId, base::TimePoint> times_;
  std::deque<std::pair<base::TimePoint, WorkerId>> byTime_;  ///< Oldest first.
};

}  // namespace walnut::registry
