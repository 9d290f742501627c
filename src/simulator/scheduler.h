#pragma once
/// @file
/// Virtual time: one thread, events in order of time, then of their scheduling.

#include <cstdint>
#include <functional>
#include <vector>

#include "walnut/base/random.h"
#include "walnut/base/time.h"

namespace walnut::simulator {

/// Discrete-event scheduler. Deterministic: the same seed and calls give the same order.
class Scheduler {
 public:
  using Task = std::function<void()>;

  explicit Scheduler(std::uint64_t seed);

  /// True time of the run; a process's own clock may be offset from it.
  base::TimePoint now() const { return now_; }
  base::Random& random() { return random_; }

  /// Runs `task` at `time`, or next if that is past. Tasks of equal time run in call order.
  void at(base::TimePoint time, Task task);
  void after(base::Duration delay, Task task) { at(now_ + delay, std::move(task)); }

  /// Runs all tasks up to and including `end`; then `now()` is `end`.
  void runUntil(base::TimePoint end);

  std::uint64_t tasksRun() const { return tasksRun_; }

 private:
  struct Event {
    base::TimePoint time;
    std::uint64_t sequence = 0;
    Task task;
  };
  /// Heap order: the earliest event on top.
  static bool later(const Event& left, const Event& right);

  base::TimePoint now_;
  base::Random random_;
  std::uint64_t nextSequence_ = 0;
  std::uint64_t tasksRun_ = 0;
  std::vector<Event> heap_;
};

}  // namespace walnut::simulator
