#pragma once
/// @file
/// Sweeps against real controllers and routers, with hollow routers and engines around them.

#include <atomic>
#include <vector>

#include "scale/fleet_sampler.h"
#include "scale/hollow_engines.h"
#include "scale/hollow_routers.h"

namespace walnut::scale {

struct FleetRunOptions {
  Fleet fleet;
  std::vector<base::Endpoint> peers;  ///< Of the controllers, for routers.
  std::uint16_t platformPort = 0;     ///< That the controllers were told.
  CellSize size;                      ///< Declared; engines: the hollow ones.
  bool preloaded = false;             ///< The controllers' folders hold this state already.
  std::size_t routers = 100;          ///< Hollow ones, where they are not what is swept.
  std::vector<double> sweep;
  base::Duration measured = std::chrono::seconds(8);  ///< For each point.
  base::Duration settle = std::chrono::seconds(4);    ///< Before each point.
};

/// One object, one sweep. Ends by itself.
class FleetRun {
 public:
  explicit FleetRun(const FleetRunOptions& options);

  /// Waits for a leader and declares the state. @return why it can't go on.
  base::Result<void> prepare();

  std::vector<Series> sweepEngines();
  std::vector<Series> sweepRouters();
  /// Changes a second; also the time until every router has each change.
  std::vector<Series> sweepChanges();
  /// Requests a second of each hollow router.
  std::vector<Series> sweepLoad();
  /// Routers that all start together.
  std::vector<Series> sweepRestart();

 private:
  OwnCounters ownCounters() const;
  void measure(FleetSampler& sampler, double x);
  bool waitReady(std::size_t routers, base::Duration limit) const;
  base::Result<void> declareAll();
  /// Changes adapters one after the other, at the rate or slower, until `done`.
  void operate(FleetSampler& sampler, double rate, const std::atomic<bool>& done);

  const FleetRunOptions options_;
  FleetClient client_;
  HollowEngines engines_;
  HollowRouters routers_;
  std::size_t changes_ = 0;
};

}  // namespace walnut::scale
