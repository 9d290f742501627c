/// Tests of request proxying under failures of workers and callers.

#include "gateway/gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

TEST_GROUP(ExchangeTest) {
  GatewayHarness harness;
  const SentRequest& sent(std::size_t index) { return *harness.launcher.sent.at(index); }
  std::size_t sentCount() { return harness.launcher.sent.size(); }

  /// Announces the number of requests of all gateways at each worker, as the leader does.
  void announceLoads(std::initializer_list<std::uint32_t> running) {
    registry::ViewUpdate update;
    std::size_t number = 0;
    for (const std::uint32_t count : running) {
      update.loads.push_back({GatewayHarness::worker(++number).record.id, {}, count});
    }
    harness.gateway.viewReceived(update);
  }
  /// Sends a stream that may not be repeated and gets its first event after that time.
  std::unique_ptr<Caller> beginStream(const char* id, base::Duration firstEventTime) {
    auto caller = harness.request("bound", id);
    harness.scheduler.advance(firstEventTime);
    const SentRequest& attempt = *harness.launcher.sent.back();
    harness.head(attempt, 200, id, true);
    attempt.callbacks->onResponseBody("id: 1\n\n");
    return caller;
  }
  /// Runs a stream for a second from its first event on, so that the gateway knows for how long a
  /// stream occupies a slot.
  void completeStream(const char* id) {
    const auto caller = harness.request("stream", id);
    const SentRequest& attempt = *harness.launcher.sent.back();
    harness.scheduler.advance(50ms);
    harness.head(attempt, 200, id, true);
    attempt.callbacks->onResponseBody("id: 1\n\n");
    for (int event = 0; event < 4; ++event) {
      harness.scheduler.advance(250ms);
      attempt.callbacks->onResponseBody("id: 2\n\n");
    }
    attempt.callbacks->onResponseComplete();
    harness.scheduler.settle();
    harness.launcher.sent.clear();
  }
};

TEST(ExchangeTest, aRefusalWithoutADocumentIsRetryable) {
  const auto caller = harness.request("safe", "r1");
  CHECK_EQUAL(0, caller->status);
  harness.scheduler.advance(2s);
  CHECK_EQUAL(503, caller->status);
  CHECK(caller->headers.find("Retry-After") != nullptr);
}

TEST(ExchangeTest, aRequestQueuedBeforeTheFirstDocumentKeepsItsRemainingDeadline) {
  const auto caller = harness.request("safe", "r1");
  const auto left = harness.request("safe", "r2");
  left->gone();
  harness.scheduler.advance(1s);
  harness.declare(1);
  CHECK_EQUAL(1, sentCount());
  STRCMP_EQUAL("4000", sent(0).request.headers.find("Deadline-Ms")->c_str());
}

TEST(ExchangeTest, anUnknownRouteIsNotFound) {
  harness.declare(1);
  CHECK_EQUAL(404, harness.request("none", "r1")->status);
}

TEST(ExchangeTest, theResponseIsForwardedUnchanged) {
  harness.declare(1);
  const auto caller = harness.request("once", "r1");
  CHECK_EQUAL(1, sentCount());
  STRCMP_EQUAL("body of r1", sent(0).request.body.c_str());
  STRCMP_EQUAL("w1", sent(0).request.headers.find("Target")->c_str());
  harness.answer(sent(0), 418, "r1", "teapot");
  CHECK_EQUAL(418, caller->status);
  STRCMP_EQUAL("teapot", caller->body.c_str());
}

TEST(ExchangeTest, theRemainingDeadlineIsSentToTheWorker) {
  harness.declare(2);
  const auto caller = harness.request("safe", "r1");
  harness.scheduler.advance(2s);
  harness.lose(sent(0));
  STRCMP_EQUAL("3000", sent(1).request.headers.find("Deadline-Ms")->c_str());
}

TEST(ExchangeTest, aResponseToAnotherRequestIsIgnored) {
  harness.declare(1);
  const auto caller = harness.request("once", "r1");
  CHECK_FALSE(harness.head(sent(0), 200, "r0", true));
  harness.answer(sent(0), 200, "r1", "mine");
  STRCMP_EQUAL("mine", caller->body.c_str());
}

