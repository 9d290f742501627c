/// Tests of how long a stream stays at a worker that has not begun it, and of what the gateway
/// learns of that worker.

#include "gateway/gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

TEST_GROUP(StreamStayTest) {
  GatewayHarness harness;

  const SentRequest& sent(std::size_t index) { return *harness.launcher.sent.at(index); }
  const SentRequest& lastSent() { return *harness.launcher.sent.back(); }
  std::size_t sentCount() { return harness.launcher.sent.size(); }
  /// Sends a stream that may not be repeated and gets its first event after that time.
  std::unique_ptr<Caller> beginStream(const char* id, base::Duration firstEventTime) {
    auto caller = harness.request("bound", id);
    harness.scheduler.advance(firstEventTime);
    harness.head(lastSent(), 200, id, true);
    lastSent().callbacks->onResponseBody("id: 1\n\n");
    return caller;
  }
  /// The same, and ends the stream.
  void completeStream(const char* id) {
    const auto caller = beginStream(id, 50ms);
    lastSent().callbacks->onResponseComplete();
    harness.scheduler.settle();
    harness.launcher.sent.clear();
  }
};

/// Guards against streams that leave a worker of which no time is known yet, such as a new one, for
/// one where they are known to begin after their callers have gone.
TEST(StreamStayTest, aStreamStaysAtANewWorkerIfItCameTooLateElsewhere) {
  harness.declare(2);
  const auto first = beginStream("r1", 1600ms);
  const std::string known = sent(0).worker.id.value;
  harness.launcher.sent.clear();
  const auto caller = harness.request("stream", "r2");
  CHECK_FALSE(known == sent(0).worker.id.value);
  harness.scheduler.advance(1590ms);
  CHECK_EQUAL(1, sentCount());
}

/// Guards against streams that stay at a hung worker until their callers have gone, since whole
/// answers of the same service take longer than the callers of streams wait.
TEST(StreamStayTest, timesOfWholeAnswersDoNotKeepAStreamAtAHungWorker) {
  harness.declare(2);
  completeStream("r1");
  completeStream("r2");
  for (const char* id : {"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"}) {
    const auto whole = harness.request("safe", id);
    harness.scheduler.advance(4s);
    harness.answer(lastSent(), 200, id, "x");
  }
  harness.launcher.sent.clear();
  const auto caller = harness.request("stream", "r3");
  harness.scheduler.advance(1s);
  CHECK_EQUAL(2, sentCount());
}

/// Guards against a hung worker that gets every stream of a service that usually begins shortly
/// before callers leave: only their leaving shows that the worker has stopped.
TEST(StreamStayTest, notAllStreamsOfASlowServiceGoToAHungWorker) {
  harness.declare(2);
  const auto first = beginStream("r1", 2000ms);
  const auto second = beginStream("r2", 2000ms);
  harness.launcher.sent.clear();
  for (const char* id : {"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "s10"}) {
    const auto caller = harness.request("stream", id);
    if (lastSent().worker.id.value != "w1") {
      return;
    }
    harness.scheduler.advance(2400ms);
    caller->gone();
    harness.scheduler.settle();
  }
  FAIL("w1 hangs and got all streams");
}

/// Guards against a new gateway that never learns how long a slow service takes, since it moves
/// every stream before its first event, to a worker where it begins after its caller has gone.
TEST(StreamStayTest, aNewGatewayLearnsTheTimeOfASlowService) {
  harness.declare(3);
  for (const char* id : {"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "s10"}) {
    const auto caller = harness.request("stream", id);
    const SentRequest& attempt = lastSent();
    harness.scheduler.advance(1600ms);
    if (!attempt.cancelled) {
      return;  // It begins now, in time.
    }
    harness.scheduler.advance(800ms);
    caller->gone();
    harness.scheduler.settle();
  }
  FAIL("no stream was left where it began in time");
}
