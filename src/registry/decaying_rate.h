#pragma once
/// @file
/// Exponentially decaying mean of an event rate.

#include <cmath>

#include "walnut/base/time.h"

namespace walnut::registry {

/// Events per second, weighted by their age with an exponential decay.
class DecayingRate {
 public:
  /// Time constant of the decay in seconds, shorter than the time in which demand shifts from one
  /// model to another.
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