TEST(ExchangeTest, anUnsealedResponseIsNotForwarded) {
  harness.declare(1);
  const auto caller = harness.request("once", "r1");
  harness.head(sent(0), 200, "r1", false);
  sent(0).callbacks->onResponseComplete();
  CHECK_EQUAL(502, caller->status);
}

TEST(ExchangeTest, aNonRepeatableRequestThatMayHaveRunIsNotRetried) {
  harness.declare(2);
  const auto caller = harness.request("once", "r1");
  harness.lose(sent(0));
  CHECK_EQUAL(1, sentCount());
  CHECK_EQUAL(502, caller->status);
}

TEST(ExchangeTest, aRequestThatDidNotRunIsSentToAnotherWorker) {
  harness.declare(2);
  const auto caller = harness.request("once", "r1");
  harness.refuse(sent(0), 503, "r1");
  CHECK_EQUAL(2, sentCount());
  CHECK_TRUE(sent(0).worker.id.value != sent(1).worker.id.value);
  harness.unreachable(sent(1));
  harness.scheduler.advance(1s);
  CHECK_TRUE(sentCount() > 2);
}

TEST(ExchangeTest, aRepeatableRequestRunsOnNoMoreWorkersThanAllowed) {
  harness.declare(3);
  const auto caller = harness.request("safe", "r1");
  harness.lose(sent(0));
  harness.lose(sent(1));
  CHECK_EQUAL(2, sentCount());
  CHECK_EQUAL(502, caller->status);
}

TEST(ExchangeTest, theLastWorkersErrorIsForwardedWhenNoAttemptIsLeft) {
  harness.declare(3);
  const auto caller = harness.request("safe", "r1");
  harness.answer(sent(0), 500, "r1", "first");
  harness.answer(sent(1), 500, "r1", "second");
  CHECK_EQUAL(500, caller->status);
  STRCMP_EQUAL("second", caller->body.c_str());
}

TEST(ExchangeTest, theDeadlineCancelsTheAttemptAndIsAnswered) {
  harness.declare(1);
  const auto caller = harness.request("once", "r1");
  harness.scheduler.advance(4999ms);
  CHECK_EQUAL(0, caller->status);
  harness.scheduler.advance(1ms);
  CHECK_EQUAL(504, caller->status);
  CHECK_TRUE(sent(0).cancelled);
}

TEST(ExchangeTest, aRefusalWithoutWorkersIsRetryable) {
  harness.declare(0);
  const auto caller = harness.request("once", "r1");
  CHECK_EQUAL(0, caller->status);
  harness.scheduler.advance(300ms);
  CHECK_EQUAL(503, caller->status);
  CHECK(caller->headers.find("Retry-After") != nullptr);
}

TEST(ExchangeTest, aDisconnectedCallersAttemptIsCancelled) {
  harness.declare(1);
  const auto caller = harness.request("stream", "r1");
  caller->gone();
  harness.scheduler.settle();
  CHECK_TRUE(sent(0).cancelled);
  CHECK_EQUAL(0, harness.gateway.exchangeCount());
}

TEST(ExchangeTest, aBrokenStreamResumesAtAnotherWorkerAfterItsLastEvent) {
  harness.declare(2);
  const auto caller = harness.request("stream", "r1");
  harness.head(sent(0), 200, "r1", true);
  sent(0).callbacks->onResponseBody("id: 1\n\nid: 2\n\nid: 3\nda");
  harness.lose(sent(0));
  CHECK_EQUAL(2, sentCount());
  STRCMP_EQUAL("2", sent(1).request.headers.find("Resume")->c_str());
  harness.head(sent(1), 200, "r1", true);
  sent(1).callbacks->onResponseBody("id: 2\n\nid: 3\n\n");
  sent(1).callbacks->onResponseComplete();
  STRCMP_EQUAL("id: 1\n\nid: 2\n\nid: 3\n\n", caller->body.c_str());
  CHECK_TRUE(caller->complete);
}

