#pragma once
/// @file
/// The rate at which loads from the weight store may begin.

#include <deque>
#include <optional>

#include "walnut/base/time.h"

namespace walnut::registry {

/// Loads are counted in any window of that length; a window may hold the rate's share of them times
/// the overshoot, and a few more.
struct StoreWindow {
  base::Duration length = std::chrono::seconds(5);
  double overshoot = 1.1;
};

/// What a leader knows of the loads that former leaders began.
struct FormerLoads {
  /// None began after that; never: not known; nothing: there were none at all.
  std::optional<base::TimePoint> endedAt = base::kNever;
};

/// A token bucket, so that no window holds more loads than allowed, wherever it begins. A load
/// whose order had no clear answer may begin some seconds later: while there are such, the bucket's
/// burst is kept for them.
class StoreRate {
 public:
  StoreRate() = default;
  explicit StoreRate(const FormerLoads& former) : former_(former) {}

  /// @return loads that may begin in that time from the first one on, if none began before.
  static double mostBegun(double perSecond, const StoreWindow& window, base::Duration duration);

  /// @param perSecond 0: not limited.
  void setLimit(double perSecond, const StoreWindow& window, base::TimePoint now);
  bool allows() const { return wait(0) == base::Duration::zero(); }
  /// @return time from the last `setLimit` until a load may begin that so many others precede.
  base::Duration wait(std::size_t before) const;
  void taken();
  void unclear(base::TimePoint now) { unclear_.push_back(now); }

 private:
  void begin(base::TimePoint now);
  void refill(base::TimePoint now);

  FormerLoads former_;
  double perSecond_ = 0;
  double burst_ = 1;
  double tokens_ = 0;
  std::optional<base::TimePoint> refilledAt_;  ///< Nothing: there was no limit yet.
  std::deque<base::TimePoint> unclear_;        ///< Oldest first.
};

}  // namespace walnut::registry
