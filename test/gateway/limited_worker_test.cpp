/// Tests of rate limits that workers announce: what a gateway sends, and how limits begin and end.

#include "gateway/gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

TEST_GROUP(LimitedWorkerTest) {
  GatewayHarness harness;
  std::uint64_t lastRequest = 0;

  void begin(std::size_t workers = 1) {
    harness.declare(workers);
    harness.follow();
    harness.scheduler.settle();
  }
  std::unique_ptr<Caller> request(const char* route = "safe") {
    return harness.request(route, "r" + std::to_string(++lastRequest));
  }
  std::size_t sentCount() { return harness.launcher.sent.size(); }
  const SentRequest& lastSent() { return *harness.launcher.sent.back(); }
  /// Delivers the worker's response to a request.
  /// @param limit announced in the response; empty: none.
  void answer(const SentRequest& sent, const std::string& limit, bool sealed = true,
              int status = 200) {
    net::MessageHead head;
    head.status = status;
    head.headers.add("Id", *sent.request.headers.find("Id"));
    head.headers.add(sealed ? "Sealed" : "Not-Run", "1");
    if (!limit.empty()) {
      head.headers.add("Limit", limit);
    }
    sent.callbacks->onResponseHead(std::move(head));
    sent.callbacks->onResponseComplete();
    harness.scheduler.settle();
  }
  /// Sends a request, whose response announces a limit.
  void limit(const std::string& text) {
    const auto caller = request();
    answer(lastSent(), text);
  }
  void announceLimit(std::optional<double> limit, bool complete = false) {
    registry::ViewUpdate update;
    update.complete = complete;
    update.changed = {GatewayHarness::worker(1)};
    update.changed[0].limit = limit;
    harness.gateway.viewReceived(update);
    harness.scheduler.settle();
  }
  void grant(double requests, base::Duration retryAfter = 0ms) {
    const registry::QuotaRequest& shareRequest = harness.link.shares.back();
    harness.gateway.sharesGranted({{shareRequest.sequence, {{"w1", requests, retryAfter}}}, {}});
    harness.scheduler.settle();
  }
  /// Disconnects the leader, so that none is followed.
  void loseLeader() {
    harness.loseLeader();
    harness.scheduler.settle();
  }
  std::size_t logged(runtime::LogEvent event) { return harness.log.of(event).size(); }
};

TEST(LimitedWorkerTest, aRequestIsSentOnceTheLeaderGrantsAShare) {
  begin();
  limit("1");
  CHECK_EQUAL(1, harness.link.limits.size());
  DOUBLES_EQUAL(1, *harness.link.limits[0].perSecond, 0.001);
  const auto caller = request();
  CHECK_EQUAL(1, sentCount());
  DOUBLES_EQUAL(1, harness.link.shares.back().claims.at(0).needed, 0.001);
  grant(1);
  CHECK_EQUAL(2, sentCount());
}

TEST(LimitedWorkerTest, aRequestOverTheLimitIsRefusedWithRetryAfter) {
  begin();
  limit("1");
  const auto caller = request();
  grant(0, 1500ms);
  CHECK_EQUAL(503, caller->status);
  const double seconds = std::stod(*caller->headers.find("Retry-After"));
  CHECK(seconds >= 1.5 && seconds <= 2.25);
  CHECK_EQUAL(1, sentCount());
  // For the next request no share is requested at all.
  const std::size_t shareRequestCount = harness.link.shares.size();
  const auto next = request();
  CHECK_EQUAL(503, next->status);
  CHECK_EQUAL(shareRequestCount, harness.link.shares.size());
}

/// For a failing worker no share is requested, and without a share it is no last resort either.
TEST(LimitedWorkerTest, aFailingWorkerWithoutAShareIsNotSentTo) {
  begin();
  limit("1");
  registry::ViewUpdate update;
  update.changed = {GatewayHarness::worker(1)};
  update.changed[0].failing = true;
  update.changed[0].limit = 1;
  harness.gateway.viewReceived(update);
  const auto caller = request();
  harness.scheduler.advance(200ms);
  CHECK_EQUAL(1, sentCount());
  CHECK_EQUAL(0, harness.link.shares.size());
  CHECK_EQUAL(503, caller->status);
}

TEST(LimitedWorkerTest, otherWorkersServeRequestsOverTheLimit) {
  begin(2);
  limit("1");
  const registry::WorkerId limited = lastSent().worker.id;
  for (int count = 0; count < 5; ++count) {
    const auto caller = request();
    CHECK(lastSent().worker.id != limited);
    answer(lastSent(), "");
  }
}

