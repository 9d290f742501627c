#pragma once
/// @file
/// Rate limit on one kind of work in an event loop, so that the loop gets back to its other work
/// however much of it is requested.

#include <cstddef>

#include "walnut/base/time.h"

namespace walnut::registry {

/// Admits at most `most` items in each interval of length `spacing`, which starts with its first
/// item. An item may count as several; the last one admitted may exceed the limit.
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
  /// @return when `take` may next succeed; a time in the distant past if it may now.
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
