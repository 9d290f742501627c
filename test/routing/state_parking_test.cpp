/// Tests streams that must not be repeated whose machine is reclaimed while no replica is ready
/// elsewhere. Without a parked copy of its state such a stream would break.

#include "routing/router_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::routing;
using namespace walnut::routing::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kLongAnswer = 1000;
constexpr std::uint32_t kDelivered = 3;

engine::HoldResult refusal(base::ErrorCode code) { return base::Error{code, "", ""}; }

/// A stream on engine 0, whose machine is reclaimed. Engines 1 and 2 stay but have no replica.
struct ParkingHarness : RouterHarness {
  explicit ParkingHarness(base::Duration deadline = 60s, const RouterOptions& options = {})
      : RouterHarness(options) {
    commitChange(protocol::EngineChanged{engineRecord(1)});
    commitChange(protocol::EngineChanged{engineRecord(2)});
    requestNonRepeatable("once", deadline, kLongAnswer);
    for (std::uint32_t offset = 0; offset < kDelivered; ++offset) {
      advance(100ms);
      deliver(EngineEvent{engine::GenerateToken{{"once"}, attempt(), offset, " token"}});
    }
    reclaimEngine(0, 4s);
  }

  base::AttemptId attempt() const { return starts.back().generate.attempt; }

  /// Announces that the engine's machine is reclaimed after `grace`.
  void reclaimEngine(std::size_t number, base::Duration grace) {
    resource::Engine reclaimed = engineRecord(number);
    reclaimed.status = resource::EngineStatus::leaving;
    reclaimed.reclaimAt = now() + grace;
    commitChange(protocol::EngineChanged{reclaimed});
  }

  /// Advances to the time at which the stream has to move, and answers its export.
  void exportStream() {
    advance(2100ms);
    CHECK_EQUAL(1U, exports.size());
    deliver(EngineExported{{"once"}, attempt(), engine::ExportReply{"kv-source", kDelivered}});
  }

  void answerHold(const engine::HoldResult& result) {
    const HoldState& asked = holds.back();
    deliver(StateHoldAnswered{asked.engine, asked.hold.request, asked.hold.attempt, result});
  }

  void park() {
    exportStream();
    CHECK_EQUAL(1U, holds.size());
    answerHold(engine::HoldReply{"held"});
  }

  /// @return the number of waiting requests that was last reported to the leader.
  std::uint32_t reportedWaiting() const {
    std::uint32_t waiting = 0;
    for (const protocol::Message& message : sentMessages) {
      if (const auto* report = std::get_if<protocol::DemandReport>(&message)) {
        for (const protocol::Demand& demand : report->entries) {
          waiting = demand.waitingInteractive;
        }
      }
    }
    return waiting;
  }

  std::size_t engineNumber(const base::EngineId& engine) const {
    return engine == engineRecord(1).id ? 1 : 2;
  }
};

}  // namespace

TEST_GROUP(StateParkingTest){};

TEST(StateParkingTest, stateIsHeldByAnotherEngineAndTheStreamResumesThere) {
  ParkingHarness harness;
  harness.exportStream();
  CHECK_EQUAL(1U, harness.holds.size());
  const HoldState hold = harness.holds[0];
  CHECK_TRUE(hold.engine != engineRecord(0).id);
  STRCMP_EQUAL("kv-source", hold.hold.source.handle.c_str());
  CHECK_TRUE(hold.hold.source.endpoint == engineRecord(0).endpoint);
  harness.advance(300ms);
  CHECK_EQUAL(1U, harness.reportedWaiting());  // It is reported while the engine has not answered.
  harness.answerHold(engine::HoldReply{"held"});
  harness.commitChange(protocol::EngineRemoved{engineRecord(0).id});
  harness.advance(10s);
  CHECK_EQUAL(1U, harness.reportedWaiting());
  CHECK_EQUAL(0U, harness.refusals.size());
  CHECK_EQUAL(1U, harness.starts.size());

  harness.commitChange(protocol::ReplicaChanged{replicaRecord(9, "model", 1)});
  CHECK_EQUAL(2U, harness.starts.size());
  const engine::GenerateRequest& resumed = harness.starts[1].generate;
  CHECK_EQUAL(kDelivered, resumed.offset);
  CHECK_TRUE(resumed.kvSource->endpoint == hold.endpoint);
  STRCMP_EQUAL("held", resumed.kvSource->handle.c_str());
  STRCMP_EQUAL("", resumed.delivered.c_str());
}

