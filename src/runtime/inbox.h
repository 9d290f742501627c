#pragma once
/// @file
/// Queue in front of the one decision loop of a process.

#include <algorithm>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <iterator>
#include <mutex>
#include <utility>
#include <vector>

#include "walnut/base/time.h"
#include "walnut/runtime/clock.h"

namespace walnut::runtime {

/// Many producers, one consumer. Items leave in the order of `push`. The batch is bounded so that
/// the consumer gets back to its timers under a flood; the queue itself is not: producers that
/// admit outside work bound it by `size`.
template <class T>
class Inbox {
 public:
  static constexpr std::size_t kDefaultMaxBatch = 4096;

  explicit Inbox(std::size_t maxBatch = kDefaultMaxBatch) : maxBatch_(maxBatch) {}

  void push(T item) {
    {
      const std::lock_guard lock(mutex_);
      items_.push_back(std::move(item));
    }
    ready_.notify_one();
  }

  /// @return the queued items, at most `maxBatch`; empty once `deadline` has passed without any.
  std::vector<T> waitUntil(base::TimePoint deadline) {
    std::unique_lock lock(mutex_);
    while (items_.empty()) {
      const base::TimePoint time = now();
      if (time >= deadline) {
        break;
      }
      // Bounded, as the condition variable adds the wait to its own clock, which would overflow and
      // stands still while the machine is suspended.
      ready_.wait_for(lock, std::min<base::Duration>(deadline - time, kLongestWait));
    }
    const std::size_t count = std::min(items_.size(), maxBatch_);
    const auto end = items_.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<T> batch(std::make_move_iterator(items_.begin()), std::make_move_iterator(end));
    items_.erase(items_.begin(), end);
    return batch;
  }

  /// @return the number of queued items at this moment.
  std::size_t size() const {
    const std::lock_guard lock(mutex_);
    return items_.size();
  }

 private:
  /// How late a deadline may be seen after a suspension. A controller's or router's loop has
  /// timers more often than that.
  static constexpr base::Duration kLongestWait = std::chrono::milliseconds(500);

  const std::size_t maxBatch_;
  mutable std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<T> items_;
};

}  // namespace walnut::runtime
