#pragma once
/// @file
/// A network whose links have a rate: what is sent to or from a machine waits for what was sent
/// before. Delays and cuts are those of Network.

#include <functional>
#include <map>
#include <string>

#include "simulator/network.h"

namespace walnut::simulator {

class LoadedNetwork {
 public:
  explicit LoadedNetwork(Scheduler& scheduler) : network_(scheduler, NetworkOptions{}) {}

  /// @param bytesPerSecond of the machine's link, in each direction.
  HostIndex addHost(std::string name, std::string zone, double bytesPerSecond);
  /// Runs `deliver` when the last byte has arrived; never if the machines are cut off.
  /// Transfers between two machines arrive in the order in which they were sent.
  void transfer(HostIndex from, HostIndex to, std::size_t bytes, std::function<void()> deliver);

  Network& network() { return network_; }

 private:
  struct Link {
    double bytesPerSecond = 0;
    base::TimePoint sendFree;
    base::TimePoint receiveFree;
  };
  static base::Duration timeOf(std::size_t bytes, const Link& link);

  Network network_;
  std::vector<Link> links_;  ///< By host.
  std::map<std::pair<HostIndex, HostIndex>, base::TimePoint> lastArrivals_;
};

}  // namespace walnut::simulator