TEST(StateParkingTest, streamWithAnotherReplicaIsNotParked) {
  ParkingHarness harness;
  harness.commitChange(protocol::ReplicaChanged{replicaRecord(9, "model", 1)});
  harness.advance(300ms);
  CHECK_EQUAL(1U, harness.exports.size());
  harness.deliver(
      EngineExported{{"once"}, harness.attempt(), engine::ExportReply{"kv-source", kDelivered}});
  CHECK_EQUAL(0U, harness.holds.size());
  CHECK_EQUAL(2U, harness.starts.size());
}

TEST(StateParkingTest, repeatableStreamIsRecomputedAndNotParked) {
  RouterHarness harness;
  harness.commitChange(protocol::EngineChanged{engineRecord(1)});
  harness.request("again", 60s, kLongAnswer);
  harness.deliver(
      EngineEvent{engine::GenerateToken{{"again"}, harness.starts[0].generate.attempt, 0, " x"}});
  resource::Engine reclaimed = engineRecord(0);
  reclaimed.status = resource::EngineStatus::leaving;
  reclaimed.reclaimAt = harness.now() + 4s;
  harness.commitChange(protocol::EngineChanged{reclaimed});
  harness.advance(2500ms);
  CHECK_EQUAL(0U, harness.cancels.size());
  harness.advance(1s);
  CHECK_EQUAL(0U, harness.exports.size());
  CHECK_EQUAL(0U, harness.holds.size());
  CHECK_EQUAL(1U, harness.cancels.size());
}

TEST(StateParkingTest, refusalByAFullOrLeavingEngineLeadsToAnotherEngine) {
  for (const base::ErrorCode code :
       {base::ErrorCode::engineOverloaded, base::ErrorCode::engineLeaving}) {
    ParkingHarness harness;
    harness.exportStream();
    harness.answerHold(refusal(code));
    CHECK_EQUAL(2U, harness.holds.size());
    CHECK_TRUE(harness.holds[0].engine != harness.holds[1].engine);
    harness.answerHold(engine::HoldReply{"held"});
    harness.commitChange(protocol::EngineRemoved{engineRecord(0).id});
    harness.advance(5s);
    CHECK_EQUAL(0U, harness.refusals.size());
  }
}

TEST(StateParkingTest, indefiniteAnswerIsRetriedAtTheSameEngine) {
  ParkingHarness harness;
  harness.exportStream();
  harness.answerHold(refusal(base::ErrorCode::connectionLost));
  harness.advance(300ms);
  CHECK_EQUAL(2U, harness.holds.size());
  CHECK_TRUE(harness.holds[0].engine == harness.holds[1].engine);
  harness.answerHold(engine::HoldReply{"held"});
  harness.advance(5s);
  CHECK_EQUAL(2U, harness.holds.size());
}

TEST(StateParkingTest, reclaimedHolderPassesTheStateOn) {
  ParkingHarness harness;
  harness.park();
  const std::size_t first = harness.engineNumber(harness.holds[0].engine);
  harness.reclaimEngine(first, 5s);
  harness.advance(2s);
  CHECK_EQUAL(1U, harness.holds.size());
  harness.advance(1300ms);
  CHECK_EQUAL(2U, harness.holds.size());
  const HoldState& second = harness.holds[1];
  CHECK_EQUAL(3U - first, harness.engineNumber(second.engine));
  STRCMP_EQUAL("held", second.hold.source.handle.c_str());
  CHECK_TRUE(second.hold.source.endpoint == harness.holds[0].endpoint);
}

TEST(StateParkingTest, drainedHolderPassesTheStateOnAtOnce) {
  ParkingHarness harness;
  harness.park();
  resource::Resource drain;
  drain.key = {resource::Kind::drain, harness.holds[0].engine.value};
  drain.spec = resource::DrainSpec{};
  harness.commitChange(protocol::ResourceChanged{drain});
  harness.advance(300ms);
  CHECK_EQUAL(2U, harness.holds.size());
  CHECK_TRUE(harness.holds[0].engine != harness.holds[1].engine);
}

