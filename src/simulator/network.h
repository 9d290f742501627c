#pragma once
/// @file
/// Simulated network: delays by zone pair, cuts in one direction or both, ordered pipes.

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "simulator/scheduler.h"
#include "walnut/base/time.h"

namespace walnut::simulator {

/// A machine on the network, by its index.
using HostIndex = std::size_t;

/// Delays between zones, one way. Source: the sizes of today in the requirements.
struct NetworkOptions {
  base::Duration withinZone = std::chrono::microseconds(200);
  base::Duration betweenZones = std::chrono::milliseconds(2);
  /// Each delay is drawn from [base, base * (1 + jitter)].
  double jitter = 0.5;
};

class Network {
 public:
  Network(Scheduler& scheduler, NetworkOptions options);

  HostIndex addHost(std::string name, std::string zone);
  const std::string& hostName(HostIndex host) const { return hosts_[host].name; }
  const std::string& hostZone(HostIndex host) const { return hosts_[host].zone; }
  std::size_t hostCount() const { return hosts_.size(); }

  /// One way; a cut is silent: nothing arrives and nobody is told.
  void cut(HostIndex from, HostIndex to) { cuts_.insert({from, to}); }
  void heal(HostIndex from, HostIndex to) { cuts_.erase({from, to}); }
  void healAll();
  bool reachable(HostIndex from, HostIndex to) const { return !cuts_.contains({from, to}); }

  /// Draws the delay of one packet.
  base::Duration drawDelay(HostIndex from, HostIndex to);

  /// Adds up to `extra` to every delay; zero ends it.
  void setCongestion(base::Duration extra) { congestion_ = extra; }

  Scheduler& scheduler() { return scheduler_; }

 private:
  struct Host {
    std::string name;
    std::string zone;
  };

  Scheduler& scheduler_;
  NetworkOptions options_;
  std::vector<Host> hosts_;
  std::set<std::pair<HostIndex, HostIndex>> cuts_;
  base::Duration congestion_{0};
};

/// One direction of a connection, as TCP gives it: in order, each once; what is sent into a cut is
/// retransmitted until the cut is over or the pipe is closed. Shared by its users, because
/// deliveries are under way after they have gone.
class Pipe : public std::enable_shared_from_this<Pipe> {
 public:
  Pipe(Network& network, HostIndex from, HostIndex to);

  /// Runs `deliver` on arrival, unless the pipe is closed before.
  void send(std::function<void()> deliver);
  /// What is under way never arrives.
  void close() { closed_ = true; }
  bool closed() const { return closed_; }
  /// True while something that was sent can't get through.
  bool stalled() const { return !waiting_.empty(); }
  HostIndex from() const { return from_; }
  HostIndex to() const { return to_; }

 private:
  void pump();

  static constexpr base::Duration kRetransmitInterval = std::chrono::milliseconds(200);

  Network& network_;
  HostIndex from_;
  HostIndex to_;
  bool closed_ = false;
  bool retryScheduled_ = false;
  base::TimePoint lastArrival_;
  std::deque<std::function<void()>> waiting_;
};

}  // namespace walnut::simulator
