/// Tests of streams whose worker sends nothing for a while and then goes on.

#include "gateway/gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

namespace {

/// Longer than a stream stays at a silent worker.
constexpr base::Duration kSilence = 1300ms;

/// Options by which a gateway may retry that often within a window.
gateway::GatewayOptions optionsWithRetries(double retries) {
  gateway::GatewayOptions options = GatewayHarness::options();
  options.retryRatio = 0;
  options.retrySlack = (retries + 0.1) * (1 + routing::RetryBudget::kSuccessorShare);
  return options;
}

}  // namespace

TEST_GROUP(SilentWorkerTest) {
  std::unique_ptr<GatewayHarness> harness;
  std::unique_ptr<Caller> caller;

  const SentRequest& sent(std::size_t index) { return *harness->launcher.sent.at(index); }
  std::size_t sentCount() { return harness->launcher.sent.size(); }

  /// Begins a stream at one of two workers, which then falls silent.
  void beginStream(double retries) {
    harness = std::make_unique<GatewayHarness>(optionsWithRetries(retries));
    harness->declare(2);
    caller = harness->request("stream", "r1");
    answerWith(sent(0), "id: 1\n\n");
    harness->scheduler.advance(kSilence);
  }
  /// The same with these workers and limits.
  void beginStreamOf(std::size_t workers, std::uint32_t maxAttempts) {
    harness = std::make_unique<GatewayHarness>(optionsWithRetries(50));
    harness->declare(workers);
    auto document = std::make_shared<catalog::Document>(*harness->gateway.document());
    ++document->version;
    for (catalog::Route& route : document->routes) {
      route.maxAttempts = route.name == "stream" ? maxAttempts : route.maxAttempts;
    }
    harness->gateway.documentReceived(std::move(document));
    caller = harness->request("stream", "r1");
    answerWith(sent(0), "id: 1\n\n");
  }
  /// Refuses each attempt after that time, until so many attempts were made or the stream has
  /// ended.
  void refuseAllUntil(std::size_t attempts, base::Duration delay) {
    std::size_t refused = 1;
    for (int round = 0; round < 1000 && sentCount() < attempts && !caller->aborted; ++round) {
      harness->scheduler.advance(delay);
      if (sentCount() > refused) {
        refused = sentCount();
        harness->refuse(*harness->launcher.sent.back(), 503, "r1");
      }
    }
  }
  void markLeaving(const SentRequest& attempt) {
    registry::ViewUpdate update;
    update.changed = {GatewayHarness::worker(attempt.worker.id.value == "w1" ? 1 : 2)};
    update.changed[0].record.leaving = true;
    harness->gateway.viewReceived(update);
  }
  void answerWith(const SentRequest& attempt, const char* events) {
    harness->head(attempt, 200, "r1", true);
    attempt.callbacks->onResponseBody(events);
  }
  void answerWhole(const SentRequest& attempt, const char* events) {
    answerWith(attempt, events);
    attempt.callbacks->onResponseComplete();
    harness->scheduler.settle();
  }
  /// The worker that was silent goes on, with the attempt that it still has or with a new one.
  void silenceEnds() {
    CHECK_FALSE(caller->aborted);
    if (!sent(0).cancelled) {
      sent(0).callbacks->onResponseBody("id: 2\n\n");
      sent(0).callbacks->onResponseComplete();
      harness->scheduler.settle();
      return;
    }
    harness->scheduler.advance(500ms);
    const SentRequest& last = *harness->launcher.sent.back();
    STRCMP_EQUAL(sent(0).worker.id.value.c_str(), last.worker.id.value.c_str());
    STRCMP_EQUAL("1", last.request.headers.find("Resume")->c_str());
    answerWhole(last, "id: 2\n\n");
  }
  void checkWhole() {
    CHECK_FALSE(caller->aborted);
    CHECK_TRUE(caller->complete);
    STRCMP_EQUAL("id: 1\n\nid: 2\n\n", caller->body.c_str());
  }
};

