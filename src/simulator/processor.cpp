#include "simulator/processor.h"

#include <algorithm>
#include <utility>

namespace walnut::simulator {

void Processor::post(std::function<void()> input) {
  inputs_.push_back(std::move(input));
  if (!busy_) {
    runNext();
  }
}

void Processor::postFirst(std::function<void()> input) {
  firstInputs_.push_back(std::move(input));
  if (!busy_) {
    runNext();
  }
}

bool Processor::postponed(void (Processor::*step)()) {
  if (scheduler_.now() >= suspendedUntil_) {
    return false;
  }
  scheduler_.at(suspendedUntil_, [this, step, life = life_] {
    if (life == life_) {
      (this->*step)();
    }
  });
  return true;
}

void Processor::runNext() {
  busy_ = true;
  if (postponed(&Processor::runNext)) {
    return;
  }
  charged_ = base::Duration::zero();
  std::deque<std::function<void()>>& inputs = firstInputs_.empty() ? inputs_ : firstInputs_;
  const std::function<void()> input = std::move(inputs.front());
  inputs.pop_front();
  const std::uint64_t life = life_;
  input();
  if (life != life_) {
    return;
  }
  const auto taken =
      std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(charged_) / share_);
  longestTurn_ = std::max(longestTurn_, taken);
  scheduler_.after(taken, [this, life] {
    if (life == life_) {
      endTurn();
    }
  });
}

void Processor::endTurn() {
  if (postponed(&Processor::endTurn)) {
    return;
  }
  for (const std::function<void()>& output : std::exchange(outputs_, {})) {
    output();
  }
  busy_ = false;
  if (waitingCount() > 0) {
    runNext();
  }
}

void Processor::reset() {
  ++life_;
  busy_ = false;
  firstInputs_.clear();
  inputs_.clear();
  outputs_.clear();
}

base::Duration Processor::takeLongestTurn() {
  return std::exchange(longestTurn_, base::Duration::zero());
}

}  // namespace walnut::simulator
