#pragma once
/// @file
/// Bounds how much of a kind of work is done within a short time, however much is asked for, so
/// that a loop gets back to its other work.

#include <cstddef>

#include "walnut/base/time.h"

namespace walnut::registry {

/// At most `most` items in each span of `spacing`, counted from the first of them. An item may
/// count as several.
class TurnLimit {
 public:
  TurnLimit(std::size_t most, base::Duration spacing) : most_(most), spacing_(spacing) {}

  /// @return false if the item has to wait.
  bool take(base::TimePoint now, std::size_t amount = 1) {
    if (now >= began_ + spacing_) {
      began_ = now;
      count_ = 0;
    }
    if (count_ >= most_) {
      return false;
    }
    count_ += amount;
    return true;
  }
  /// @return when `take` may succeed; a time long past: at once.
  base::TimePoint next() const {
    return count_ < most_ ? base::TimePoint::min() : began_ + spacing_;
  }

 private:
  const std::size_t most_;
  const base::Duration spacing_;
  base::TimePoint began_ = base::TimePoint();
  std::size_t count_ = 0;
};

}  // namespace walnut::registry
