#pragma once
/// @file
/// Blocking queue that hands events of one request from the decision loop to its HTTP thread.

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "walnut/base/time.h"

namespace walnut::http {

/// Unbounded in itself; what is pushed is bounded by the request (its token limit, its pages).
template <class Event>
class EventQueue {
 public:
  /// Appends an event and wakes the reader. Any thread. The reader may destroy the queue as soon as
  /// it has the event: it is woken under the mutex, after which nothing here is used.
  void push(Event event) {
    const std::lock_guard<std::mutex> lock(mutex_);
    events_.push_back(std::move(event));
    available_.notify_one();
  }

  /// @return the oldest event, or nothing if none came within `timeout`.
  std::optional<Event> popFor(base::Duration timeout) {
    std::unique_lock<std::mutex> lock(mutex_);
    if (!available_.wait_for(lock, timeout, [this] { return !events_.empty(); })) {
      return std::nullopt;
    }
    Event event = std::move(events_.front());
    events_.pop_front();
    return event;
  }

  std::size_t size() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return events_.size();
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable available_;
  std::deque<Event> events_;
};

}  // namespace walnut::http
