#pragma once
/// @file
/// Exponentially weighted moving average of observed durations.

#include <optional>

#include "walnut/base/time.h"

namespace walnut::routing {

/// Exponentially weighted moving average of durations.
class MovingAverage {
 public:
  void observe(base::Duration sample) {
    if (!value_.has_value()) {
      value_ = sample;
      return;
    }
    value_ = *value_ + (sample - *value_) / kWeightDivisor;
  }
  /// @return the average; nothing until there was a sample.
  std::optional<base::Duration> value() const { return value_; }
  base::Duration valueOr(base::Duration fallback) const { return value_.value_or(fallback); }

 private:
  /// A new sample has a weight of 1/8, as in TCP's smoothed round-trip time (RFC 6298).
  static constexpr int kWeightDivisor = 8;
  std::optional<base::Duration> value_;
};

}  // namespace walnut::routing