TEST(StateParkingTest, lostHolderEndsTheRequestAtOnce) {
  ParkingHarness harness;
  harness.park();
  resource::Engine restarted = engineRecord(harness.engineNumber(harness.holds[0].engine));
  restarted.incarnation = {2};
  harness.commitChange(protocol::EngineChanged{restarted});
  harness.advance(300ms);
  CHECK_EQUAL(1U, harness.refusals.size());
  CHECK_TRUE(harness.refusals[0].error.code == base::ErrorCode::streamBroken);
  CHECK_TRUE(harness.refusals[0].executed == Executed::yes);
  CHECK_FALSE(harness.refusals[0].retryable);
  harness.commitChange(protocol::ReplicaChanged{replicaRecord(9, "model", 1)});
  CHECK_EQUAL(1U, harness.starts.size());
}

TEST(StateParkingTest, replacedVersionEndsTheRequestAtOnce) {
  ParkingHarness harness;
  harness.park();
  harness.commitChange(modelChange("model", "v2"));
  harness.advance(300ms);
  CHECK_EQUAL(1U, harness.refusals.size());
  CHECK_TRUE(harness.refusals[0].error.code == base::ErrorCode::streamBroken);
  CHECK_TRUE(harness.refusals[0].executed == Executed::yes);
  CHECK_EQUAL(1U, harness.cancels.size());  // The holder is notified to free the copy.
}

TEST(StateParkingTest, declaredPreviousVersionIsAwaitedAndResumed) {
  ParkingHarness harness;
  harness.commitChange(versionChange("v1", "model"));
  harness.park();
  harness.commitChange(modelChange("model", "v2"));
  harness.advance(300ms);
  CHECK_EQUAL(0U, harness.refusals.size());
  const std::size_t before = harness.starts.size();
  harness.commitChange(protocol::ReplicaChanged{replicaRecord(9, "model", 1)});
  CHECK_EQUAL(before + 1, harness.starts.size());
  STRCMP_EQUAL("v1", harness.starts.back().generate.servable.version.c_str());
}

TEST(StateParkingTest, streamOfAReplacedVersionStaysUntilItsMachineIsReclaimed) {
  ParkingHarness harness;
  harness.commitChange(modelChange("model", "v2"));
  harness.advance(2500ms);
  CHECK_EQUAL(0U, harness.exports.size());
  CHECK_EQUAL(0U, harness.refusals.size());
}

TEST(StateParkingTest, sourceLostBeforeAnyEngineHoldsTheStateEndsTheRequest) {
  RouterOptions options;
  options.maxStoredStates = 0;
  ParkingHarness harness(60s, options);
  harness.exportStream();
  for (int round = 0; round < 60 && harness.refusals.empty(); ++round) {
    harness.answerHold(refusal(base::ErrorCode::engineOverloaded));
    harness.advance(100ms);
  }
  CHECK_EQUAL(1U, harness.refusals.size());
  CHECK_TRUE(harness.refusals[0].error.code == base::ErrorCode::streamBroken);
}

TEST(StateParkingTest, deadlineEndsAParkedRequestAndFreesTheCopy) {
  ParkingHarness harness(10s);
  harness.park();
  const std::size_t cancelsBefore = harness.cancels.size();
  harness.advance(10s);
  CHECK_EQUAL(1U, harness.refusals.size());
  CHECK_TRUE(harness.refusals[0].error.code == base::ErrorCode::deadlineExceeded);
  CHECK_TRUE(harness.refusals[0].executed == Executed::yes);
  CHECK_EQUAL(cancelsBefore + 1, harness.cancels.size());
  CHECK_TRUE(harness.cancels.back().engine == harness.holds[0].engine);
  CHECK_TRUE(harness.cancels.back().cancel.attempt == harness.holds[0].hold.attempt);
  harness.advance(1s);
  CHECK_EQUAL(0U, harness.reportedWaiting());
}

TEST(StateParkingTest, callerDisconnectDuringParkingFreesBothCopies) {
  ParkingHarness harness;
  harness.exportStream();
  harness.deliver(CallerDisconnected{{"once"}});
  CHECK_EQUAL(2U, harness.cancels.size());
  harness.answerHold(engine::HoldReply{"held"});  // No request waits for this answer.
  harness.advance(1s);
  CHECK_EQUAL(0U, harness.reportedWaiting());
  CHECK_EQUAL(0U, harness.refusals.size());
}

TEST(StateParkingTest, unconfirmedRouterSendsNoState) {
  ParkingHarness harness;
  harness.cellAnswers = false;
  harness.advance(2s);
  CHECK_EQUAL(1U, harness.exports.size());
  harness.advance(1200ms);  // The last confirmation is now older than the limit.
  harness.deliver(
      EngineExported{{"once"}, harness.attempt(), engine::ExportReply{"kv-source", kDelivered}});
  CHECK_EQUAL(0U, harness.holds.size());
}

