/// Tests how a router uses the load durations that it has observed.

#include "routing/router_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::routing;
using namespace walnut::routing::testing;
using namespace std::chrono_literals;

namespace {

const protocol::Change kReplicaReady = protocol::ReplicaChanged{replicaRecord(5, "model", 0)};
const protocol::Change kReplicaRemoved = protocol::ReplicaRemoved{{5}};

/// Simulates a load that takes this long from the first request.
void simulateLoad(RouterHarness& harness, const std::string& id, base::Duration time) {
  harness.request(id, time + 5s);
  harness.advance(time);
  harness.commitChange(kReplicaReady);
  harness.deliver(CallerDisconnected{{id}});
  harness.commitChange(kReplicaRemoved);
}

/// @return whether the leader's latest entry, after further reports, has a waiting request.
bool reportsDemand(RouterHarness& harness) {
  harness.advance(1500ms);
  bool waiting = false;
  for (const protocol::Message& message : harness.sentMessages) {
    if (const auto* report = std::get_if<protocol::DemandReport>(&message)) {
      for (const protocol::Demand& demand : report->entries) {
        waiting = demand.waitingInteractive > 0;
      }
    }
  }
  return waiting;
}

}  // namespace

TEST_GROUP(LoadEstimateTest){};

TEST(LoadEstimateTest, slowLoadsRefuseShortDeadlinesWhileTheyAreRecent) {
  RouterHarness harness({}, false);
  simulateLoad(harness, "first", 2s);
  simulateLoad(harness, "slow", 60s);
  simulateLoad(harness, "slower", 100s);
  harness.request("recent", 5s);
  CHECK_EQUAL(1U, harness.refusals.size());
  CHECK_TRUE(harness.refusals[0].error.code == base::ErrorCode::deadlineUnreachable);
}

TEST(LoadEstimateTest, oldSlowLoadsRefuseNoRequest) {
  RouterHarness harness({}, false);
  simulateLoad(harness, "first", 2s);
  simulateLoad(harness, "slow", 60s);
  simulateLoad(harness, "slower", 100s);
  harness.advance(2min);
  harness.request("later", 5s);
  CHECK_EQUAL(0U, harness.refusals.size());
}

TEST(LoadEstimateTest, oneOldSlowLoadRefusesNoRequest) {
  RouterHarness harness({}, false);
  simulateLoad(harness, "slow", 60s);
  harness.advance(2min);
  harness.request("later", 20s);
  CHECK_EQUAL(0U, harness.refusals.size());
}

TEST(LoadEstimateTest, loadsThatAreAlwaysSlowRefuseShortDeadlinesLater) {
  RouterHarness harness({}, false);
  simulateLoad(harness, "first", 40s);
  simulateLoad(harness, "second", 40s);
  simulateLoad(harness, "third", 40s);
  harness.advance(2min);
  harness.request("later", 20s);
  CHECK_EQUAL(1U, harness.refusals.size());
}

TEST(LoadEstimateTest, demandOfARefusedRequestEndsWhenTheModelIsReady) {
  RouterHarness harness({}, false);
  simulateLoad(harness, "slow", 60s);
  harness.request("refused", 1s);
  CHECK_EQUAL(1U, harness.refusals.size());
  CHECK_TRUE(reportsDemand(harness));
  harness.commitChange(kReplicaReady);
  harness.commitChange(kReplicaRemoved);
  CHECK_FALSE(reportsDemand(harness));
}
