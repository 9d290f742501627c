/// Tests when a stream on a machine that is being reclaimed requests another replica.

#include "routing/router_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::routing;
using namespace walnut::routing::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kLongAnswer = 100;

/// Delivers the next `count` tokens of the attempt, one per interval.
void deliverTokens(RouterHarness& harness, const StartAttempt& start, std::uint32_t from,
                   std::uint32_t count, base::Duration interval) {
  for (std::uint32_t offset = from; offset < from + count; ++offset) {
    harness.advance(interval);
    harness.deliver(EngineEvent{
        engine::GenerateToken{start.generate.request, start.generate.attempt, offset, " token"}});
  }
}

bool leaderKnowsOfWaiting(const RouterHarness& harness) {
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

/// @return whether a stream with this token interval requests another replica when its machine is
/// reclaimed, after other streams of its target were fast.
bool requestsReplica(base::Duration interval) {
  RouterHarness harness;
  harness.request("fast", 60s, 20);
  deliverTokens(harness, harness.starts[0], 0, 20, 20ms);
  harness.deliver(CallerDisconnected{{"fast"}});
  harness.request("observed", 60s, kLongAnswer);
  deliverTokens(harness, harness.starts[1], 0, 3, interval);
  resource::Engine reclaimed = engineRecord(0);
  reclaimed.status = resource::EngineStatus::leaving;
  reclaimed.reclaimAt = harness.now() + 6s;
  harness.commitChange(protocol::EngineChanged{reclaimed});
  harness.advance(500ms);
  return leaderKnowsOfWaiting(harness);
}

}  // namespace

TEST_GROUP(StreamMoveTest){};

TEST(StreamMoveTest, nonRepeatableStreamMovesShortlyBeforeTheReclaim) {
  RouterOptions options;
  options.maxStoredStates = 0;
  RouterHarness harness(options);
  harness.requestNonRepeatable("once", 60s, kLongAnswer);
  CHECK_EQUAL(1U, harness.starts.size());
  deliverTokens(harness, harness.starts[0], 0, 3, 100ms);
  resource::Engine reclaimed = engineRecord(0);
  reclaimed.status = resource::EngineStatus::leaving;
  reclaimed.reclaimAt = harness.now() + 3s;
  harness.commitChange(protocol::EngineChanged{reclaimed});
  deliverTokens(harness, harness.starts[0], 3, 25, 100ms);
  CHECK_EQUAL(0U, harness.exports.size());  // No engine could hold its state.
  harness.commitChange(protocol::EngineChanged{engineRecord(1)});
  harness.commitChange(protocol::ReplicaChanged{replicaRecord(9, "model", 1)});
  harness.advance(300ms);
  CHECK_EQUAL(1U, harness.exports.size());
}

TEST(StreamMoveTest, slowStreamRequestsAReplicaAtOnceDespiteFastStreams) {
  CHECK_FALSE(requestsReplica(20ms));
  CHECK_TRUE(requestsReplica(100ms));
}

TEST(StreamMoveTest, streamOfADeletedTargetStaysUntilItsMachineIsReclaimed) {
  RouterHarness harness;
  harness.commitChange(protocol::EngineChanged{engineRecord(1)});
  harness.request("again", 60s, kLongAnswer);
  deliverTokens(harness, harness.starts[0], 0, 3, 100ms);
  resource::Engine reclaimed = engineRecord(0);
  reclaimed.status = resource::EngineStatus::leaving;
  reclaimed.reclaimAt = harness.now() + 3s;
  harness.commitChange(protocol::EngineChanged{reclaimed});
  harness.commitChange(protocol::ResourceDeleted{{resource::Kind::model, "model"}});
  deliverTokens(harness, harness.starts[0], 3, 28, 100ms);
  CHECK_EQUAL(0U, harness.refusals.size());
  CHECK_EQUAL(0U, harness.cancels.size());
}
