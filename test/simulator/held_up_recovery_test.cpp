/// @file
/// Every process ends at once and is started again, two disks are lost, syncs are slow, and from
/// then on each server stands still again and again, as on an overloaded host.
/// WALNUT_HELD_UP_SEEDS sets the number of seeds.

#include <algorithm>
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

constexpr std::uint64_t kDefaultSeeds = 30;
constexpr std::size_t kRoutes = 50;
/// Within which service is back after all machines are (bound `recoveryS` of the deployments).
constexpr base::Duration kRecovery = 12s;
constexpr base::Duration kObserved = 20s;
constexpr double kLeastShare = 0.25;  ///< Of what was served before.
constexpr base::Duration kSync = 400ms;
/// Drawn from half of it to one and a half, so that no sync takes over a second.
constexpr base::Duration kSlowSync = 666ms;

struct Recovery {
  double servedShare = 0;        ///< Once the time to recover was over.
  base::Duration allReadyAt{0};  ///< Since the return.
};

Recovery recover(std::uint64_t seed, base::Duration longestHoldUp, base::Duration sync) {
  RegistryFleetOptions options;
  options.seed = seed;
  options.gateways = 6;
  options.workers = 10;
  RegistryFleet fleet(options);
  fleet.startAll();
  fleet.run(5s);
  fleet.declare(kRoutes);
  fleet.run(3s);
  for (std::size_t server = 0; server < fleet.serverCount(); ++server) {
    fleet.slowDisk(server, sync);
  }
  const std::size_t lost = fleet.random().uniform(0, fleet.serverCount() - 1);
  fleet.restartAll(1s, {lost, (lost + 1) % fleet.serverCount()});
  fleet.run(1s);
  HoldUps holdUps(fleet, longestHoldUp);
  holdUps.run(kRecovery);
  (void)holdUps.takeServedShare();
  holdUps.run(kObserved);
  return {holdUps.takeServedShare(), holdUps.allReadyAt()};
}

std::string describe(std::uint64_t seed, const Recovery& recovery) {
  const bool isReady = recovery.allReadyAt != base::Duration::max();
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(recovery.allReadyAt);
  return " " + std::to_string(seed) + " (" + std::to_string(recovery.servedShare) + ", " +
         (isReady ? "all ready after ms " + std::to_string(millis.count()) : "not all ready") + ")";
}

void checkRecovers(base::Duration longestHoldUp, base::Duration sync = kSync) {
  const char* seeds = std::getenv("WALNUT_HELD_UP_SEEDS");
  const std::uint64_t last = seeds == nullptr ? kDefaultSeeds : std::strtoull(seeds, nullptr, 10);
  std::string failures;
  for (std::uint64_t seed = 1; seed <= last; ++seed) {
    const Recovery recovery = recover(seed, longestHoldUp, sync);
    if (recovery.servedShare < kLeastShare || recovery.allReadyAt > kRecovery) {
      failures += describe(seed, recovery);
    }
  }
  const std::string text =
      "too little is served, or gateways are ready too late, at seeds" + failures;
  CHECK_TRUE_TEXT(failures.empty(), text.c_str());
}

}  // namespace

TEST_GROUP(HeldUpRecoveryTest){};

// Guards against elections without end among servers that are held up (RECOVER).
TEST(HeldUpRecoveryTest, serviceIsBackBesideHoldUpsOfAnElectionTimeout) { checkRecovers(600ms); }

TEST(HeldUpRecoveryTest, serviceIsBackBesideLongHoldUps) { checkRecovers(1200ms); }

// Guards against elections without end, and gateways that leave a leader which is held up, beside
// hold-ups and syncs of seconds (RECOVER).
TEST(HeldUpRecoveryTest, everyGatewayIsReadyInTimeBesideHoldUpsAndSyncsOfSeconds) {
  checkRecovers(2s, kSlowSync);
}

// Guards against leaders that resign before they have committed anything, one after the other
// (RECOVER).
TEST(HeldUpRecoveryTest, serviceIsBackBesideHoldUpsOfTheLongestElectionTimeout) {
  checkRecovers(consensus::RaftOptions().electionTimeoutMax);
}