/// Retries and resumptions count against the limit like other requests.
TEST(LimitedWorkerTest, aRetryNeedsAShareToo) {
  begin();
  const auto first = request();
  const auto second = request();
  answer(*harness.launcher.sent[0], "1");
  harness.lose(*harness.launcher.sent[1]);
  harness.scheduler.advance(30ms);
  CHECK_EQUAL(2, sentCount());
  grant(1);
  CHECK_EQUAL(3, sentCount());
}

TEST(LimitedWorkerTest, theMostUrgentRequestGetsTheShare) {
  begin();
  limit("1");
  auto document = std::make_shared<catalog::Document>(*harness.gateway.document());
  document->version += 1;
  document->routes[0].priority = 3;
  harness.gateway.documentReceived(std::move(document));
  const auto later = request("safe");
  const auto urgent = request("once");
  grant(1);
  if (sentCount() == 1) {
    grant(1);
  }
  CHECK_EQUAL(2, sentCount());
  STRCMP_EQUAL("r3", lastSent().request.headers.find("Id")->c_str());
}

// Known limits

/// Responses on different connections may overtake one another.
TEST(LimitedWorkerTest, anAnswerToAnEarlierRequestDoesNotEndALimit) {
  begin();
  const auto first = request();
  harness.scheduler.advance(10ms);
  const auto second = request();
  harness.scheduler.advance(10ms);
  answer(*harness.launcher.sent[1], "1");
  answer(*harness.launcher.sent[0], "");
  CHECK_EQUAL(1, harness.link.limits.size());
  loseLeader();
  const auto third = request();
  CHECK_EQUAL(2, sentCount());
}

TEST(LimitedWorkerTest, theLeaderEndsALimit) {
  begin();
  limit("1");
  announceLimit(1);
  harness.scheduler.advance(10ms);
  const auto caller = request();
  grant(1);
  answer(lastSent(), "");
  CHECK_EQUAL(2, harness.link.limits.size());
  CHECK(!harness.link.limits[1].perSecond);
  announceLimit(std::nullopt);
  const std::size_t before = sentCount();
  const auto next = request();
  CHECK_EQUAL(before + 1, sentCount());
  CHECK_EQUAL(1, logged(runtime::LogEvent::workerLimitEnded));
}

/// A view that was sent before the limit was reported to the leader must not end the limit.
TEST(LimitedWorkerTest, aLeaderThatDoesNotKnowALimitYetDoesNotEndIt) {
  begin();
  limit("1");
  announceLimit(std::nullopt);
  const auto caller = request();
  CHECK_EQUAL(1, sentCount());
}

TEST(LimitedWorkerTest, aLeadersGrantEndsALimitUnknownToIt) {
  begin();
  limit("1");
  const auto caller = request();
  const registry::QuotaRequest& shareRequest = harness.link.shares.back();
  harness.gateway.sharesGranted({{shareRequest.sequence, {{"w1", 1, 0ms}}}, {{"w1"}}});
  harness.scheduler.settle();
  CHECK_EQUAL(2, sentCount());
  const auto next = request();
  CHECK_EQUAL(3, sentCount());
}

TEST(LimitedWorkerTest, aRejectionCanAnnounceALimitButNotEndOne) {
  begin();
  const auto caller = request();
  answer(lastSent(), "1", false, 503);
  CHECK_EQUAL(1, harness.link.limits.size());
  harness.scheduler.advance(50ms);
  grant(1);
  answer(lastSent(), "", false, 503);
  CHECK_EQUAL(1, harness.link.limits.size());
}

TEST(LimitedWorkerTest, aServerErrorCanAnnounceALimit) {
  begin();
  const auto caller = request("once");
  answer(lastSent(), "2", true, 500);
  CHECK_EQUAL(1, harness.link.limits.size());
}

TEST(LimitedWorkerTest, theLowerOfTwoConcurrentLimitsIsUsed) {
  begin();
  const auto first = request();
  const auto second = request();
  harness.scheduler.advance(10ms);
  answer(*harness.launcher.sent[1], "1");
  answer(*harness.launcher.sent[0], "5");
  CHECK_EQUAL(1, harness.link.limits.size());
  DOUBLES_EQUAL(1, *harness.link.limits[0].perSecond, 0.001);
}

