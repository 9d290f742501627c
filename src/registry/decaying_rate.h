#pragma once
/// @file
/// How often something happens, as a mean that forgets.

#include <cmath>

#include "walnut/base/time.h"

namespace walnut::registry {

/// Events a second, weighted by their age.
class DecayingRate {
 public:
  /// Time constant, in seconds: shorter than the time in which demand moves from one model to
  /// another.
  static constexpr double kSeconds = 8.0;

  void count(base::TimePoint now, double events = 1.0) {
    weight_ = decayed(now) + events;
    updatedAt_ = now;
  }
  double perSecond(base::TimePoint now) const { return decayed(now) / kSeconds; }

 private:
  double decayed(base::TimePoint now) const {
    const double age = std::chrono::duration<double>(now - updatedAt_).count();
    return weight_ * std::exp(-age / kSeconds);
  }

  double weight_ = 0;
  base::TimePoint updatedAt_;
};

}  // namespace walnut::registry
