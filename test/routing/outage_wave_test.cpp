/// Tests the load that many routers together put on an engine that fails and recovers: synchronized
/// retries would overload it.

#include <cstdio>

#include "routing/router_fleet.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::routing;
using namespace walnut::routing::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kRouters = 100;
constexpr std::size_t kStreams = 4;  ///< Open at each router when the engine fails.
constexpr base::Duration kArrivalInterval = 500ms;
constexpr base::Duration kNoArrivals = 10000h;
constexpr base::Duration kDeadline = 60s;
constexpr base::Duration kOutage = 20s;
constexpr base::Duration kRecoveryTime = 5s;
/// Shortest time for which an engine that answered that it lacks the model is avoided: half of the
/// mean.
constexpr base::Duration kShortestAvoidance = 500ms;
/// Time until each router's circuit breaker has opened for the first time.
constexpr base::Duration kBreakerOpeningTime = 1s;
/// Maximum number of attempts in a window of 100 ms. If the trials of a hundred routers are spread
/// evenly, 5 fall into a window. Three times that number is no wave; all routers at once would be
/// 100.
constexpr std::size_t kMaxAttemptsInWindow = 15;

}  // namespace

TEST_GROUP(OutageWaveTest){};

TEST(OutageWaveTest, breakerTrialsOfManyRoutersAreFewAndSpread) {
  RouterFleet fleet(kRouters, kArrivalInterval, kDeadline);
  fleet.openStreams(kStreams);
  fleet.failEngine(0, base::ErrorCode::connectFailed);
  fleet.run(kOutage);
  const std::size_t failed = RouterFleet::total(fleet.failedPerStep);
  const std::size_t peak = RouterFleet::peak(fleet.failedPerStep, kBreakerOpeningTime);
  fleet.failedPerStep.clear();
  fleet.recoveredPerStep.clear();
  fleet.restoreEngine(0);
  fleet.run(kRecoveryTime);
  const std::size_t recovering = RouterFleet::peak(fleet.recoveredPerStep, 0s);
  std::printf(
      "engine unreachable: %zu attempts, at most %zu in 100 ms; at most %zu recoveries in 100 ms\n",
      failed, peak, recovering);
  const RouterOptions options;
  const auto trials = static_cast<std::size_t>(kOutage / (options.breakerOpenFor / 2));
  CHECK_TRUE(failed <= kRouters * (options.breakerFailures + kStreams + trials));
  CHECK_TRUE(peak <= kMaxAttemptsInWindow);
  CHECK_TRUE(recovering <= kMaxAttemptsInWindow);
  CHECK_EQUAL(kRouters, RouterFleet::total(fleet.recoveredPerStep));
  CHECK_EQUAL(0U, RouterFleet::total(fleet.failedPerStep));
  CHECK_EQUAL(0U, fleet.refusals());
}

TEST(OutageWaveTest, engineWithoutTheModelGetsFewAttempts) {
  RouterFleet fleet(kRouters, kArrivalInterval, kDeadline);
  fleet.openStreams(kStreams);
  fleet.failEngine(0, base::ErrorCode::modelNotLoaded);
  fleet.run(kOutage);
  const std::size_t failed = RouterFleet::total(fleet.failedPerStep);
  const std::size_t peak = RouterFleet::peak(fleet.failedPerStep, kBreakerOpeningTime);
  std::printf("engine without the model: %zu attempts, at most %zu in 100 ms\n", failed, peak);
  const auto trials = static_cast<std::size_t>(kOutage / kShortestAvoidance);
  CHECK_TRUE(failed <= kRouters * (kStreams + trials));
  CHECK_TRUE(peak <= 2 * kMaxAttemptsInWindow);
  CHECK_EQUAL(0U, fleet.refusals());
}

TEST(OutageWaveTest, eachBrokenStreamIsRetriedOnceElsewhere) {
  RouterFleet fleet(kRouters, kNoArrivals, kDeadline);
  fleet.openStreams(kStreams);
  fleet.addReplica(1);
  fleet.failEngine(0, base::ErrorCode::connectFailed);
  fleet.run(5s);
  CHECK_EQUAL(kRouters * kStreams, fleet.answered);
  CHECK_EQUAL(0U, RouterFleet::total(fleet.failedPerStep));
  CHECK_EQUAL(0U, fleet.refusals());
}
