/// Tests of the reported outcomes of attempts, and of the selection of workers that the registry
/// marks as failing.

#include "gateway/gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

TEST_GROUP(FailingWorkerTest) {
  GatewayHarness harness;

  std::size_t sentCount() { return harness.launcher.sent.size(); }
  const SentRequest& lastSent() { return *harness.launcher.sent.back(); }
  /// Announces a worker, whether it holds model m and whether it is failing, as the leader does.
  void announceWorker(std::size_t number, bool failing, bool holds = true) {
    registry::ViewUpdate update;
    update.changed = {GatewayHarness::worker(number)};
    update.changed[0].failing = failing;
    update.changed[0].holdingsKnown = true;
    if (holds) {
      update.changed[0].models = {{"m", 1, {}}};
    }
    harness.gateway.viewReceived(update);
    harness.scheduler.settle();
  }
  /// @return outcomes reported since the last call, all workers together.
  registry::WorkerOutcomes outcomes() {
    harness.advanceFollowing(600ms);
    registry::WorkerOutcomes total;
    for (const registry::DemandUpdate& update : std::exchange(harness.link.demand, {})) {
      for (const registry::WorkerOutcomes& part : update.outcomes) {
        total.answered += part.answered;
        total.failed += part.failed;
      }
    }
    return total;
  }
  void checkOutcomes(std::uint32_t answered, std::uint32_t failed) {
    const registry::WorkerOutcomes total = outcomes();
    CHECK_EQUAL(answered, total.answered);
    CHECK_EQUAL(failed, total.failed);
  }
};

TEST(FailingWorkerTest, outcomesOfAttemptsAreReported) {
  harness.declare(1);
  harness.follow();
  const auto good = harness.request("once", "r1");
  harness.answer(lastSent(), 200, "r1", "x");
  checkOutcomes(1, 0);
  const auto error = harness.request("once", "r2");
  harness.answer(lastSent(), 500, "r2", "x");
  checkOutcomes(0, 1);
  const auto lost = harness.request("once", "r3");
  harness.lose(lastSent());
  checkOutcomes(0, 1);
}

TEST(FailingWorkerTest, aClientErrorCountsAsAnswered) {
  harness.declare(1);
  harness.follow();
  const auto caller = harness.request("once", "r1");
  harness.answer(lastSent(), 404, "r1", "x");
  checkOutcomes(1, 0);
}

TEST(FailingWorkerTest, aRequestThatWasNotRunHasNoOutcome) {
  harness.declare(1);
  harness.follow();
  const auto caller = harness.request("once", "r1");
  harness.refuse(lastSent(), 503, "r1");
  checkOutcomes(0, 0);
}

TEST(FailingWorkerTest, aStreamCountsAsAnsweredOnceBegunAndAsFailedIfCut) {
  harness.declare(1);
  harness.follow();
  const auto caller = harness.request("bound", "r1");
  const SentRequest& attempt = lastSent();
  harness.head(attempt, 200, "r1", true);
  checkOutcomes(0, 0);
  attempt.callbacks->onResponseBody("id: 1\n\nid: 2\n\n");
  checkOutcomes(1, 0);
  harness.lose(attempt);
  checkOutcomes(0, 1);
}

TEST(FailingWorkerTest, aWorkerUnresponsiveUntilItsCallerDisconnectsHasFailed) {
  harness.declare(1);
  harness.follow();
  const auto patient = harness.request("bound", "r1");
  harness.advanceFollowing(2s);
  patient->gone();
  checkOutcomes(0, 1);
  const auto hasty = harness.request("bound", "r2");
  harness.advanceFollowing(200ms);
  hasty->gone();
  checkOutcomes(0, 0);
}

TEST(FailingWorkerTest, aFullWorkerThatIsSlowToAnswerHasNotFailed) {
  harness.declare(1);
  harness.follow();
  registry::ViewUpdate update;
  update.loads.push_back({GatewayHarness::worker(1).record.id, {}, 9});
  harness.gateway.viewReceived(update);
  const auto caller = harness.request("bound", "r1");
  harness.advanceFollowing(2s);
  caller->gone();
  checkOutcomes(0, 0);
}

/// A fault that separates a gateway from the leader may separate it from healthy workers too.
TEST(FailingWorkerTest, outcomesWithoutALeaderAreNotReportedLater) {
  harness.declare(1);
  harness.follow();
  harness.scheduler.advance(2s);  // No message comes from the leader.
  const auto lost = harness.request("once", "r1");
  harness.lose(lastSent());
  harness.scheduler.advance(600ms);
  harness.followAgain();
  checkOutcomes(0, 0);
}

