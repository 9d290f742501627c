#pragma once
/// @file
/// Workers of a simulated fleet, as registries hear them: each calls that it is alive, and calls
/// again, at another server, what is not acknowledged in time.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "simulator/scheduler.h"
#include "walnut/registry/messages.h"

namespace walnut::simulator {

class FleetWorkers {
 public:
  /// Makes a call at that server, or at any if there is none.
  /// @return the call's number.
  using Caller = std::function<std::uint64_t(const std::optional<base::Endpoint>& server,
                                             const registry::ReportAlive& call)>;

  /// @param zones they are spread over.
  FleetWorkers(std::size_t count, std::size_t zones, Scheduler& scheduler, Caller call)
      : zones_(zones), scheduler_(scheduler), call_(std::move(call)), workers_(count) {}

  /// All begin to call, within a moment.
  void start();
  /// @return false if no worker made that call.
  bool answered(std::uint64_t call, const registry::ControlAnswer& answer);

  /// @return how many were acknowledged within the last heartbeats.
  std::size_t acknowledgedCount() const;
  std::uint64_t callCount() const { return calls_; }

 private:
  struct Worker {
    std::uint64_t sequence = 0;
    std::uint64_t call = 0;              ///< The one that waits; 0: none.
    std::optional<base::Endpoint> home;  ///< Where it was told to call.
    std::optional<base::TimePoint> acknowledgedAt;
  };

  void call(std::size_t index);
  void callIn(std::size_t index, base::Duration pause);
  registry::ReportAlive heartbeatOf(std::size_t index) const;

  const std::size_t zones_;
  Scheduler& scheduler_;
  const Caller call_;
  std::vector<Worker> workers_;
  std::map<std::uint64_t, std::size_t> waiting_;  ///< Worker by call.
  std::uint64_t calls_ = 0;
};

}  // namespace walnut::simulator
