#pragma once
/// @file
/// Drives an object without I/O from real threads: one mutex around it, one thread for its timers.

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>

#include "walnut/base/time.h"
#include "walnut/runtime/clock.h"

namespace walnut::rehearsal {

/// Invariant: whenever the mutex is free, `step` has run after the last change, and `wakeup_` is
/// what it returned.
class StepThread {
 public:
  /// Runs what is due by `now`; called with the mutex held.
  /// @return when it wants to be called next, or base::kNever.
  using Step = std::function<base::TimePoint(base::TimePoint now)>;

  explicit StepThread(Step step) : step_(std::move(step)), thread_([this] { loop(); }) {}
  StepThread(const StepThread&) = delete;
  StepThread& operator=(const StepThread&) = delete;

  ~StepThread() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
  }

  /// Calls `body(now)` with the mutex held, then the step. Any thread.
  template <class Body>
  auto run(Body body) {
    const std::lock_guard lock(mutex_);
    const base::TimePoint now = runtime::now();
    auto result = body(now);
    wakeup_ = step_(now);
    changed_.notify_all();
    return result;
  }

 private:
  /// Bounded, as the condition variable adds the wait to its own clock and would overflow.
  static constexpr base::Duration kLongestWait = std::chrono::minutes(1);

  void loop() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      const base::TimePoint now = runtime::now();
      if (now >= wakeup_) {
        wakeup_ = step_(now);
        continue;
      }
      const bool far = wakeup_ == base::kNever || wakeup_ - now > kLongestWait;
      changed_.wait_for(lock, far ? kLongestWait : wakeup_ - now);
    }
  }

  Step step_;
  std::mutex mutex_;
  std::condition_variable changed_;
  base::TimePoint wakeup_ = base::kNever;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace walnut::rehearsal
