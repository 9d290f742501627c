/// Tests how a router uses the load durations that it has observed.

#include "routing/router_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::routing;
using namespace walnut::routing::testing;
using namespace std::chrono_literals;

namespace {

const protocol::Change kReady = protocol::ReplicaChanged{replicaRecord(5, "model", 0)};
const protocol::Change kRemoved = protocol::ReplicaRemoved{{5}};

/// Simulates a load that takes this long from the first request.
void load(RouterHarness& harness, const std::string& id, base::Duration time) {
  harness.request(id, time + 5s);
  harness.advance(time);
  harness.change(kReady);
  harness.give(CallerGone{{id}});
  harness.change(kRemoved);
}

/// @return whether the leader's latest entry, after further reports, has a waiting request.
bool reportsDemand(RouterHarness& harness) {
  harness.advance(1500ms);
  bool waiting = false;
  for (const protocol::Message& message : harness.sent) {
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
  load(harness, "first", 2s);
  load(harness, "slow", 60s);
  load(harness, "slower", 100s);
  harness.request("recent", 5s);
  CHECK_EQUAL(1U, harness.refusals.size());
  CHECK_TRUE(harness.refusals[0].error.code == base::ErrorCode::deadlineUnreachable);
}

TEST(LoadEstimateTest, slowLoadsOfLongAgoRefuseNobody) {
  RouterHarness harness({}, false);
  load(harness, "first", 2s);
  load(harness, "slow", 60s);
  load(harness, "slower", 100s);
  harness.advance(2min);
  harness.request("later", 5s);
  CHECK_EQUAL(0U, harness.refusals.size());
}

TEST(LoadEstimateTest, oneSlowLoadOfLongAgoIsNoEvidence) {
  RouterHarness harness({}, false);
  load(harness, "slow", 60s);
  harness.advance(2min);
  harness.request("later", 20s);
  CHECK_EQUAL(0U, harness.refusals.size());
}

TEST(LoadEstimateTest, loadsThatAreAlwaysSlowRefuseShortDeadlinesLater) {
  RouterHarness harness({}, false);
  load(harness, "first", 40s);
  load(harness, "second", 40s);
  load(harness, "third", 40s);
  harness.advance(2min);
  harness.request("later", 20s);
  CHECK_EQUAL(1U, harness.refusals.size());
}

TEST(LoadEstimateTest, demandOfARefusedRequestEndsWhenTheModelIsReady) {
  RouterHarness harness({}, false);
  load(harness, "slow", 60s);
  harness.request("refused", 1s);
  CHECK_EQUAL(1U, harness.refusals.size());
  CHECK_TRUE(reportsDemand(harness));
  harness.change(kReady);
  harness.change(kRemoved);
  CHECK_FALSE(reportsDemand(harness));
}