TEST(FailingWorkerTest, aFailingWorkerIsAvoidedWhileAnotherOneHoldsTheModel) {
  harness.declare(2);
  harness.follow();
  announceWorker(1, true);
  announceWorker(2, false);
  for (const char* id : {"r1", "r2", "r3", "r4"}) {
    const auto caller = harness.request("safe", id, "m");
    STRCMP_EQUAL("w2", lastSent().worker.id.value.c_str());
    harness.answer(lastSent(), 200, id, "x");
  }
}

TEST(FailingWorkerTest, aRequestWaitsForAReplicaIfOnlyAFailingWorkerHoldsItsModel) {
  harness.declare(2);
  harness.follow();
  announceWorker(1, true);
  harness.link.demand.clear();
  const auto caller = harness.request("safe", "r1", "m");
  CHECK_EQUAL(0, sentCount());
  CHECK_EQUAL(1, harness.link.demand.back().demands.at(0).waiting);
  harness.advanceFollowing(500ms);
  announceWorker(2, false);
  CHECK_EQUAL(1, sentCount());
  STRCMP_EQUAL("w2", lastSent().worker.id.value.c_str());
}

TEST(FailingWorkerTest, withoutAnotherReplicaTheFailingWorkerIsUsed) {
  harness.declare(1);
  harness.follow();
  announceWorker(1, true);
  const auto caller = harness.request("safe", "r1", "m");
  harness.advanceFollowing(1800ms);
  CHECK_EQUAL(0, sentCount());
  harness.advanceFollowing(600ms);
  CHECK_EQUAL(1, sentCount());
  harness.answer(lastSent(), 200, "r1", "x");
  CHECK_EQUAL(200, caller->status);
}

TEST(FailingWorkerTest, withoutALeaderAFailingWorkerIsUsedAtOnce) {
  harness.declare(1);
  announceWorker(1, true);
  const auto caller = harness.request("safe", "r1", "m");
  CHECK_EQUAL(1, sentCount());
}

TEST(FailingWorkerTest, aPlainServiceUsesAFailingWorkerAtOnce) {
  harness.declare(2);
  harness.follow();
  announceWorker(1, true);
  announceWorker(2, true);
  const auto caller = harness.request("safe", "r1");
  CHECK_EQUAL(1, sentCount());
  announceWorker(2, false);
  const auto second = harness.request("safe", "r2");
  STRCMP_EQUAL("w2", lastSent().worker.id.value.c_str());
}

TEST(FailingWorkerTest, anUpdateWithoutHoldingsMarksAWorkerAsFailing) {
  harness.declare(2);
  harness.follow();
  registry::ViewUpdate update;
  update.changed = {GatewayHarness::worker(1)};
  update.changed[0].failing = true;
  harness.gateway.viewReceived(update);
  const auto caller = harness.request("safe", "r1");
  STRCMP_EQUAL("w2", lastSent().worker.id.value.c_str());
}

/// Guards against sound workers that are declared failing, since callers left before the first
/// event usually comes there.
TEST(FailingWorkerTest, aCallerThatLeavesBeforeTheUsualTimeIsNoFailure) {
  harness.declare(1);
  harness.follow();
  const auto first = harness.request("stream", "r1");
  harness.advanceFollowing(1600ms);
  harness.head(lastSent(), 200, "r1", true);
  lastSent().callbacks->onResponseBody("id: 1\n\n");
  lastSent().callbacks->onResponseComplete();
  checkOutcomes(1, 0);
  const auto second = harness.request("stream", "r2");
  harness.advanceFollowing(1s);
  second->gone();
  checkOutcomes(0, 0);
}

/// Guards against a request that waits for another replica until it is too late for its caller at
/// the failing worker as well.
TEST(FailingWorkerTest, aWaitForAReplicaEndsInTimeForTheLastResort) {
  harness.declare(1);
  harness.follow();
  announceWorker(1, false);
  const auto first = harness.request("stream", "r1", "m");
  harness.advanceFollowing(1s);
  harness.head(lastSent(), 200, "r1", true);
  lastSent().callbacks->onResponseBody("id: 1\n\n");
  lastSent().callbacks->onResponseComplete();
  announceWorker(1, true);
  const auto second = harness.request("stream", "r2", "m");
  // Callers disconnect after 2.4 s, and the failing worker usually begins after 1 s.
  harness.advanceFollowing(1400ms);
  CHECK_EQUAL(2, sentCount());
}