/// Guards against a refusal that is written into the answer of a stream that has begun.
TEST(ExchangeTest, aBegunStreamWithoutWorkersIsAbortedAndNotRefused) {
  harness.declare(2);
  const auto caller = harness.request("stream", "r1");
  harness.head(sent(0), 200, "r1", true);
  sent(0).callbacks->onResponseBody("id: 1\n\n");
  registry::ViewUpdate update;
  update.removed = {{"w1"}, {"w2"}};
  harness.gateway.viewReceived(update);
  harness.lose(sent(0));
  harness.scheduler.advance(1s);
  CHECK_EQUAL(200, caller->status);
  STRCMP_EQUAL("id: 1\n\n", caller->body.c_str());
  CHECK_FALSE(caller->complete);
  CHECK_TRUE(caller->aborted);
}

TEST(ExchangeTest, aBrokenNonResumableStreamIsAborted) {
  harness.declare(2);
  const auto caller = harness.request("bound", "r1");
  harness.head(sent(0), 200, "r1", true);
  sent(0).callbacks->onResponseBody("id: 1\n\n");
  harness.lose(sent(0));
  CHECK_EQUAL(1, sentCount());
  CHECK_TRUE(caller->aborted);
  CHECK_FALSE(caller->complete);
}

TEST(ExchangeTest, aStreamThatEndsWithinAnEventIsAborted) {
  harness.declare(1);
  const auto caller = harness.request("bound", "r1");
  harness.head(sent(0), 200, "r1", true);
  sent(0).callbacks->onResponseBody("id: 1\n\nid: 2\nda");
  sent(0).callbacks->onResponseComplete();
  CHECK_TRUE(caller->aborted);
}

TEST(ExchangeTest, aResumableStreamLeavesAnUnresponsiveWorker) {
  harness.declare(2);
  const auto caller = harness.request("stream", "r1");
  harness.scheduler.advance(2s);
  CHECK_EQUAL(2, sentCount());
  CHECK_TRUE(sent(0).cancelled);
}

TEST(ExchangeTest, aRequestWaitsForItsModel) {
  harness.declare(1);
  const auto caller = harness.request("stream", "r1", "m/a1");
  CHECK_EQUAL(0, sentCount());
  registry::ViewUpdate update;
  update.changed.push_back(GatewayHarness::worker(1));
  update.changed[0].holdingsKnown = true;
  update.changed[0].models = {{"m", 1, {"a1"}}};
  harness.gateway.viewReceived(update);
  CHECK_EQUAL(1, sentCount());
}

TEST(ExchangeTest, aWorkerThatDeniedHoldingTheModelIsNotRetriedAtOnce) {
  harness.declare(1);
  registry::ViewUpdate update;
  update.changed.push_back(GatewayHarness::worker(1));
  update.changed[0].holdingsKnown = true;
  update.changed[0].models = {{"m", 1, {}}};
  harness.gateway.viewReceived(update);
  const auto caller = harness.request("stream", "r1", "m");
  harness.refuse(sent(0), 421, "r1");
  harness.scheduler.advance(100ms);
  CHECK_EQUAL(1, sentCount());
  harness.scheduler.advance(1s);
  CHECK_EQUAL(2, sentCount());
}

TEST(ExchangeTest, anOlderDocumentIsIgnored) {
  harness.declare(1, 5);
  harness.declare(1, 4);
  CHECK_EQUAL(5, harness.gateway.documentVersion());
}

TEST(ExchangeTest, aLeavingWorkerGetsNoNewRequests) {
  harness.declare(2);
  registry::ViewUpdate update;
  update.changed.push_back(GatewayHarness::worker(1));
  update.changed[0].record.leaving = true;
  harness.gateway.viewReceived(update);
  std::vector<std::unique_ptr<Caller>> callers;
  for (int number = 0; number < 10; ++number) {
    callers.push_back(harness.request("safe", "r" + std::to_string(number)));
  }
  for (const auto& one : harness.launcher.sent) {
    STRCMP_EQUAL("w2", one->worker.id.value.c_str());
  }
}

TEST(ExchangeTest, aStoppingGatewayRefusesStreamsAsNotRun) {
  harness.declare(1);
  harness.gateway.refuseStreams();
  CHECK_EQUAL(503, harness.request("stream", "r1")->status);
  const auto plain = harness.request("once", "r2");
  CHECK_EQUAL(1, sentCount());
  harness.gateway.refuseAll();
  CHECK_EQUAL(503, harness.request("once", "r3")->status);
}

