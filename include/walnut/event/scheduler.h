#pragma once
/// @file
/// Time, timers and deferred calls of a single-threaded event loop, as its users see them. Tests
/// use an implementation with virtual time.

#include <functional>
#include <memory>

#include "walnut/base/time.h"

namespace walnut::event {

/// A timer that runs a callback once each time it is enabled. Destroying it disables it.
class Timer {
 public:
  virtual ~Timer() = default;
  /// Replaces an earlier time. A time that has passed means: in the next turn of the loop.
  virtual void enableAt(base::TimePoint time) = 0;
  virtual void disable() = 0;
};

using TimerPtr = std::unique_ptr<Timer>;

/// All calls and callbacks happen on the thread of the loop.
class Scheduler {
 public:
  virtual ~Scheduler() = default;
  /// @return the time at which the present turn of the loop began.
  virtual base::TimePoint now() const = 0;
  /// @return the time by the clock itself: later than `now` if the process stood still within the
  /// present turn, as what it read from a socket may be from after that.
  virtual base::TimePoint readClock() const { return now(); }
  virtual TimerPtr createTimer(std::function<void()> callback) = 0;
  /// Runs `callback` after the present one has returned. Used to destroy objects that are still on
  /// the call stack.
  virtual void runSoon(std::function<void()> callback) = 0;

  /// Destroys `object` after the present callback has returned.
  template <class T>
  void destroySoon(std::unique_ptr<T> object) {
    runSoon([kept = std::shared_ptr<T>(std::move(object))] {});
  }
};

}  // namespace walnut::event
