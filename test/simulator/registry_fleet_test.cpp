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