/// Guards against a stream that is ended since it left a silent worker with the last retry of the
/// budget and the next worker did not run it.
TEST(SilentWorkerTest, aStreamIsNotEndedIfNoRetryIsLeftAfterASilence) {
  beginStream(1);
  if (sentCount() > 1) {
    harness->refuse(sent(1), 503, "r1");
  }
  silenceEnds();
  checkWhole();
}

/// Guards against a stream that is ended since it left a silent worker and the next one, the last
/// that its route allows, failed it.
TEST(SilentWorkerTest, aStreamReturnsToTheSilentWorkerIfTheNextOneFails) {
  beginStream(10);
  CHECK_EQUAL(2, sentCount());
  harness->lose(sent(1));
  silenceEnds();
  checkWhole();
}

TEST(SilentWorkerTest, aStreamReturnsToTheSilentWorkerIfTheNextOneAnswersWithAnError) {
  beginStream(10);
  CHECK_EQUAL(2, sentCount());
  harness->answer(sent(1), 500, "r1", "failed");
  silenceEnds();
  checkWhole();
}

/// Guards against a stream that is ended since other requests used up the retries after it had left
/// a silent worker.
TEST(SilentWorkerTest, theRetryForTheReturnIsKept) {
  beginStream(2);
  CHECK_EQUAL(2, sentCount());
  const auto other = harness->request("safe", "r2");
  harness->lose(*harness->launcher.sent.back());
  CHECK_EQUAL(502, other->status);
  harness->refuse(sent(1), 503, "r1");
  silenceEnds();
  checkWhole();
}

TEST(SilentWorkerTest, aRetryKeptForAStreamThatEndsIsUsableAgain) {
  beginStream(2);
  CHECK_EQUAL(2, sentCount());
  answerWhole(sent(1), "id: 2\n\n");
  checkWhole();
  const auto other = harness->request("safe", "r2");
  const std::size_t before = sentCount();
  harness->lose(*harness->launcher.sent.back());
  CHECK_EQUAL(before + 1, sentCount());
}

/// Guards against a stream that waits for a worker which has gone.
TEST(SilentWorkerTest, aStreamWhoseSilentWorkerIsGoneEndsWhenTheNextOneFails) {
  beginStream(10);
  registry::ViewUpdate update;
  update.removed = {sent(0).worker.id};
  harness->gateway.viewReceived(update);
  harness->lose(sent(1));
  harness->scheduler.advance(500ms);
  CHECK_TRUE(caller->aborted);
}

/// Guards against a stream that is ended since the worker to which it returns is not ready to take
/// it back yet.
TEST(SilentWorkerTest, aReturnThatIsRefusedIsTriedAgain) {
  beginStream(10);
  harness->lose(sent(1));
  harness->scheduler.advance(500ms);
  CHECK_EQUAL(3, sentCount());
  harness->refuse(sent(2), 503, "r1");
  silenceEnds();
  checkWhole();
}

TEST(SilentWorkerTest, aReturnThatCannotConnectIsTriedAgain) {
  beginStream(10);
  harness->lose(sent(1));
  harness->scheduler.advance(500ms);
  CHECK_EQUAL(3, sentCount());
  harness->unreachable(sent(2));
  silenceEnds();
  checkWhole();
}

/// Guards against a stream that is ended since its worker was silent and all others are full.
TEST(SilentWorkerTest, refusalsOfAllWorkersDoNotEndAStream) {
  beginStream(20);
  refuseAllUntil(11, 10ms);
  CHECK_FALSE(caller->aborted);
}

TEST(SilentWorkerTest, onlySoManyOtherWorkersAreAsked) {
  constexpr std::size_t kMostDelivered = 8;
  beginStreamOf(12, 2);
  harness->scheduler.advance(kSilence);
  refuseAllUntil(12, 10ms);
  std::size_t others = 0;
  for (const auto& attempt : harness->launcher.sent) {
    others += attempt->worker.id == sent(0).worker.id ? 0 : 1;
  }
  CHECK_TRUE(others < kMostDelivered);
  CHECK_FALSE(caller->aborted);
}

