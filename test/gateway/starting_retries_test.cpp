/// Tests of the retries that a new gateway process gets from the leader.

#include "gateway_harness.h"
#include "walnut/registry/feature_level.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

TEST_GROUP(StartingRetriesTest) {
  GatewayHarness harness{GatewayHarness::options(), 1ms};

  void follow() {
    harness.follow();
    harness.gateway.leaderFollowed(false);
  }
  /// @return true if a request whose first attempt fails gets another one.
  bool isRetried(const std::string& id) {
    constexpr int kError = 500;
    const auto caller = harness.request("safe", id);
    const std::size_t before = harness.launcher.sent.size();
    harness.answer(*harness.launcher.sent.back(), kError, id, "");
    const bool retried = harness.launcher.sent.size() > before;
    while (caller->status == 0) {
      harness.answer(*harness.launcher.sent.back(), 200, id, "");
    }
    return retried;
  }
};

TEST(StartingRetriesTest, aNewProcessAsksOnce) {
  follow();
  CHECK_EQUAL(1, harness.link.startingRetries.size());
  DOUBLES_EQUAL(GatewayHarness::options().retrySlack, harness.link.startingRetries.front().slack,
                0);
  harness.loseLeader();
  harness.scheduler.advance(1s);
  harness.followAgain();
  harness.gateway.leaderFollowed(false);
  CHECK_EQUAL(1, harness.link.startingRetries.size());
}

TEST(StartingRetriesTest, aLeaderOfALowerLevelIsNotAsked) {
  harness.featureLevel = registry::feature::kModelForecasts;
  follow();
  CHECK_EQUAL(0, harness.link.startingRetries.size());
}

TEST(StartingRetriesTest, aProcessThatHasEarnedItsBudgetDoesNotAsk) {
  GatewayHarness old;
  old.follow();
  old.gateway.leaderFollowed(false);
  CHECK_EQUAL(0, old.link.startingRetries.size());
}

TEST(StartingRetriesTest, grantedRetriesAreTakenOnce) {
  harness.declare(3);
  follow();
  CHECK_FALSE(isRetried("r0"));
  harness.gateway.startingRetriesReceived({2});
  CHECK_TRUE(isRetried("r1"));
  CHECK_TRUE(isRetried("r2"));
  CHECK_FALSE(isRetried("r3"));
  harness.gateway.startingRetriesReceived({2});
  CHECK_FALSE(isRetried("r4"));
  CHECK_EQUAL(1, harness.log.of(runtime::LogEvent::retriesReceived).size());
}

TEST(StartingRetriesTest, aGrantThatWasNotAskedForIsIgnored) {
  harness.declare(3);
  harness.gateway.startingRetriesReceived({2});
  CHECK_FALSE(isRetried("r0"));
}
