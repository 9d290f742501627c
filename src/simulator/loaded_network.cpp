#include "simulator/loaded_network.h"

#include <algorithm>
#include <utility>

namespace walnut::simulator {

HostIndex LoadedNetwork::addHost(std::string name, std::string zone, double bytesPerSecond) {
  const HostIndex host = network_.addHost(std::move(name), std::move(zone));
  links_.resize(host + 1);
  links_[host].bytesPerSecond = bytesPerSecond;
  return host;
}

base::Duration LoadedNetwork::timeOf(std::size_t bytes, const Link& link) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(static_cast<double>(bytes) / link.bytesPerSecond));
}

void LoadedNetwork::transfer(HostIndex from, HostIndex to, std::size_t bytes,
                             std::function<void()> deliver) {
  if (!network_.reachable(from, to)) {
    return;
  }
  Scheduler& scheduler = network_.scheduler();
  Link& sender = links_[from];
  Link& receiver = links_[to];
  sender.sendFree = std::max(scheduler.now(), sender.sendFree) + timeOf(bytes, sender);
  const base::TimePoint reached = sender.sendFree + network_.drawDelay(from, to);
  receiver.receiveFree = std::max(reached, receiver.receiveFree) + timeOf(bytes, receiver);
  base::TimePoint& last = lastArrivals_[{from, to}];
  last = std::max(last, receiver.receiveFree);
  scheduler.at(last, std::move(deliver));
}

}  // namespace walnut::simulator
