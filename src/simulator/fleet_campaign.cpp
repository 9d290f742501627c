#include "simulator/fleet_campaign.h"

#include <algorithm>
#include <array>
#include <utility>

namespace walnut::simulator {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kStart = seconds(5);
/// Twice the rest after a fault, and what a change may take.
constexpr base::Duration kHealing = seconds(14);
constexpr std::size_t kFirstRoutes = 50;
constexpr std::size_t kMostRoutes = 4250;
/// A server that is back counts as lost until it has caught up (catch-up time of the deployments).
constexpr base::Duration kCatchUp = seconds(6);
/// Servers that may be lost at once.
constexpr std::size_t kMostLost = 2;

/// Draws what happens next; everything it begins has ended when its time is over.
class Schedule {
 public:
  Schedule(RegistryFleet& fleet, base::TimePoint end, FleetCampaignResult& result)
      : fleet_(fleet), end_(end), result_(result), lostUntil_(fleet.serverCount()) {}

  void begin() {
    drawChange();
    drawFault();
  }

 private:
  using Fault = void (Schedule::*)();
  struct NamedFault {
    const char* name;
    Fault begin;
  };

  void drawChange();
  void drawFault();
  void killServer();
  void cutServer();
  void slowServer();
  void killGateways();
  void cutGateways();
  void slowGateways();
  void restartAll();

  base::Duration between(base::Duration low, base::Duration high) {
    return fleet_.random().between(low, high);
  }
  /// Runs `task` after `delay`, at the latest when the schedule ends.
  void later(base::Duration delay, Scheduler::Task task) {
    fleet_.scheduler().at(std::min(fleet_.now() + delay, end_), std::move(task));
  }
  bool lost(std::size_t server) const { return lostUntil_[server] > fleet_.now(); }
  std::size_t lostCount() const;
  /// Takes a server that may be lost for so long. @return the count of servers if there is none.
  std::size_t takeServer(base::Duration duration);
  std::vector<std::size_t> drawGateways(double mostShare);

