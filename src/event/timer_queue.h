#pragma once
/// @file
/// Timers ordered by time.

#include <functional>
#include <map>

#include "walnut/event/scheduler.h"

namespace walnut::event {

/// Owner of no timer: a timer registers here while it is enabled. Must outlive its timers.
class TimerQueue {
 public:
  TimerPtr create(std::function<void()> callback);

  /// @return when the next timer is due; kNever if none is enabled.
  base::TimePoint next() const { return due_.empty() ? base::kNever : due_.begin()->first; }

  /// Runs what is due at `now`. Timers that are enabled meanwhile run in a later call.
  void runDue(base::TimePoint now);

 private:
  class TimerImpl;
  using DueTimers = std::multimap<base::TimePoint, TimerImpl*>;

  DueTimers due_;
  base::TimePoint runningAt_ = base::TimePoint::min();  ///< Set while `runDue` is at work.
};

}  // namespace walnut::event
