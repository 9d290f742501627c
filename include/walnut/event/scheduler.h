#pragma once
/// @file
/// Interface to the clock, timers and deferred calls of a single-threaded event loop. Tests use an
/// implementation with virtual time.

#include <functional>
#include <memory>

#include "walnut/base/time.h"

namespace walnut::event {

/// One-shot timer: runs its callback once each time it is enabled. Destroying it disables it.
class Timer {
 public:
  virtual ~Timer() = default;
  /// Schedules the callback, replacing an earlier time. If the time has already passed, the
  /// callback runs in the next iteration of the event loop.
  virtual void enableAt(base::TimePoint time) = 0;
  virtual void disable() = 0;
};

using TimerPtr = std::unique_ptr<Timer>;

/// Clock, timers and deferred calls of an event loop. All calls and callbacks happen on the event
/// loop's thread.
class Scheduler {
 public:
  virtual ~Scheduler() = default;
  /// @return the time at which the current iteration of the event loop began.
  virtual base::TimePoint now() const = 0;
  /// @return the current time of the clock. It is later than `now` if the process was stopped
  /// during the current iteration; data read from a socket may then have been sent after `now`.
  virtual base::TimePoint readClock() const { return now(); }
  virtual TimerPtr createTimer(std::function<void()> callback) = 0;
  /// Runs `callback` after the current callback has returned. Used to destroy objects that are
  /// still on the call stack.
  virtual void runSoon(std::function<void()> callback) = 0;

  /// Destroys `object` after the current callback has returned.
  template <class T>
  void destroySoon(std::unique_ptr<T> object) {
    runSoon([kept = std::shared_ptr<T>(std::move(object))] {});
  }
};

}  // namespace walnut::event
