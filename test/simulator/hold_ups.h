#pragma once
/// @file
/// Servers of a simulated fleet that stand still again and again, and when its gateways are ready.

#include <algorithm>
#include <vector>

#include "simulator/registry_fleet.h"

namespace walnut::simulator {

/// Holds up each server by itself, or all together, for up to a longest time.
class HoldUps {
 public:
  /// @param longest zero: no server stands still.
  HoldUps(RegistryFleet& fleet, base::Duration longest, bool together = false)
      : fleet_(fleet),
        longest_(longest),
        together_(together),
        nextAt_(fleet.serverCount()),
        readyAt_(fleet.gatewayCount(), base::Duration::max()) {}

  void run(base::Duration duration) {
    for (base::Duration passed{0}; passed < duration; passed += kStep) {
      holdUp();
      fleet_.run(kStep);
      time_ += kStep;
      admitting_ += fleet_.gatewaysAdmitting();
      samples_ += fleet_.gatewayCount();
      for (std::size_t gateway = 0; gateway < readyAt_.size(); ++gateway) {
        if (fleet_.gatewayAdmits(gateway)) {
          readyAt_[gateway] = std::min(readyAt_[gateway], time_);
        }
      }
    }
  }
  /// Counts from now on when gateways are ready.
  void beginReturn() {
    returnedAt_ = time_;
    std::fill(readyAt_.begin(), readyAt_.end(), base::Duration::max());
  }
  /// @return when the last gateway first let requests through, since the return.
  base::Duration allReadyAt() const {
    const base::Duration last = *std::max_element(readyAt_.begin(), readyAt_.end());
    return last == base::Duration::max() ? last : last - returnedAt_;
  }
  /// @return the share of the gateways that let requests through since the last call.
  double takeServedShare() {
    const double share = static_cast<double>(admitting_) / static_cast<double>(samples_);
    admitting_ = 0;
    samples_ = 0;
    return share;
  }

 private:
  static constexpr base::Duration kStep = std::chrono::milliseconds(20);
  static constexpr base::Duration kLongestRun = std::chrono::seconds(1);

  void holdUp() {
    if (longest_ == base::Duration::zero()) {
      return;
    }
    for (std::size_t server = 0; server < nextAt_.size(); ++server) {
      if (time_ < nextAt_[server]) {
        continue;
      }
      const base::Duration held = fleet_.random().between(kStep, longest_);
      nextAt_[server] = time_ + held + fleet_.random().between(base::Duration::zero(), kLongestRun);
      fleet_.suspendServer(server, held);
      for (std::size_t other = 0; together_ && other < nextAt_.size(); ++other) {
        fleet_.suspendServer(other, held);
        nextAt_[other] = nextAt_[server];
      }
    }
  }

  RegistryFleet& fleet_;
  const base::Duration longest_;
  const bool together_;
  std::vector<base::Duration> nextAt_;
  std::vector<base::Duration> readyAt_;
  base::Duration time_{0};
  base::Duration returnedAt_{0};
  std::size_t admitting_ = 0;
  std::size_t samples_ = 0;
};

}  // namespace walnut::simulator
