/// Guards against gateway processes that together exceed the retry budget of their service because
/// each new one gets retries to begin with.

#include "simulator/retry_campaign.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::simulator;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeeds = 4;
constexpr base::Duration kCalm = 12s;
constexpr base::Duration kTrouble = 60s;
/// Of the times at which all gateways are killed.
constexpr base::Duration kKillSpacing = 2500ms;
/// Longer than a leader takes until it grants retries.
constexpr base::Duration kLeaderSpacing = 27s;

}  // namespace

TEST_GROUP(RestartedRetryBudgetTest) {
  ServingFleetOptions options;

  void setup() override {
    options.plain = true;
    options.gateways = 6;
    options.workers = 10;
    options.requestsPerSecond = 20;
    options.unrepeatableShare = 0;
    options.retrySlack = 52;
  }
  void restartAll(ServingFleet & fleet, base::Duration at) {
    for (std::size_t gateway = 0; gateway < options.gateways; ++gateway) {
      fleet.later(at, [gateway](ServingFleet& running) { running.restartGateway(gateway); });
    }
  }
};

TEST(RestartedRetryBudgetTest, manyRestartsBesideChangesOfTheLeaderKeepTheBudget) {
  for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
    ServingFleet fleet(options);
    fleet.run(kCalm);
    fleet.failWorkers(options.workers, WorkerFault::errors);
    for (base::Duration at = kKillSpacing; at < kTrouble; at += kKillSpacing) {
      restartAll(fleet, at);
    }
    for (base::Duration at = kLeaderSpacing; at < kTrouble; at += kLeaderSpacing) {
      fleet.later(at, [](ServingFleet& running) { running.changeLeader(500ms); });
    }
    fleet.run(kTrouble);
    const RetryWindow worst = fleet.retryAccount().worst();
    CHECK_TEXT(!worst.broken(), fleet.describe(worst).c_str());
    CHECK_TRUE(fleet.retryAccount().retries() > 0);
  }
}
