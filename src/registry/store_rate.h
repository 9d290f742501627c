#pragma once
/// @file
/// Rate limit on the start of loads from the weight store.

#include <deque>
#include <optional>

#include "walnut/base/time.h"

namespace walnut::registry {

/// The window in which starts of loads are counted. Any window of this length may contain the rate
/// times its length times the overshoot, and a few loads more.
struct StoreWindow {
  base::Duration length = std::chrono::seconds(5);
  double overshoot = 1.1;
};

/// What a new leader knows of the loads that previous leaders ordered.
struct PreviousLoads {
  /// No such load starts after this time. `kNever` means unknown; no value means that previous
  /// leaders ordered none.
  std::optional<base::TimePoint> endedAt = base::kNever;
};

/// A token bucket that limits the start of loads, so that no window contains more loads than
/// allowed, wherever it starts. A load whose order had no clear outcome may start some seconds
/// later; the bucket's burst is reserved for such loads meanwhile.
class StoreRate {
 public:
  StoreRate() = default;
  explicit StoreRate(const PreviousLoads& previousLoads) : previousLoads_(previousLoads) {}

  /// @return the most loads that may start within that time of the first one, if none preceded it.
  static double maxStarts(double perSecond, const StoreWindow& window, base::Duration duration);

  /// @param perSecond the rate; 0 if it is not limited.
  void setLimit(double perSecond, const StoreWindow& window, base::TimePoint now);
  bool allows() const { return wait(0) == base::Duration::zero(); }
  /// @return time from the last `setLimit` until a load may start that comes after `before` others.
  base::Duration wait(std::size_t before) const;
  /// @return true if no load was started for so long that the next token would be lost.
  bool hasFullBurst() const { return perSecond_ <= 0 || tokens_ >= burst_; }
  void recordStart();
  void recordUnclear(base::TimePoint now) { unclearOrders_.push_back(now); }

 private:
  void initialize(base::TimePoint now);
  void refill(base::TimePoint now);

  PreviousLoads previousLoads_;
  double perSecond_ = 0;
  double burst_ = 1;
  double tokens_ = 0;
  std::optional<base::TimePoint> refilledAt_;  ///< Empty until the limit is first set.
  std::deque<base::TimePoint> unclearOrders_;  ///< Times of unclear outcomes, the oldest first.
};

}  // namespace walnut::registry
