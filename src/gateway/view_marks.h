#pragma once
/// @file
/// Marks that a leader repeats in its views, by which a gateway knows how old a view is.

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

#include "walnut/base/time.h"

namespace walnut::gateway {

/// Numbers the marks and keeps the times at which they were sent. A view that repeats a mark holds
/// what the leader knew when the mark arrived, or later, so at least what it knew when the mark was
/// sent.
class ViewMarks {
 public:
  /// @param now read from the clock, not the loop's time.
  /// @return the mark to send.
  std::uint64_t next(base::TimePoint now) {
    sent_.push_back({++last_, now});
    if (sent_.size() > kMaxKept) {
      sent_.pop_front();
    }
    return last_;
  }

  /// @return when the mark was sent; nothing if it is 0, or too old to be kept.
  std::optional<base::TimePoint> sentAt(std::uint64_t mark) {
    while (!sent_.empty() && sent_.front().mark < mark) {
      sent_.pop_front();
    }
    return !sent_.empty() && sent_.front().mark == mark ? std::optional(sent_.front().at)
                                                        : std::nullopt;
  }

 private:
  /// A leader repeats the latest mark; older ones are of no use.
  static constexpr std::size_t kMaxKept = 16;

  struct Mark {
    std::uint64_t mark = 0;
    base::TimePoint at;
  };

  std::uint64_t last_ = 0;
  std::deque<Mark> sent_;
};

}  // namespace walnut::gateway
