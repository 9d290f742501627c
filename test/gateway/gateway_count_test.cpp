/// Guards against a gateway that takes more than its part of what all gateways share because a
/// leader counts too few: a new one, or one that some gateways can't reach.

#include "gateway/gateway_count.h"

#include "gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

TEST_GROUP(GatewayCountTest) {
  GatewayHarness harness;

  void announce(std::uint32_t gateways) {
    registry::ViewUpdate update;
    update.documentVersion = 1;
    update.gateways = gateways;
    harness.gateway.viewReceived(update);
  }
  /// @return retries that are granted while each attempt fails.
  std::size_t retriesOf(std::size_t requests) {
    constexpr int kError = 500;
    harness.launcher.sent.clear();
    for (std::size_t number = 0; number < requests; ++number) {
      const std::string id = "r" + std::to_string(number);
      const auto caller = harness.request("safe", id);
      while (caller->status == 0) {
        harness.answer(*harness.launcher.sent.back(), kError, id, "");
      }
    }
    return harness.launcher.sent.size() - requests;
  }
};

TEST(GatewayCountTest, aLeaderThatCountsFewerGatewaysDoesNotGrowTheRetryBudgetAtOnce) {
  constexpr std::uint32_t kGateways = 20;
  harness.declare(3);
  announce(kGateways);
  const std::size_t granted = retriesOf(20);
  CHECK_TRUE(granted > 0);
  announce(1);
  CHECK_TRUE(retriesOf(20) <= granted);
  harness.scheduler.advance(GatewayCount::kHold);
  announce(1);
  CHECK_EQUAL(20, retriesOf(20));
}

TEST(GatewayCountTest, aLargerNumberCountsAtOnceAndASmallerOneOnceItIsTheLargestOfLate) {
  const base::TimePoint start = base::TimePoint(100s);
  GatewayCount count(16);
  CHECK_EQUAL(16, count.value());
  count.announced(6, start);
  CHECK_EQUAL(6, count.value());
  count.announced(1, start + 1s);
  count.announced(4, start + 2s);
  CHECK_EQUAL(6, count.value());
  count.announced(3, start + GatewayCount::kHold);
  CHECK_EQUAL(4, count.value());
  count.announced(8, start + GatewayCount::kHold);
  CHECK_EQUAL(8, count.value());
}
