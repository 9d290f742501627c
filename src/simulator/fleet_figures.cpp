#include "simulator/fleet_figures.h"

#include <algorithm>

namespace walnut::simulator {

namespace {

constexpr std::size_t kRoutes = 50;
constexpr base::Duration kStep = std::chrono::milliseconds(100);
constexpr base::Duration kPatience = std::chrono::seconds(30);
constexpr base::Duration kRest = std::chrono::seconds(10);
constexpr base::Duration kCounted = std::chrono::seconds(10);
constexpr base::Duration kDown = std::chrono::milliseconds(500);

bool atRest(const RegistryFleet& fleet, std::size_t workers) {
  return fleet.acknowledged() && fleet.workersAcknowledged() == workers &&
         fleet.gatewaysUpToDate() == fleet.gatewayCount();
}

base::Duration runUntilRest(RegistryFleet& fleet, std::size_t workers) {
  const base::TimePoint begin = fleet.now();
  while (!atRest(fleet, workers) && fleet.now() < begin + kPatience) {
    fleet.run(kStep);
  }
  return fleet.now() - begin;
}

double shareOf(base::Duration used) {
  return std::chrono::duration<double>(used) / std::chrono::duration<double>(kCounted);
}

}  // namespace

FleetFigures measureFleet(const RegistryFleetOptions& options) {
  FleetFigures figures;
  RegistryFleet fleet(options);
  fleet.startAll();
  fleet.run(kStep);
  fleet.declare(kRoutes);
  figures.started = runUntilRest(fleet, options.workers);
  fleet.run(kRest);
  (void)fleet.takeServerTimes();
  fleet.run(kCounted);
  const std::vector<base::Duration> times = fleet.takeServerTimes();
  const std::size_t leader = fleet.leader();
  for (std::size_t server = 0; server < times.size(); ++server) {
    const double share = shareOf(times[server]);
    if (server == leader) {
      figures.leaderShare = share;
    } else {
      figures.busiestOtherShare = std::max(figures.busiestOtherShare, share);
    }
  }
  fleet.restartAll(kDown, {});
  fleet.run(kDown);
  figures.restarted = runUntilRest(fleet, options.workers);
  figures.leaderships = fleet.leaderships();
  return figures;
}

}  // namespace walnut::simulator
