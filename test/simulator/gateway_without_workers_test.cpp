/// Guards against callers of gateways that have lost their links to all workers being served far
/// worse than those of the other gateways.

#include <sstream>

#include "simulator/serving_fleet.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::simulator;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeeds = 6;
constexpr base::Duration kCalm = 10s;
constexpr base::Duration kCut = 12s;
constexpr base::Duration kAfter = 4s;

}  // namespace

TEST_GROUP(GatewayWithoutWorkersTest) {
  ServingFleetOptions options;

  void setup() override {
    options.gateways = 6;
    options.workers = 9;
    options.models = 16;
    options.requestsPerSecond = 20;
    options.worker.strayErrors = 0;
  }
  std::unique_ptr<ServingFleet> runCut(std::size_t cutOff, WorkerCut how) {
    auto fleet = std::make_unique<ServingFleet>(options);
    fleet->run(kCalm);
    for (std::size_t gateway = 0; gateway < cutOff; ++gateway) {
      fleet->cutFromWorkers(gateway, kCut, how);
    }
    fleet->run(kCut + kAfter);
    return fleet;
  }
  static std::string describe(const FirstTryAccount& account) {
    std::ostringstream text;
    text << "cut off " << account.cutOff.served << " of " << account.cutOff.sent << ", others "
         << account.others.served << " of " << account.others.sent;
    return text.str();
  }
  void checkServedAlike(std::size_t cutOff, WorkerCut how) {
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      const FirstTryAccount account = runCut(cutOff, how)->firstTries();
      CHECK_TEXT(!account.broken(), describe(account).c_str());
    }
  }
  void checkNoneIsEjected(WorkerCut how) {
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      CHECK_EQUAL(0, runCut(options.gateways / 2, how)->ejections());
    }
  }
};

TEST(GatewayWithoutWorkersTest, withHangingLinksFirstTriesAreServedAsElsewhere) {
  checkServedAlike(options.gateways / 2, WorkerCut::hang);
}

TEST(GatewayWithoutWorkersTest, withResetLinksFirstTriesAreServedAsElsewhere) {
  checkServedAlike(options.gateways / 2, WorkerCut::reset);
}

TEST(GatewayWithoutWorkersTest, withRefusedConnectionsFirstTriesAreServedAsElsewhere) {
  checkServedAlike(options.gateways / 2, WorkerCut::refuse);
}

TEST(GatewayWithoutWorkersTest, withHangingLinksOfHalfTheGatewaysNoSoundWorkerIsEjected) {
  checkNoneIsEjected(WorkerCut::hang);
}

TEST(GatewayWithoutWorkersTest, withResetLinksOfHalfTheGatewaysNoSoundWorkerIsEjected) {
  checkNoneIsEjected(WorkerCut::reset);
}

TEST(GatewayWithoutWorkersTest, withRefusedConnectionsOfHalfTheGatewaysNoSoundWorkerIsEjected) {
  checkNoneIsEjected(WorkerCut::refuse);
}
