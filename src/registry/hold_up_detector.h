#pragma once
/// @file
/// Notices that this process was held up, as on an overloaded host.

#include "walnut/base/time.h"

namespace walnut::registry {

/// Compares when the process runs with when it should have run at the latest.
class HoldUpDetector {
 public:
  explicit HoldUpDetector(base::TimePoint now) : nextRun_(now + kRunInterval) {}

  /// @return when the process has to run next, however idle it is.
  base::TimePoint nextRun() const { return nextRun_; }
  /// Notes that the process runs. @return by how much later than it should have; zero if in time.
  base::Duration ran(base::TimePoint now) {
    if (now < nextRun_) {
      return base::Duration::zero();
    }
    const base::Duration late = now - nextRun_;
    nextRun_ = now + kRunInterval;
    return late;
  }

 private:
  static constexpr base::Duration kRunInterval = std::chrono::milliseconds(100);

  base::TimePoint nextRun_;
};

}  // namespace walnut::registry