TEST(ExchangeTest, aWaitingRequestIsRefusedAtShutdown) {
  harness.declare(1);
  const auto waiting = harness.request("stream", "r1", "m");
  const auto running = harness.request("once", "r2");
  harness.gateway.refuseAll();
  CHECK_EQUAL(503, waiting->status);
  CHECK(waiting->headers.find("Retry-After") != nullptr);
  CHECK_EQUAL(0, running->status);
  harness.gateway.cancelAll();
  CHECK_EQUAL(502, running->status);
  CHECK_TRUE(sent(0).cancelled);
}

/// Otherwise the process would shut down before its document came, and cut the connection without a
/// response.
TEST(ExchangeTest, aRequestWaitingForTheFirstDocumentIsRefusedAtShutdown) {
  const auto waiting = harness.request("once", "r1");
  harness.gateway.refuseAll();
  CHECK_EQUAL(503, waiting->status);
  CHECK(waiting->headers.find("Retry-After") != nullptr);
  CHECK_EQUAL(503, harness.request("once", "r2")->status);
}

TEST(ExchangeTest, aWorkerWithPausingStreamsIsAvoided) {
  harness.declare(2);
  const auto paused = harness.request("stream", "r1");
  harness.scheduler.advance(50ms);
  harness.head(sent(0), 200, "r1", true);
  sent(0).callbacks->onResponseBody("id: 1\n\n");
  harness.scheduler.advance(500ms);
  sent(0).callbacks->onResponseBody("id: 2\n\n");
  sent(0).callbacks->onResponseComplete();
  harness.scheduler.settle();
  const auto next = harness.request("stream", "r2");
  CHECK_TRUE(sent(1).worker.id.value != sent(0).worker.id.value);
}

TEST(ExchangeTest, theRetryBudgetLimitsAllRequestsTogether) {
  harness.declare(3);
  std::vector<std::unique_ptr<Caller>> callers;
  for (int number = 0; number < 500; ++number) {
    const std::string id = "r" + std::to_string(number);
    callers.push_back(harness.request("safe", id));
    harness.answer(*harness.launcher.sent.back(), 500, id, "");
  }
  // The budget is two thirds of a slack of 100 plus two thirds of a fifth of 500 requests.
  CHECK_TRUE(sentCount() <= 500 + 67 + 67);
  CHECK_TRUE(sentCount() > 500 + 100);
}

/// Guards against streams that were cancelled while queued at a full worker and then failed,
/// because no retry was left in the budget.
TEST(ExchangeTest, anUnresponsiveWorkerKeepsItsStreamIfNoRetryIsLeft) {
  harness.declare(2);
  std::vector<std::unique_ptr<Caller>> callers;
  for (int number = 0; number < 200; ++number) {
    callers.push_back(harness.request("safe", "s" + std::to_string(number)));
    harness.answer(*harness.launcher.sent.back(), 500, "s" + std::to_string(number), "");
  }
  harness.launcher.sent.clear();
  const auto caller = harness.request("stream", "r1");
  harness.scheduler.advance(3s);
  CHECK_EQUAL(1, sentCount());
  CHECK_FALSE(sent(0).cancelled);
  CHECK_EQUAL(0, caller->status);
}

TEST(ExchangeTest, anUnresponsiveWorkerKeepsItsStreamIfTheOthersAreFull) {
  harness.declare(2);
  const auto caller = harness.request("stream", "r1");
  announceLoads({9, 9});
  harness.scheduler.advance(3s);
  CHECK_EQUAL(1, sentCount());
  announceLoads({9, 0});
  harness.scheduler.advance(2s);
  CHECK_EQUAL(2, sentCount());
  CHECK_TRUE(sent(0).cancelled);
}

