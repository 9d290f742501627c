/// @file
/// Several faults and returns in one life of a cell: processes that end and lose disks, servers
/// that are frozen, a second fault during a return; beside slow syncs, paused hosts and machines
/// that answer nobody while they are down. After each return every gateway has to be ready in time.
/// WALNUT_FAULT_SERIES_SEEDS sets the number of seeds.

#include <cstdlib>
#include <string>
#include <vector>

#include "simulator/hold_ups.h"
#include "simulator/registry_fleet.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::simulator;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kDefaultSeeds = 6;
constexpr std::size_t kFaults = 5;
constexpr std::size_t kRoutes = 50;
/// Within which service is back after all machines are (bound `recoveryS` of the deployments).
constexpr base::Duration kRecovery = 12s;
/// A machine that is back counts as lost until it has caught up (bound `catchUpS`).
constexpr base::Duration kCatchUp = 4s;
constexpr base::Duration kStartSpread = 100ms;

struct Hosts {
  base::Duration longestHoldUp{0};
  bool together = false;  ///< All servers stand still at the same time, as on a paused host.
  base::Duration sync{0};
};

class FaultSeries {
 public:
  FaultSeries(std::uint64_t seed, const Hosts& hosts)
      : fleet_(optionsOf(seed)), holdUps_(fleet_, hosts.longestHoldUp, hosts.together) {
    fleet_.startAll();
    fleet_.run(5s);
    fleet_.declare(kRoutes);
    fleet_.run(3s);
    for (std::size_t server = 0; server < fleet_.serverCount(); ++server) {
      fleet_.slowDisk(server, hosts.sync);
    }
  }

  /// @return a line for each return after which a gateway was ready too late.
  std::string run() {
    std::string late;
    for (std::size_t fault = 0; fault < kFaults; ++fault) {
      const std::string kind = causeFault();
      holdUps_.beginReturn();
      holdUps_.run(kRecovery);
      if (holdUps_.allReadyAt() > kRecovery) {
        late += " " + std::to_string(fault) + " (" + kind + ")";
      }
      holdUps_.run(kCatchUp);
    }
    return late;
  }

 private:
  static RegistryFleetOptions optionsOf(std::uint64_t seed) {
    RegistryFleetOptions options;
    options.seed = seed;
    options.gateways = 6;
    options.workers = 10;
    options.answersWhenDown = seed % 2 == 0;
    return options;
  }

  std::string causeFault() {
    switch (fleet_.random().uniform(0, 4)) {
      case 0:
        restart({});
        return "all end";
      case 1:
      case 2:
        restart(drawLostDisks());
        return "all end, two disks are lost";
      case 3:
        freezeServers();
        return "servers are frozen";
      default:
        restart(drawLostDisks());
        holdUps_.run(drawBetween(1s, 3s));
        restart({});
        return "all end twice";
    }
  }
  void restart(const std::vector<std::size_t>& lostDisks) {
    const base::Duration down = drawBetween(300ms, 6s);
    fleet_.restartAll(down, lostDisks);
    holdUps_.run(down + kStartSpread);
  }
  void freezeServers() {
    const base::Duration frozen = drawBetween(1s, 7s);
    const std::size_t count = fleet_.random().uniform(3, fleet_.serverCount());
    for (std::size_t server = 0; server < count; ++server) {
      fleet_.suspendServer(server, frozen);
    }
    holdUps_.run(frozen);
  }
  std::vector<std::size_t> drawLostDisks() {
    const std::size_t lost = fleet_.random().uniform(0, fleet_.serverCount() - 1);
    return {lost, (lost + 1) % fleet_.serverCount()};
  }
  base::Duration drawBetween(base::Duration low, base::Duration high) {
    return fleet_.random().between(low, high);
  }

  RegistryFleet fleet_;
  HoldUps holdUps_;
};

void checkEveryReturn(const Hosts& hosts) {
  const char* seeds = std::getenv("WALNUT_FAULT_SERIES_SEEDS");
  const std::uint64_t last = seeds == nullptr ? kDefaultSeeds : std::strtoull(seeds, nullptr, 10);
  std::string failures;
  for (std::uint64_t seed = 1; seed <= last; ++seed) {
    const std::string late = FaultSeries(seed, hosts).run();
    failures += late.empty() ? "" : "; seed " + std::to_string(seed) + ", returns" + late;
  }
  const std::string text = "gateways are ready too late after returns" + failures;
  CHECK_TRUE_TEXT(failures.empty(), text.c_str());
}

}  // namespace

TEST_GROUP(FaultSeriesTest){};

// Guards against recoveries that depend on what an earlier fault left behind (RECOVER).
TEST(FaultSeriesTest, everyGatewayIsReadyAfterEachReturn) { checkEveryReturn({}); }

TEST(FaultSeriesTest, everyGatewayIsReadyAfterEachReturnBesideSlowSyncs) {
  checkEveryReturn({0ms, false, 400ms});
}

TEST(FaultSeriesTest, everyGatewayIsReadyAfterEachReturnOfHeldUpServers) {
  checkEveryReturn({1500ms, false, 400ms});
}

TEST(FaultSeriesTest, everyGatewayIsReadyAfterEachReturnOfPausedHosts) {
  checkEveryReturn({1500ms, true, 300ms});
}

// Guards against gateways that are told nothing unless three servers run at the same time
// (RECOVER).
TEST(FaultSeriesTest, everyGatewayIsReadyAfterEachReturnOfServersThatSeldomRun) {
  checkEveryReturn({3000ms, false, 0ms});
}

TEST(FaultSeriesTest, everyGatewayIsReadyAfterEachReturnBesideHoldUpsAndSyncsOfSeconds) {
  checkEveryReturn({2000ms, false, 700ms});
}
