#pragma once
/// @file
/// Life of a simulated process: running, frozen (its inputs queue in the kernel), dead.

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "simulator/network.h"
#include "walnut/base/time.h"

namespace walnut::simulator {

enum class ProcessState : std::uint8_t { dead, running, frozen };

/// Base of the nodes. Transitions: dead -> running (start), running <-> frozen, any -> dead (kill).
class Process {
 public:
  Process(Network& network, std::string name, std::string zone);
  virtual ~Process() = default;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  const std::string& name() const { return name_; }
  HostIndex host() const { return host_; }
  ProcessState state() const { return state_; }
  bool running() const { return state_ == ProcessState::running; }
  bool alive() const { return state_ != ProcessState::dead; }
  /// Counts the starts; input for an earlier life is discarded.
  std::uint64_t life() const { return life_; }

  /// The process's own clock; it goes on while the process is frozen.
  base::TimePoint localNow() const { return scheduler().now() + clockOffset_; }
  base::TimePoint toTrueTime(base::TimePoint local) const { return local - clockOffset_; }
  void setClockOffset(base::Duration offset) { clockOffset_ = offset; }

  /// Hands an input to this life of the process: now, on thaw if it is frozen, never if it is dead.
  void post(std::uint64_t life, std::function<void()> input);

  /// Counts the freezes.
  std::uint64_t freezes() const { return freezes_; }

  void start();
  void freeze();
  void thaw();
  void kill();

 protected:
  /// @return false if the machine is not there to start on.
  virtual bool mayStart() const { return true; }
  virtual void onStart() = 0;
  /// The process is gone: close its connections. `state()` is dead already.
  virtual void onKill() = 0;

  /// Calls `wake` at local time `time`, unless an earlier wake-up is scheduled already.
  void scheduleWakeup(base::TimePoint local, std::function<void()> wake);

  Network& network() const { return network_; }
  Scheduler& scheduler() const { return network_.scheduler(); }

 private:
  Network& network_;
  std::string name_;
  HostIndex host_;
  ProcessState state_ = ProcessState::dead;
  std::uint64_t life_ = 0;
  std::uint64_t freezes_ = 0;
  base::Duration clockOffset_{0};
  std::deque<std::function<void()>> frozenInputs_;
  base::TimePoint scheduledWakeup_ = base::kNever;  ///< True time.
};

}  // namespace walnut::simulator