/// Guards against streams that left sound workers whose first event usually takes longer than the
/// stall time: elsewhere they would have begun after their callers had gone.
TEST(ExchangeTest, aStreamStaysWhereItBeginsInTimeIfItCameTooLateElsewhere) {
  harness.declare(2);
  // Both workers are known to begin after 1.6 s. Callers disconnect after 2.4 s.
  const auto first = beginStream("r1", 1600ms);
  const auto second = beginStream("r2", 1600ms);
  CHECK_FALSE(sent(0).worker.id == sent(1).worker.id);
  harness.launcher.sent.clear();
  const auto caller = harness.request("stream", "r3");
  harness.scheduler.advance(1590ms);
  CHECK_EQUAL(1, sentCount());
  CHECK_FALSE(sent(0).cancelled);
  // Later than usual, it may have stopped.
  harness.scheduler.advance(500ms);
  CHECK_EQUAL(2, sentCount());
  CHECK_TRUE(sent(0).cancelled);
}

TEST(ExchangeTest, aStreamLeavesASlowWorkerForOneThatUsuallyBeginsSooner) {
  harness.declare(2);
  const auto slow = beginStream("r1", 1600ms);
  const auto quick = beginStream("r2", 50ms);
  harness.launcher.sent.clear();
  // The quick worker is full when the request comes, and has free slots later.
  announceLoads({0, 400});
  const auto caller = harness.request("stream", "r3");
  STRCMP_EQUAL("w1", sent(0).worker.id.value.c_str());
  announceLoads({0, 0});
  harness.scheduler.advance(950ms);
  CHECK_EQUAL(2, sentCount());
  STRCMP_EQUAL("w2", sent(1).worker.id.value.c_str());
}

TEST(ExchangeTest, aStreamThatWouldBeginLateIsRefusedAtOnce) {
  harness.declare(2);
  completeStream("r0");
  announceLoads({9, 9});
  const auto caller = harness.request("stream", "r1", "");
  CHECK_EQUAL(0, sentCount());
  CHECK_EQUAL(503, caller->status);
  CHECK(caller->headers.find("Retry-After") != nullptr);
}

TEST(ExchangeTest, aStreamThatBeginsInTimeIsQueuedAtAFullWorker) {
  harness.declare(2);
  completeStream("r0");
  announceLoads({9, 4});
  const auto caller = harness.request("stream", "r1");
  CHECK_EQUAL(1, sentCount());
  STRCMP_EQUAL("w2", sent(0).worker.id.value.c_str());
}

TEST(ExchangeTest, aBegunStreamIsNotRefusedForItsQueueingTime) {
  harness.declare(2);
  completeStream("r0");
  const auto caller = harness.request("stream", "r1");
  harness.head(sent(0), 200, "r1", true);
  sent(0).callbacks->onResponseBody("id: 1\n\n");
  announceLoads({9, 9});
  harness.lose(sent(0));
  CHECK_EQUAL(2, sentCount());
  CHECK_FALSE(caller->aborted);
}

TEST(ExchangeTest, aReportedFullQueueCountsUntilTheNextView) {
  harness.declare(1);
  completeStream("r0");
  announceLoads({4});
  const auto first = harness.request("stream", "r1");
  harness.refuse(sent(0), 503, "r1");
  harness.scheduler.advance(100ms);
  CHECK_EQUAL(1, sentCount());
  CHECK_EQUAL(503, first->status);
  announceLoads({2});
  const auto second = harness.request("stream", "r2");
  CHECK_EQUAL(2, sentCount());
}

/// Open connections may become unresponsive for good, without a reset, while new ones work.
TEST(ExchangeTest, anUnresponsiveConnectionClosesIdleOnesToTheSameWorker) {
  harness.declare(1);
  const auto caller = harness.request("once", "r1");
  harness.scheduler.advance(5s);
  CHECK_EQUAL(504, caller->status);
  CHECK_EQUAL(1, harness.launcher.forgotten.size());
  STRCMP_EQUAL("w1", harness.launcher.forgotten[0].value.c_str());
}

TEST(ExchangeTest, aStreamThatLeavesAnUnresponsiveWorkerClosesItsIdleConnections) {
  harness.declare(2);
  const auto caller = harness.request("stream", "r1");
  harness.scheduler.advance(2s);
  CHECK_EQUAL(2, sentCount());
  CHECK_EQUAL(1, harness.launcher.forgotten.size());
  CHECK_TRUE(harness.launcher.forgotten[0] == sent(0).worker.id);
}
