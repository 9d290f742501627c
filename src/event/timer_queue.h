#pragma once
/// @file
/// Queue of timers, ordered by time.

#include <functional>
#include <map>

#include "walnut/event/scheduler.h"

namespace walnut::event {

/// Queue of the enabled timers of an event loop. It does not own them: a timer is registered while
/// it is enabled. The queue must outlive its timers.
class TimerQueue {
 public:
  TimerPtr create(std::function<void()> callback);

  /// @return when the next timer is due; kNever if none is enabled.
  base::TimePoint next() const { return due_.empty() ? base::kNever : due_.begin()->first; }

  /// Runs the timers that are due at `now`. Timers that are enabled during this call run in a later
  /// call.
  void runDue(base::TimePoint now);

 private:
  class TimerImpl;
  using DueTimers = std::multimap<base::TimePoint, TimerImpl*>;

  DueTimers due_;
  base::TimePoint runningAt_ = base::TimePoint::min();  ///< Set only during `runDue`.
};

}  // namespace walnut::event
