/// @file
/// Every process ends at once and is started again, on disks whose syncs are slow.
/// WALNUT_SLOW_SYNC_SEEDS sets the number of seeds.

#include <algorithm>
#include <cstdlib>
#include <memory>

#include "simulator/registry_fleet.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::simulator;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kDefaultSeeds = 40;
constexpr std::size_t kRoutes = 50;
constexpr std::size_t kGateways = 6;
constexpr std::size_t kWorkers = 10;
/// Within which service is back after all machines are (bound `recoveryS` of the deployments).
constexpr base::Duration kRecovery = 12s;
constexpr base::Duration kObserved = 10s;
constexpr base::Duration kSample = 100ms;
/// Least share of what was served before.
constexpr double kLeastShare = 0.25;

std::vector<std::size_t> drawServers(RegistryFleet& fleet, std::size_t count) {
  std::vector<std::size_t> servers;
  while (servers.size() < count) {
    const std::size_t server = fleet.random().uniform(0, fleet.serverCount() - 1);
    if (std::count(servers.begin(), servers.end(), server) == 0) {
      servers.push_back(server);
    }
  }
  return servers;
}

/// @return the share of the gateways that let requests through, over the time observed.
double servedShare(RegistryFleet& fleet, base::Duration observed) {
  std::size_t admitting = 0;
  std::size_t samples = 0;
  for (base::Duration passed{0}; passed < observed; passed += kSample) {
    fleet.run(kSample);
    admitting += fleet.gatewaysAdmitting();
    samples += fleet.gatewayCount();
  }
  return static_cast<double>(admitting) / static_cast<double>(samples);
}

std::unique_ptr<RegistryFleet> makeServingFleet(std::uint64_t seed) {
  RegistryFleetOptions options;
  options.seed = seed;
  options.gateways = kGateways;
  options.workers = kWorkers;
  auto fleet = std::make_unique<RegistryFleet>(options);
  fleet->startAll();
  fleet->run(5s);
  fleet->declare(kRoutes);
  fleet->run(3s);
  CHECK_TRUE(fleet->acknowledged());
  return fleet;
}

/// Restarts all with `slow` servers whose syncs take `mean`.
/// @return the share that is served later than `kRecovery` after the return.
double restartOnSlowDisks(std::uint64_t seed, std::size_t slow, base::Duration mean,
                          std::size_t diskLosses) {
  const std::unique_ptr<RegistryFleet> fleet = makeServingFleet(seed);
  for (const std::size_t server : drawServers(*fleet, slow)) {
    fleet->slowDisk(server, mean);
  }
  const base::Duration down = fleet->random().between(300ms, 2s);
  fleet->restartAll(down, drawServers(*fleet, diskLosses));
  fleet->run(down + kRecovery);
  const double share = servedShare(*fleet, kObserved);
  fleet->declare(kRoutes);
  fleet->run(kObserved);
  CHECK_TRUE_TEXT(fleet->acknowledged(), "a change after the restart");
  return share;
}

void checkRecovers(std::size_t slow, base::Duration most) {
  const char* seeds = std::getenv("WALNUT_SLOW_SYNC_SEEDS");
  const std::uint64_t last = seeds == nullptr ? kDefaultSeeds : std::strtoull(seeds, nullptr, 10);
  for (std::uint64_t seed = 1; seed <= last; ++seed) {
    base::Random random(seed);
    const base::Duration mean = random.between(100ms, most);
    const std::size_t losses = random.uniform(0, 2);
    const double share = restartOnSlowDisks(seed, slow, mean, losses);
    const std::string text = "seed " + std::to_string(seed) + ": served " + std::to_string(share);
    CHECK_TRUE_TEXT(share >= kLeastShare, text.c_str());
  }
}

/// Restarts all on disks that are all slow.
/// @return the time from the return until a gateway lets requests through.
base::Duration timeToFirstAnswer(std::uint64_t seed, base::Duration mean, std::size_t diskLosses) {
  const std::unique_ptr<RegistryFleet> fleet = makeServingFleet(seed);
  for (std::size_t server = 0; server < fleet->serverCount(); ++server) {
    fleet->slowDisk(server, mean);
  }
  const base::Duration down = fleet->random().between(300ms, 2s);
  fleet->restartAll(down, drawServers(*fleet, diskLosses));
  fleet->run(down);
  base::Duration passed{0};
  while (fleet->gatewaysAdmitting() == 0 && passed < kRecovery) {
    fleet->run(kSample);
    passed += kSample;
  }
  return passed;
}

}  // namespace

TEST_GROUP(SlowSyncRecoveryTest){};

/// Guards against a recovery that waits for more syncs than the vote and the first entry of the
/// term: its time was five times that of a sync (RECOVER).
TEST(SlowSyncRecoveryTest, serviceIsBackWithinTwoSyncsAndASecond) {
  const char* seeds = std::getenv("WALNUT_SLOW_SYNC_SEEDS");
  const std::uint64_t last = seeds == nullptr ? kDefaultSeeds : std::strtoull(seeds, nullptr, 10);
  std::size_t late = 0;
  std::string failures;
  for (std::uint64_t seed = 1; seed <= last; ++seed) {
    base::Random random(seed);
    const base::Duration mean = random.between(100ms, 3s);
    const base::Duration longestSync = mean * 3 / 2;
    const base::Duration time = timeToFirstAnswer(seed, mean, random.uniform(0, 2));
    if (time > 2 * longestSync + 1s) {
      ++late;
      failures += " " + std::to_string(seed);
    }
  }
  const std::string text =
      std::to_string(late) + " of " + std::to_string(last) + " seeds are late:" + failures;
  CHECK_TRUE_TEXT(late == 0, text.c_str());
}

/// Guards against elections that don't settle while each vote takes longer than their timeout:
/// nothing was served any more after a restart of all (RECOVER).
TEST(SlowSyncRecoveryTest, withSlowSyncsOfAllServersServiceIsBackInTime) { checkRecovers(5, 1s); }

/// The same where a majority of the disks is slow.
TEST(SlowSyncRecoveryTest, withSlowSyncsOfThreeServersServiceIsBackInTime) { checkRecovers(3, 1s); }

/// The same where a majority of the disks is quick.
TEST(SlowSyncRecoveryTest, withSlowSyncsOfTwoServersServiceIsBackInTime) { checkRecovers(2, 2s); }

TEST(SlowSyncRecoveryTest, withSlowSyncsOfOneServerServiceIsBackInTime) { checkRecovers(1, 2s); }

TEST(SlowSyncRecoveryTest, withSlowSyncsOfFourServersServiceIsBackInTime) { checkRecovers(4, 1s); }

/// The same with syncs that take so long that little of the time for recovery is left.
TEST(SlowSyncRecoveryTest, withVerySlowSyncsOfThreeServersServiceIsBackInTime) {
  checkRecovers(3, 2s);
}

TEST(SlowSyncRecoveryTest, withVerySlowSyncsOfFourServersServiceIsBackInTime) {
  checkRecovers(4, 2s);
}

TEST(SlowSyncRecoveryTest, withVerySlowSyncsOfAllServersServiceIsBackInTime) {
  checkRecovers(5, 2s);
}
