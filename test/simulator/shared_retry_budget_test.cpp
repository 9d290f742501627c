/// Guards against workers that get more retries from all gateways together than the retry budget of
/// their service allows.

#include "simulator/retry_campaign.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::simulator;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeeds = 6;
constexpr base::Duration kCalm = 12s;
constexpr base::Duration kTrouble = 20s;

}  // namespace

TEST_GROUP(SharedRetryBudgetTest) {
  ServingFleetOptions options;

  void setup() override {
    options.plain = true;
    options.gateways = 6;
    options.workers = 10;
    options.requestsPerSecond = 20;
    options.unrepeatableShare = 0;
    options.retrySlack = 52;
  }
  /// Runs with all workers failing, beside the faults.
  void checkKeepsBudget(const std::function<void(ServingFleet&)>& addFaults) {
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      ServingFleet fleet(options);
      fleet.run(kCalm);
      fleet.failWorkers(options.workers, WorkerFault::errors);
      addFaults(fleet);
      fleet.run(kTrouble);
      const RetryWindow worst = fleet.retryAccount().worst();
      CHECK_TEXT(!worst.broken(), fleet.describe(worst).c_str());
    }
  }
};

TEST(SharedRetryBudgetTest, gatewaysThatStayKeepTheBudget) {
  checkKeepsBudget([](ServingFleet&) {});
}

/// A new process had a whole budget, whatever its predecessor had used of it within the window.
TEST(SharedRetryBudgetTest, gatewaysThatAreKilledWhileWorkersFailKeepTheBudget) {
  checkKeepsBudget([this](ServingFleet& fleet) {
    for (const base::Duration at : {2000ms, 4500ms, 7000ms}) {
      for (std::size_t gateway = 0; gateway < options.gateways; ++gateway) {
        fleet.later(at, [gateway](ServingFleet& running) { running.restartGateway(gateway); });
      }
    }
  });
}

TEST_GROUP(RetryCampaignTest){};

TEST(RetryCampaignTest, theBudgetIsKeptBesideOverlappingFaults) {
  constexpr std::uint64_t kCampaignSeeds = 12;
  for (std::uint64_t seed = 1; seed <= kCampaignSeeds; ++seed) {
    const RetryCampaignResult result = runRetryCampaign(seed);
    CHECK_TEXT(result.passed(), result.description.c_str());
  }
}