/// Like ParkingHarness, but no engine stays: engine 1 is gone, engine 2 is drained.
struct KeepingHarness : ParkingHarness {
  explicit KeepingHarness(const RouterOptions& options = {}) : ParkingHarness(60s, options) {
    commitChange(protocol::EngineRemoved{engineRecord(1).id});
    resource::Resource drain;
    drain.key = {resource::Kind::drain, engineRecord(2).id.value};
    drain.spec = resource::DrainSpec{};
    commitChange(protocol::ResourceChanged{drain});
  }

  void keep() {
    exportStream();
    CHECK_EQUAL(0U, holds.size());
    CHECK_EQUAL(1U, keeps.size());
    deliver(StateStored{{"once"}, keeps[0].attempt, base::success()});
  }
};

TEST_GROUP(StateKeepingTest){};

TEST(StateKeepingTest, routerKeepsTheStateUntilAnEngineJoins) {
  KeepingHarness harness;
  harness.keep();
  STRCMP_EQUAL("kv-source", harness.keeps[0].source.handle.c_str());
  harness.commitChange(protocol::EngineRemoved{engineRecord(0).id});
  harness.advance(10s);
  CHECK_EQUAL(1U, harness.reportedWaiting());
  CHECK_EQUAL(0U, harness.puts.size());
  CHECK_EQUAL(0U, harness.refusals.size());

  harness.commitChange(protocol::EngineChanged{engineRecord(3)});
  harness.advance(300ms);
  CHECK_EQUAL(1U, harness.puts.size());
  CHECK_TRUE(harness.puts[0].engine == engineRecord(3).id);
  CHECK_EQUAL(0U, harness.drops.size());
  harness.deliver(StateHoldAnswered{
      harness.puts[0].engine, {"once"}, harness.puts[0].put.attempt, engine::HoldReply{"held"}});
  CHECK_EQUAL(1U, harness.drops.size());
  harness.commitChange(protocol::ReplicaChanged{replicaRecord(9, "model", 3)});
  CHECK_EQUAL(2U, harness.starts.size());
  STRCMP_EQUAL("held", harness.starts[1].generate.kvSource->handle.c_str());
  CHECK_TRUE(harness.starts[1].generate.kvSource->endpoint == engineRecord(3).endpoint);
}

TEST(StateKeepingTest, routerKeepsTheStateThatAFullEngineRefuses) {
  KeepingHarness harness;
  harness.keep();
  harness.commitChange(protocol::EngineChanged{engineRecord(3)});
  harness.advance(300ms);
  harness.deliver(StateHoldAnswered{harness.puts[0].engine,
                                    {"once"},
                                    harness.puts[0].put.attempt,
                                    refusal(base::ErrorCode::engineOverloaded)});
  CHECK_EQUAL(0U, harness.drops.size());
  harness.advance(300ms);
  CHECK_EQUAL(2U, harness.puts.size());
}

TEST(StateKeepingTest, deadlineDropsTheKeptState) {
  KeepingHarness harness;
  harness.keep();
  harness.advance(60s);
  CHECK_EQUAL(1U, harness.refusals.size());
  CHECK_TRUE(harness.refusals[0].error.code == base::ErrorCode::deadlineExceeded);
  CHECK_EQUAL(1U, harness.drops.size());
}

TEST(StateKeepingTest, unfetchableStateEndsTheRequestWhenItsMachineIsReclaimed) {
  KeepingHarness harness;
  harness.exportStream();
  for (int round = 0; round < 60 && harness.refusals.empty(); ++round) {
    const base::Error lost{base::ErrorCode::connectionLost, "", ""};
    harness.deliver(StateStored{{"once"}, harness.keeps.back().attempt, lost});
    harness.advance(100ms);
  }
  CHECK_EQUAL(1U, harness.refusals.size());
  CHECK_TRUE(harness.refusals[0].error.code == base::ErrorCode::streamBroken);
  CHECK_EQUAL(harness.keeps.size(), harness.drops.size());
}

TEST(StateKeepingTest, routerKeepsNoMoreStatesThanTheLimit) {
  RouterOptions options;
  options.maxStoredStates = 0;
  KeepingHarness harness(options);
  harness.advance(3s);
  CHECK_EQUAL(0U, harness.exports.size());  // The stream may still end at its engine.
  CHECK_EQUAL(0U, harness.keeps.size());
}
