#include "simulator/network.h"

#include <algorithm>

namespace walnut::simulator {

Network::Network(Scheduler& scheduler, NetworkOptions options)
    : scheduler_(scheduler), options_(options) {}

HostIndex Network::addHost(std::string name, std::string zone) {
  hosts_.push_back(Host{std::move(name), std::move(zone)});
  return hosts_.size() - 1;
}

void Network::healAll() {
  cuts_.clear();
  congestion_ = base::Duration{0};
}

base::Duration Network::drawDelay(HostIndex from, HostIndex to) {
  const bool sameZone = hosts_[from].zone == hosts_[to].zone;
  const base::Duration low = sameZone ? options_.withinZone : options_.betweenZones;
  const auto spread =
      base::Duration(static_cast<std::int64_t>(static_cast<double>(low.count()) * options_.jitter));
  base::Duration delay = scheduler_.random().between(low, low + spread);
  if (congestion_ > base::Duration{0}) {
    delay += scheduler_.random().between(base::Duration{0}, congestion_);
  }
  return delay;
}

Pipe::Pipe(Network& network, HostIndex from, HostIndex to)
    : network_(network), from_(from), to_(to) {}

void Pipe::send(std::function<void()> deliver) {
  if (closed_) {
    return;
  }
  waiting_.push_back(std::move(deliver));
  pump();
}

void Pipe::pump() {
  if (!network_.reachable(from_, to_)) {
    if (!retryScheduled_) {
      retryScheduled_ = true;
      network_.scheduler().after(kRetransmitInterval, [self = shared_from_this()] {
        self->retryScheduled_ = false;
        if (!self->closed_) {
          self->pump();
        }
      });
    }
    return;
  }
  while (!waiting_.empty()) {
    const base::TimePoint drawn = network_.scheduler().now() + network_.drawDelay(from_, to_);
    lastArrival_ = std::max(drawn, lastArrival_ + base::Duration{1});
    network_.scheduler().at(lastArrival_,
                            [self = shared_from_this(), deliver = std::move(waiting_.front())] {
                              if (!self->closed_) {
                                deliver();
                              }
                            });
    waiting_.pop_front();
  }
}

}  // namespace walnut::simulator
