/// Tests of answers that go beyond any limit: a worker in trouble may send bytes without end.

#include "gateway/gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;

namespace {

constexpr std::size_t kPiece = 64U << 10U;
/// Far more than an answer may have.
constexpr std::size_t kMostPieces = 1000;

}  // namespace

TEST_GROUP(EndlessAnswerTest) {
  GatewayHarness harness;

  void setup() override {
    harness.declare(2);
    harness.follow();
  }
  std::shared_ptr<SentRequest> lastSent() { return harness.launcher.sent.back(); }
  /// Sends the piece again and again until the gateway gives the attempt up.
  void sendWithoutEnd(const std::shared_ptr<SentRequest>& sent, const std::string& piece) {
    for (std::size_t count = 0; count < kMostPieces && !sent->cancelled; ++count) {
      sent->callbacks->onResponseBody(piece);
    }
    harness.scheduler.settle();
    CHECK_TRUE(sent->cancelled);
  }
};

// Guards against a body that is cut at the limit and passed on as complete.
TEST(EndlessAnswerTest, aBodyBeyondTheLimitIsNotPassedOn) {
  const auto caller = harness.request("once", "r1");
  harness.head(*lastSent(), 200, "r1", true);
  sendWithoutEnd(lastSent(), std::string(kPiece, 'x'));
  CHECK_EQUAL(502, caller->status);
  CHECK_TRUE(caller->body.empty());
}

TEST(EndlessAnswerTest, theRequestIsRepeatedElsewhereIfItsRoutePermits) {
  const auto caller = harness.request("safe", "r1");
  harness.head(*lastSent(), 200, "r1", true);
  sendWithoutEnd(lastSent(), std::string(kPiece, 'x'));
  CHECK_EQUAL(2, harness.launcher.sent.size());
  harness.answer(*lastSent(), 200, "r1", "x");
  CHECK_EQUAL(200, caller->status);
}

TEST(EndlessAnswerTest, aBodyThatTheWorkerDoesNotVouchForIsNotReadWithoutEnd) {
  const auto caller = harness.request("once", "r1");
  harness.head(*lastSent(), 200, "r1", false);
  sendWithoutEnd(lastSent(), std::string(kPiece, 'x'));
  CHECK_EQUAL(502, caller->status);
}

TEST(EndlessAnswerTest, aRefusalWithABodyWithoutEndStillPromisesThatNothingRan) {
  const auto caller = harness.request("once", "r1");
  harness.head(*lastSent(), 503, "r1", false, true);
  sendWithoutEnd(lastSent(), std::string(kPiece, 'x'));
  CHECK_EQUAL(2, harness.launcher.sent.size());
  harness.answer(*lastSent(), 200, "r1", "x");
  CHECK_EQUAL(200, caller->status);
}

TEST(EndlessAnswerTest, anEventWithoutEndEndsTheAttemptAndWholeEventsArePassedOn) {
  const auto caller = harness.request("stream", "r1");
  harness.head(*lastSent(), 200, "r1", true);
  lastSent()->callbacks->onResponseBody("id: 1\ndata: a\n\nid: 2\ndata: ");
  sendWithoutEnd(lastSent(), std::string(kPiece, 'x'));
  CHECK_EQUAL(2, harness.launcher.sent.size());
  STRCMP_EQUAL("1", lastSent()->request.headers.find("Resume")->c_str());
  CHECK_EQUAL(std::string("id: 1\ndata: a\n\n"), caller->body);
}

/// Guards against requests that wait for memory behind answers without end, though other workers
/// would serve them.
TEST(EndlessAnswerTest, aWorkerWhoseLongAnswerWaitsForMemoryIsAvoidedForAWhile) {
  GatewayOptions options = GatewayHarness::options();
  options.bufferLimitBytes = 16U << 20U;
  GatewayHarness small(options);
  small.declare(2);
  small.follow();
  const auto endless = small.request("once", "r1");
  const std::shared_ptr<SentRequest> sent = small.launcher.sent.back();
  BufferBudget::Share others{small.gateway.buffers(), BufferBudget::Use::answers};
  others.set({12U << 20U, 12U << 20U});
  small.head(*sent, 200, "r1", true);
  sent->callbacks->onResponseBody(std::string(kPiece, 'x'));
  CHECK_FALSE(sent->reading);
  for (int number = 0; number < 6; ++number) {
    const auto caller = small.request("once", "s" + std::to_string(number));
    CHECK(small.launcher.sent.back()->worker.id != sent->worker.id);
  }
  CHECK_EQUAL(1, small.log.of(runtime::LogEvent::breakerOpened).size());
}
