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
