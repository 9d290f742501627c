#pragma once
/// @file
/// Input queue of a process's single decision loop.

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

/// Queue with many producers and one consumer, in first-in, first-out order. The batch is bounded
/// so that the consumer still serves its timers under overload; the queue itself is unbounded:
/// producers that admit external work limit it by `size`.
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

  /// Waits for items until `deadline`.
  /// @return the queued items, at most `maxBatch`; empty if none came before `deadline`.
  std::vector<T> waitUntil(base::TimePoint deadline) {
    std::unique_lock lock(mutex_);
    while (items_.empty()) {
      const base::TimePoint time = now();
      if (time >= deadline) {
        break;
      }
      // The wait is bounded because the condition variable adds it to its own clock: the sum would
      // overflow for distant deadlines, and that clock stops while the machine is suspended.
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
  /// Maximum delay in noticing a deadline after a suspension. The timers of a controller's or
  /// router's loop are more frequent than this.
  static constexpr base::Duration kLongestWait = std::chrono::milliseconds(500);

  const std::size_t maxBatch_;
  mutable std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<T> items_;
};

}  // namespace walnut::runtime