TEST(LimitedWorkerTest, anUnreadableLimitIsLoggedOnceAndIgnored) {
  begin();
  limit("bad");
  limit("bad");
  CHECK_EQUAL(1, logged(runtime::LogEvent::limitRefused));
  STRCMP_EQUAL("Limit",
               harness.log.of(runtime::LogEvent::limitRefused)[0].fields.at("field").c_str());
  CHECK_EQUAL(0, harness.link.limits.size());
  limit("1");
  const auto second = request();
  grant(1);
  answer(lastSent(), "bad");
  const std::size_t before = sentCount();
  const auto third = request();
  CHECK_EQUAL(before, sentCount());
}

/// A new incarnation begins without a limit, whatever the previous one announced.
TEST(LimitedWorkerTest, aLimitEndsWithTheIncarnationOfItsWorker) {
  begin();
  limit("1");
  registry::ViewUpdate update;
  update.removed = {{"w1"}};
  update.changed = {GatewayHarness::worker(2)};
  harness.gateway.viewReceived(update);
  const auto caller = request();
  CHECK_EQUAL(2, sentCount());
}

// Leaders

TEST(LimitedWorkerTest, aNewLeaderGetsTheLimitBeforeShareRequests) {
  begin();
  limit("1");
  harness.scheduler.advance(200ms);
  harness.gateway.leaderFollowed(false);
  harness.gateway.viewReceived({});
  harness.scheduler.settle();
  CHECK_EQUAL(2, harness.link.limits.size());
  DOUBLES_EQUAL(1, *harness.link.limits[1].perSecond, 0.001);
  CHECK(harness.link.limits[1].answeredAgo == 200ms);
  // Its first view has no limit yet.
  announceLimit(std::nullopt, true);
  const auto caller = request();
  CHECK_EQUAL(1, sentCount());
}

/// 16 gateways together send 0.4 of the limit, so that this one sends 0.1 requests per second.
TEST(LimitedWorkerTest, withoutALeaderAFractionOfTheLimitIsSent) {
  begin();
  registry::ViewUpdate update;
  update.gateways = 16;
  harness.gateway.viewReceived(update);
  limit("4");
  loseLeader();
  std::size_t served = 0;
  std::size_t refused = 0;
  for (int count = 0; count < 2000; ++count) {
    const std::size_t before = sentCount();
    const auto caller = request();
    harness.scheduler.advance(200ms);
    if (sentCount() > before) {
      answer(lastSent(), "4");
    }
    served += caller->status == 200 ? 1 : 0;
    refused += caller->status == 503 ? 1 : 0;
  }
  // 400 s at 0.1 requests per second yield 40.
  CHECK(served <= 41);
  CHECK(served >= 36);
  CHECK_EQUAL(2000, refused + served);
}

TEST(LimitedWorkerTest, aLeaderWithoutTheFeatureGetsNoShareRequests) {
  harness.featureLevel = registry::feature::kHeartbeatBatches;
  begin();
  limit("1");
  const auto caller = request();
  harness.scheduler.advance(100ms);
  CHECK_EQUAL(0, harness.link.limits.size());
  CHECK_EQUAL(0, harness.link.shares.size());
  CHECK_EQUAL(503, caller->status);
}

/// The machine is suspended between the begin of the event loop iteration and the request.
TEST(LimitedWorkerTest, aShareThatExpiredDuringASuspensionIsNotUsed) {
  begin();
  limit("1");
  const auto caller = request();
  grant(2);
  CHECK_EQUAL(2, sentCount());
  harness.scheduler.suspendWithinIteration(registry::kQuotaLease);
  const auto next = request();
  CHECK_EQUAL(2, sentCount());
}

TEST_GROUP(UnsharedRateTest){};

TEST(UnsharedRateTest, oneRequestIsPermittedEachPeriod) {
  base::TimePoint now(100s);
  UnsharedRate rate(10s, 0.5, now);
  CHECK_FALSE(rate.allows(now + 4900ms));
  CHECK_TRUE(rate.allows(now + 5s));
  rate.take(now + 5s);
  CHECK_FALSE(rate.allows(now + 14900ms));
  CHECK_TRUE(rate.allows(now + 15s));
}

TEST(UnsharedRateTest, unusedPermitsExpire) {
  base::TimePoint now(100s);
  UnsharedRate rate(10s, 0.5, now);
  CHECK_FALSE(rate.allows(now + 5s + UnsharedRate::kUsableFor + 1ms));
  CHECK_TRUE(rate.allows(now + 15s));
  // A high rate yields a burst of no more than one second of permits.
  UnsharedRate high(100ms, 0, now);
  now += 60s;
  int sent = 0;
  while (high.allows(now)) {
    high.take(now);
    ++sent;
  }
  CHECK(sent <= 11);
}