  RegistryFleet& fleet_;
  const base::TimePoint end_;
  FleetCampaignResult& result_;
  std::vector<base::TimePoint> lostUntil_;  ///< By server.
  std::vector<bool> busyGateways_ = std::vector<bool>(fleet_.gatewayCount());
  std::size_t routes_ = kFirstRoutes;
};

void Schedule::drawChange() {
  if (fleet_.now() >= end_) {
    return;
  }
  if (fleet_.acknowledged()) {
    constexpr std::size_t kStep = 1400;
    const bool grows = routes_ + kStep <= kMostRoutes && fleet_.random().chance(0.3);
    routes_ = grows ? routes_ + kStep : std::max(kFirstRoutes, routes_ - 1);
    ++result_.events[grows ? "change-many-routes" : "change-one-route"];
    fleet_.declare(routes_);
  }
  // Changes come alone or in quick succession.
  const bool storm = fleet_.random().chance(0.5);
  later(storm ? between(milliseconds(300), milliseconds(600)) : between(seconds(1), seconds(6)),
        [this] { drawChange(); });
}

void Schedule::drawFault() {
  if (fleet_.now() >= end_) {
    return;
  }
  constexpr std::array<NamedFault, 7> kFaults = {{{"kill-server", &Schedule::killServer},
                                                  {"cut-server", &Schedule::cutServer},
                                                  {"slow-server", &Schedule::slowServer},
                                                  {"kill-gateways", &Schedule::killGateways},
                                                  {"cut-gateways", &Schedule::cutGateways},
                                                  {"slow-gateways", &Schedule::slowGateways},
                                                  {"restart-all", &Schedule::restartAll}}};
  const NamedFault& fault = kFaults.at(fleet_.random().uniform(0, kFaults.size() - 1));
  ++result_.events[fault.name];
  (this->*fault.begin)();
  // Long pauses let the fleet come to rest, so that it is judged.
  later(fleet_.random().chance(0.5) ? between(milliseconds(100), seconds(2))
                                    : between(seconds(6), seconds(12)),
        [this] { drawFault(); });
}

std::size_t Schedule::lostCount() const {
  return static_cast<std::size_t>(
      std::count_if(lostUntil_.begin(), lostUntil_.end(),
                    [this](base::TimePoint until) { return until > fleet_.now(); }));
}

std::size_t Schedule::takeServer(base::Duration duration) {
  const std::size_t server = fleet_.random().uniform(0, fleet_.serverCount() - 1);
  if (lostCount() >= kMostLost || lost(server)) {
    return fleet_.serverCount();
  }
  lostUntil_[server] = fleet_.now() + duration + kCatchUp;
  return server;
}

void Schedule::killServer() {
  const base::Duration down = between(milliseconds(200), seconds(3));
  const std::size_t server = takeServer(down);
  if (server == fleet_.serverCount()) {
    return;
  }
  fleet_.killServer(server, fleet_.random().chance(0.3));
  later(down, [this, server] { fleet_.startServer(server); });
}

void Schedule::cutServer() {
  const base::Duration duration = between(seconds(1), seconds(6));
  const std::size_t server = takeServer(duration);
  if (server == fleet_.serverCount()) {
    return;
  }
  fleet_.cutServer(server, true);
  later(duration, [this, server] { fleet_.cutServer(server, false); });
}

void Schedule::slowServer() {
  const base::Duration duration = between(seconds(1), seconds(5));
  const std::size_t server = takeServer(duration);
  if (server == fleet_.serverCount()) {
    return;
  }
  constexpr double kPart = 0.2;
  fleet_.slowServer(server, kPart);
  later(duration, [this, server] { fleet_.slowServer(server, 1); });
}

std::vector<std::size_t> Schedule::drawGateways(double mostShare) {
  const double share = fleet_.random().unit() * mostShare;
  std::vector<std::size_t> drawn;
  for (std::size_t gateway = 0; gateway < fleet_.gatewayCount(); ++gateway) {
    if (!busyGateways_[gateway] && fleet_.random().chance(share)) {
      busyGateways_[gateway] = true;
      drawn.push_back(gateway);
    }
  }
  return drawn;
}

void Schedule::killGateways() {
  for (const std::size_t gateway : drawGateways(1.0)) {
    fleet_.killGateway(gateway);
    later(between(milliseconds(200), seconds(1)), [this, gateway] {
      fleet_.startGateway(gateway);
      busyGateways_[gateway] = false;
    });
  }
}

void Schedule::cutGateways() {
  const base::Duration duration = between(seconds(1), seconds(8));
  for (const std::size_t gateway : drawGateways(0.5)) {
    fleet_.cutGateway(gateway, true);
    later(duration, [this, gateway] {
      fleet_.cutGateway(gateway, false);
      busyGateways_[gateway] = false;
    });
  }
}

void Schedule::slowGateways() {
  constexpr double kPart = 0.2;
  const base::Duration duration = between(seconds(1), seconds(5));
  for (const std::size_t gateway : drawGateways(0.5)) {
    fleet_.slowGateway(gateway, kPart);
    later(duration, [this, gateway] {
      fleet_.slowGateway(gateway, 1);
      busyGateways_[gateway] = false;
    });
  }
}

/// Every process ends at once; up to as many disks are lost as may be.
void Schedule::restartAll() {
  const bool busy =
      std::find(busyGateways_.begin(), busyGateways_.end(), true) != busyGateways_.end();
  if (lostCount() > 0 || busy || fleet_.now() + kHealing > end_) {
    return;
  }
  const base::Duration down = between(milliseconds(300), seconds(1));
  std::vector<std::size_t> diskLosses;
  const std::size_t losses = fleet_.random().uniform(0, kMostLost);
  while (diskLosses.size() < losses) {
    const std::size_t server = fleet_.random().uniform(0, fleet_.serverCount() - 1);
    if (std::count(diskLosses.begin(), diskLosses.end(), server) == 0) {
      diskLosses.push_back(server);
    }
  }
  fleet_.restartAll(down, diskLosses);
  for (base::TimePoint& until : lostUntil_) {
    until = fleet_.now() + down + kCatchUp;
  }
}

}  // namespace

FleetCampaignResult runFleetCampaign(const FleetCampaignOptions& options) {
  FleetCampaignResult result;
  RegistryFleet fleet(options.fleet);
  fleet.startAll();
  fleet.run(kStart);
  fleet.declare(kFirstRoutes);
  fleet.run(seconds(2));
  Schedule schedule(fleet, fleet.now() + options.duration, result);
  schedule.begin();
  fleet.run(options.duration + kHealing);
  result.violations = fleet.violations().size();
  result.description = fleet.describeViolations();
  result.newestEverywhere =
      fleet.acknowledged() && fleet.gatewaysUpToDate() == fleet.gatewayCount();
  result.longestTurn = fleet.takeLongestServerTurn();
  return result;
}

}  // namespace walnut::simulator
