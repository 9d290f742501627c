#include "simulator/process.h"

#include <algorithm>
#include <utility>

namespace walnut::simulator {

Process::Process(Network& network, std::string name, std::string zone)
    : network_(network), name_(std::move(name)), host_(network.addHost(name_, std::move(zone))) {}

void Process::post(std::uint64_t life, std::function<void()> input) {
  if (state_ == ProcessState::dead || life != life_) {
    return;
  }
  if (state_ == ProcessState::frozen) {
    frozenInputs_.push_back(std::move(input));
    return;
  }
  input();
}

void Process::start() {
  if (alive() || !mayStart()) {
    return;
  }
  state_ = ProcessState::running;
  ++life_;
  scheduledWakeup_ = base::kNever;
  onStart();
}

void Process::freeze() {
  if (running()) {
    state_ = ProcessState::frozen;
    ++freezes_;
  }
}

void Process::thaw() {
  if (state_ != ProcessState::frozen) {
    return;
  }
  state_ = ProcessState::running;
  const std::uint64_t life = life_;
  while (!frozenInputs_.empty() && state_ == ProcessState::running && life == life_) {
    auto input = std::move(frozenInputs_.front());
    frozenInputs_.pop_front();
    input();
  }
}

void Process::kill() {
  if (!alive()) {
    return;
  }
  state_ = ProcessState::dead;
  frozenInputs_.clear();
  onKill();
}

void Process::scheduleWakeup(base::TimePoint local, std::function<void()> wake) {
  if (local == base::kNever) {
    return;
  }
  // A little after the asked time, as a real timer is; and never in the same instant again.
  const base::TimePoint time =
      std::max(toTrueTime(local), scheduler().now() + std::chrono::microseconds(50));
  if (scheduledWakeup_ <= time) {
    return;
  }
  scheduledWakeup_ = time;
  scheduler().at(time, [this, life = life_, time, wake = std::move(wake)] {
    if (life != life_ || scheduledWakeup_ != time) {
      return;  // Replaced by an earlier one, or of an earlier life.
    }
    scheduledWakeup_ = base::kNever;
    post(life, wake);
  });
}

}  // namespace walnut::simulator