/// Guards against a stream that leaves a worker which completes what it has and takes nothing back.
TEST(SilentWorkerTest, aStreamStaysAtASilentWorkerThatIsLeaving) {
  beginStreamOf(2, 2);
  markLeaving(sent(0));
  harness->scheduler.advance(kSilence);
  CHECK_EQUAL(1, sentCount());
}

TEST(SilentWorkerTest, aStreamIsNotEndedAtOnceIfTheWorkerThatItLeftIsLeaving) {
  beginStream(10);
  markLeaving(sent(0));
  harness->refuse(sent(1), 503, "r1");
  harness->scheduler.advance(100ms);
  CHECK_FALSE(caller->aborted);
}

/// Guards against a stream that remembers only the last of the silent workers that it has left.
TEST(SilentWorkerTest, aStreamMayReturnToEachWorkerThatItHasLeft) {
  beginStreamOf(3, 3);
  harness->scheduler.advance(kSilence);
  CHECK_EQUAL(2, sentCount());
  harness->scheduler.advance(kSilence);
  CHECK_EQUAL(3, sentCount());
  registry::ViewUpdate update;
  update.removed = {sent(1).worker.id};
  harness->gateway.viewReceived(update);
  harness->lose(sent(2));
  silenceEnds();
  checkWhole();
}

/// Guards against a move after which the caller leaves before the next worker goes on.
TEST(SilentWorkerTest, aStreamIsNotMovedWhereItGoesOnTooLate) {
  harness = std::make_unique<GatewayHarness>(optionsWithRetries(10));
  harness->declare(2);
  const auto first = harness->request("bound", "a");
  const auto second = harness->request("bound", "b");
  harness->scheduler.advance(2s);
  harness->answer(sent(0), 200, "a", "id: 1\n\n");
  harness->answer(sent(1), 200, "b", "id: 1\n\n");
  caller = harness->request("stream", "r1");
  harness->scheduler.advance(1s);
  CHECK_EQUAL(3, sentCount());
  answerWith(sent(2), "id: 1\n\n");
  harness->scheduler.advance(kSilence);
  CHECK_EQUAL(3, sentCount());
}

TEST(SilentWorkerTest, aStreamThatCannotBeLeftForAnotherAttemptStays) {
  harness = std::make_unique<GatewayHarness>(optionsWithRetries(50));
  harness->declare(12);
  caller = harness->request("stream", "r1");
  for (int refused = 0; refused < 7; ++refused) {
    harness->refuse(*harness->launcher.sent.back(), 503, "r1");
  }
  CHECK_EQUAL(8, sentCount());
  harness->scheduler.advance(kSilence);
  CHECK_EQUAL(0, caller->status);
}

/// Guards against retries that are kept for streams which go on well at their next worker.
TEST(SilentWorkerTest, theRetryForTheReturnIsReleasedWhenTheNextWorkerGoesOn) {
  beginStream(2);
  answerWith(sent(1), "id: 2\n\n");
  harness->scheduler.advance(500ms);
  const auto other = harness->request("safe", "r2");
  const std::size_t before = sentCount();
  harness->lose(*harness->launcher.sent.back());
  CHECK_EQUAL(before + 1, sentCount());
}

/// Guards against a stopping process that ends a stream which waits for its return.
TEST(SilentWorkerTest, aStopRefusesNoStreamThatHasBegun) {
  beginStream(10);
  harness->refuse(sent(1), 503, "r1");
  harness->gateway.refuseAll();
  harness->scheduler.advance(100ms);
  CHECK_FALSE(caller->aborted);
  harness->gateway.cancelAll();
  CHECK_TRUE(caller->aborted);
}
