/// Gateways serve by what was acknowledged, at the sizes of a large deployment and under faults.

#include "simulator/registry_fleet.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::simulator;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeeds = 10;
constexpr std::size_t kFewRoutes = 50;
/// As many as an operator adds in three steps of 1,400.
constexpr std::size_t kManyRoutes = 4250;

}  // namespace

TEST_GROUP(RegistryFleetTest) {
  std::unique_ptr<RegistryFleet> fleet;

  void begin(RegistryFleetOptions options) {
    fleet = std::make_unique<RegistryFleet>(options);
    fleet->startAll();
    fleet->run(5s);
    declare(kFewRoutes);
  }
  /// Declares and waits until it is acknowledged.
  void declare(std::size_t routes) {
    fleet->declare(routes);
    for (int round = 0; round < 100 && !fleet->acknowledged(); ++round) {
      fleet->run(100ms);
    }
    CHECK_TRUE(fleet->acknowledged());
  }
  /// A large document, then every process ends right after a change was acknowledged, and the
  /// leader and another server lose their disks.
  void restartRightAfterAChange(std::uint64_t seed) {
    RegistryFleetOptions options;
    options.seed = seed;
    begin(options);
    declare(kManyRoutes);
    fleet->run(10s);
    declare(kManyRoutes);
    const std::size_t leader = fleet->leader() % fleet->serverCount();
    fleet->restartAll(500ms, {leader, (leader + 1) % fleet->serverCount()});
    fleet->run(14s);
  }
  void checkUpToDate() {
    STRCMP_EQUAL("0 violations", fleet->describeViolations().c_str());
    CHECK_EQUAL(fleet->gatewayCount(), fleet->gatewaysUpToDate());
  }
};

TEST(RegistryFleetTest, aSmallDocumentIsInForceEverywhere) {
  begin({});
  fleet->run(3s);
  checkUpToDate();
}

/// The incident of 2026-12-02 (docs/incidents).
TEST(RegistryFleetTest, afterARestartOfAllTheNewestDocumentIsInForceEverywhere) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    restartRightAfterAChange(seed);
    checkUpToDate();
  }
}

/// The same, without what serves nothing.
TEST(RegistryFleetTest, afterARestartOfAllNoGatewayServesByAnOlderDocument) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    restartRightAfterAChange(seed);
    for (const FleetViolation& violation : fleet->violations()) {
      CHECK_EQUAL(0, violation.served);
    }
  }
}

TEST(RegistryFleetTest, aLargeDocumentIsInForceEverywhereInTime) {
  begin({});
  declare(kManyRoutes);
  fleet->run(6s);
  checkUpToDate();
}

/// A loop that is held up for longer than the lease loses the leadership without any fault.
TEST(RegistryFleetTest, noInputHoldsUpAServerForAsLongAsItsLease) {
  begin({});
  fleet->run(5s);
  (void)fleet->takeLongestServerTurn();
  declare(kManyRoutes);
  fleet->run(5s);
  CHECK_TRUE(fleet->takeLongestServerTurn() < consensus::RaftOptions().checkQuorumTimeout);
}

/// A key is taken away with each document, while leaders stand still, are cut off or end, and
/// gateways are cut off or stand still for longer than their lease.
/// @return how often a gateway would have let a former key through.
std::size_t revokeBesideFaults(std::uint64_t seed, base::Duration gatewayRevocation) {
  RegistryFleetOptions options;
  options.seed = seed;
  options.gatewayRevocation = gatewayRevocation;
  RegistryFleet fleet(options);
  fleet.startAll();
  fleet.run(5s);
  constexpr int kRounds = 16;
  for (int round = 0; round < kRounds; ++round) {
    fleet.declare(kFewRoutes);
    const std::size_t leader = fleet.leader() % fleet.serverCount();
    const std::size_t gateway = fleet.random().uniform(0, fleet.gatewayCount() - 1);
    switch (fleet.random().uniform(0, 4)) {
      case 0:
        fleet.suspendServer(leader, fleet.random().between(500ms, 4s));
        break;
      case 1:
        fleet.cutServer(leader, true);
        fleet.scheduler().after(3s, [&fleet, leader] { fleet.cutServer(leader, false); });
        break;
      case 2:
        fleet.killServer(leader, false);
        fleet.scheduler().after(1s, [&fleet, leader] { fleet.startServer(leader); });
        break;
      case 3:
        fleet.cutGateway(gateway, true);
        fleet.scheduler().after(12s, [&fleet, gateway] { fleet.cutGateway(gateway, false); });
        break;
      default:
        fleet.suspendGateway(gateway, fleet.random().between(1s, 12s));
        break;
    }
    fleet.run(fleet.random().between(1s, 3s));
  }
  fleet.run(14s);
  return fleet.revokedKeysInForce();
}

TEST(RegistryFleetTest, aKeyThatWasTakenAwayOpensNothingWhateverFails) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CHECK_EQUAL(0, revokeBesideFaults(seed, 5s));
  }
}

/// The check of the test before sees gateways that hold on to their keys for longer.
TEST(RegistryFleetTest, aLeaseThatIsTooLongIsSeen) { CHECK(revokeBesideFaults(1, 60s) > 0); }

/// Overlapping restarts: each starts what it ended, whether or not another has already.
TEST(RegistryFleetTest, whatRunsIsNotStartedAgain) {
  begin({});
  fleet->run(3s);
  fleet->killGateway(1);
  fleet->startGateway(1);
  fleet->startGateway(1);
  fleet->startServer(0);
  fleet->run(6s);
  checkUpToDate();
}

TEST_GROUP_BASE(WorkerFleetTest, TEST_GROUP_CppUTestGroupRegistryFleetTest){
    static RegistryFleetOptions manyWorkers(std::size_t workers){RegistryFleetOptions options;
options.servers = 10;
options.gateways = 100;
options.workers = workers;
return options;
}
}
;

/// Thousands of workers register at once and call again after a second. What they ask for must not
/// keep the cell from its leases: else no leader lasts, and all of it is asked for again and again.
TEST(WorkerFleetTest, aCellOfManyWorkersKeepsItsLeader) {
  constexpr std::size_t kWorkers = 8000;
  fleet = std::make_unique<RegistryFleet>(manyWorkers(kWorkers));
  fleet->startAll();
  fleet->run(10s);
  CHECK_EQUAL(kWorkers, fleet->workersAcknowledged());
  CHECK_EQUAL(1, fleet->leaderships());
}

/// The same when every process was killed, and all workers call at once.
TEST(WorkerFleetTest, afterARestartOfAllEveryWorkerIsHeardWithinSeconds) {
  constexpr std::size_t kWorkers = 2000;
  fleet = std::make_unique<RegistryFleet>(manyWorkers(kWorkers));
  fleet->startAll();
  fleet->run(10s);
  fleet->restartAll(500ms, {});
  fleet->run(6s);
  CHECK_EQUAL(kWorkers, fleet->workersAcknowledged());
  CHECK_EQUAL(2, fleet->leaderships());
}

/// Heartbeats are read where they arrive: the leader's share grows with what changes.
TEST(WorkerFleetTest, theLeaderSpendsLittleMoreOnHeartbeatsThanTheOthers) {
  fleet = std::make_unique<RegistryFleet>(manyWorkers(2000));
  fleet->startAll();
  fleet->run(20s);
  (void)fleet->takeServerTimes();
  constexpr base::Duration kCounted = 10s;
  fleet->run(kCounted);
  const std::vector<base::Duration> times = fleet->takeServerTimes();
  const base::Duration leader = times.at(fleet->leader());
  CHECK_TRUE(leader < kCounted * 3 / 10);
}
