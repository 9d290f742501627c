#pragma once
/// @file
/// The processor of one simulated process: a share of a core that takes one input at a time.

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

#include "simulator/scheduler.h"
#include "walnut/base/time.h"

namespace walnut::simulator {

/// Inputs wait in order while an earlier one is worked on. What an input puts out leaves when the
/// processor time that it was charged is over, so that slow work is late work.
class Processor {
 public:
  /// @param share of a core, over 0.
  Processor(Scheduler& scheduler, double share) : scheduler_(scheduler), share_(share) {}

  void post(std::function<void()> input);
  /// Before all that waits, but for what was posted so before.
  void postFirst(std::function<void()> input);
  /// Processor time of a whole core that the present input takes.
  void charge(base::Duration time) {
    charged_ += time;
    used_ += time;
  }
  /// @return what the present input was charged so far, in time of this share.
  base::Duration turnTime() const {
    return std::chrono::duration_cast<base::Duration>(charged_ / share_);
  }
  /// Runs `output` when the present input's time is over.
  void atEndOfTurn(std::function<void()> output) { outputs_.push_back(std::move(output)); }
  void setShare(double share) { share_ = share; }
  /// @return inputs that wait behind the present one.
  std::size_t waitingCount() const { return firstInputs_.size() + inputs_.size(); }
  /// The machine stands still: time goes on, and neither inputs nor outputs do.
  void suspend(base::Duration duration) { suspendedUntil_ = scheduler_.now() + duration; }
  /// The process ended: what waits or is under way never happens.
  void reset();

  /// @return processor time of a whole core that was charged since the last call.
  base::Duration takeUsedTime() { return std::exchange(used_, base::Duration::zero()); }
  /// The longest time that one input took since the last call.
  base::Duration takeLongestTurn();

 private:
  void runNext();
  void endTurn();
  /// @return true if `step` runs later, as the machine stands still.
  bool postponed(void (Processor::*step)());

  Scheduler& scheduler_;
  double share_;
  base::TimePoint suspendedUntil_;
  bool busy_ = false;
  std::uint64_t life_ = 0;
  base::Duration charged_{0};
  base::Duration used_{0};
  base::Duration longestTurn_{0};
  std::deque<std::function<void()>> firstInputs_;
  std::deque<std::function<void()>> inputs_;
  std::vector<std::function<void()>> outputs_;
};

}  // namespace walnut::simulator
