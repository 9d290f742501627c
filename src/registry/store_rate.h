#pragma once
/// @file
/// The rate at which loads from the weight store may begin.

#include <deque>

#include "walnut/base/time.h"

namespace walnut::registry {

/// Loads are counted in any window of that length; a window may hold the rate's share of them times
/// the overshoot, and a few more.
struct StoreWindow {
  base::Duration length = std::chrono::seconds(5);
  double overshoot = 1.1;
};

/// A token bucket, so that no window holds more loads than allowed, wherever it begins. A load
/// whose order had no clear answer may begin some seconds later: while there are such, the bucket's
/// burst is kept for them.
class StoreRate {
 public:
  /// @param perSecond 0: not limited.
  void setLimit(double perSecond, const StoreWindow& window, base::TimePoint now);
  bool allows() const;
  void taken();
  void unclear(base::TimePoint now) { unclear_.push_back(now); }

 private:
  void refill(base::TimePoint now);

  double perSecond_ = 0;
  double burst_ = 1;
  double tokens_ = 1;  ///< A former leader may have used the burst.
  base::TimePoint refilledAt_;
  std::deque<base::TimePoint> unclear_;  ///< Oldest first.
};

}  // namespace walnut::registry
