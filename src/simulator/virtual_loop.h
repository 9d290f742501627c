#pragma once
/// @file
/// The event loop of a process in virtual time.

#include <functional>
#include <utility>
#include <vector>

#include "event/timer_queue.h"
#include "simulator/scheduler.h"

namespace walnut::simulator {

/// Its owner runs what is due, and asks when to come back.
class VirtualLoop : public event::Scheduler {
 public:
  explicit VirtualLoop(const simulator::Scheduler& time) : time_(time) {}

  base::TimePoint now() const override { return time_.now(); }
  event::TimerPtr createTimer(std::function<void()> callback) override {
    return timers_.create(std::move(callback));
  }
  void runSoon(std::function<void()> callback) override {
    deferred_.push_back(std::move(callback));
  }

  void runDue() { timers_.runDue(time_.now()); }
  void runDeferred() {
    while (!deferred_.empty()) {
      for (const auto& callback : std::exchange(deferred_, {})) {
        callback();
      }
    }
  }
  base::TimePoint next() const { return timers_.next(); }

 private:
  const simulator::Scheduler& time_;
  event::TimerQueue timers_;
  std::vector<std::function<void()>> deferred_;
};

}  // namespace walnut::simulator
