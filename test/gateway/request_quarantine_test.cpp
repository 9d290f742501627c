/// Tests of how a gateway treats requests that crash their workers, or are suspected of it.

#include "gateway/request_quarantine.h"

#include "gateway/gateway_harness.h"
#include "gateway/request_digest.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;
using registry::RequestStanding;

TEST_GROUP(RequestQuarantineTest) {
  GatewayHarness harness;

  void setup() override {
    harness.declare(2);
    harness.follow();
  }
  std::size_t sentCount() { return harness.launcher.sent.size(); }
  const SentRequest& lastSent() { return *harness.launcher.sent.back(); }
  /// @return the digest of the request that `harness.request` sends.
  registry::RequestDigest digestFor(const std::string& route, const std::string& body) {
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/" + route + "/x";
    request.body = body;
    return digestOf(harness.dialect.callerOf(request), request);
  }
  void announceSuspect(RequestStanding standing, const std::string& route, const std::string& body,
                       base::Duration duration = 60s) {
    registry::SuspectList list;
    list.requests.push_back({digestFor(route, body), standing, 3, duration});
    harness.gateway.suspectsReceived(list);
    harness.scheduler.settle();
  }
  std::unique_ptr<Caller> request(const std::string& route, const std::string& id,
                                  const std::string& body = "same") {
    return harness.request(route, id, "", body);
  }
};

TEST(RequestQuarantineTest, withoutSuspectsNothingIsComputedOrSent) {
  const auto first = request("once", "r1");
  harness.answer(lastSent(), 200, "r1", "x");
  const auto second = request("stream", "r2");
  harness.refuse(lastSent(), 503, "r2");
  harness.advanceFollowing(1s);
  CHECK_EQUAL(0, harness.dialect.callerLookups);
  CHECK(harness.link.cuts.empty());
}

TEST(RequestQuarantineTest, aCutRequestIsReportedOnceToEachLeader) {
  const auto caller = request("once", "r1");
  harness.lose(lastSent());
  harness.advanceFollowing(1s);
  CHECK_EQUAL(1, harness.link.cuts.size());
  CHECK(harness.link.cuts[0].cuts[0].request == digestFor("once", "same"));
  harness.advanceFollowing(1s);
  harness.gateway.leaderFollowed(false);
  harness.scheduler.settle();
  CHECK_EQUAL(2, harness.link.cuts.size());
  CHECK(harness.link.cuts[1].cuts[0].age >= 1900ms);
}

TEST(RequestQuarantineTest, requestsCutTogetherAreReportedTogether) {
  const auto first = request("once", "r1", "one");
  const SentRequest sent = lastSent();
  const auto second = request("once", "r2", "two");
  sent.callbacks->onResponseFailure({base::ErrorCode::connectionLost, "", ""}, true);
  lastSent().callbacks->onResponseFailure({base::ErrorCode::connectionLost, "", ""}, true);
  harness.scheduler.settle();
  CHECK_EQUAL(1, harness.link.cuts.size());
  CHECK_EQUAL(2, harness.link.cuts[0].cuts.size());
}

TEST(RequestQuarantineTest, aCutStreamIsReportedUntilItsWorkerHasSurvivedIt) {
  const auto cutEarly = request("bound", "r1", "one");
  harness.head(lastSent(), 200, "r1", true);
  lastSent().callbacks->onResponseBody("id: 1\n\n");
  harness.lose(lastSent());
  CHECK_EQUAL(1, harness.link.cuts.size());
  const auto cutLate = request("bound", "r2", "two");
  harness.head(lastSent(), 200, "r2", true);
  lastSent().callbacks->onResponseBody("id: 1\n\n");
  harness.scheduler.advance(1s);
  lastSent().callbacks->onResponseBody("id: 2\n\n");
  harness.lose(lastSent());
  CHECK_EQUAL(1, harness.link.cuts.size());
}

TEST(RequestQuarantineTest, aCutStreamThatHadOnlyAHeadIsReported) {
  const auto caller = request("bound", "r1");
  harness.head(lastSent(), 200, "r1", true);
  harness.lose(lastSent());
  CHECK_EQUAL(1, harness.link.cuts.size());
}

TEST(RequestQuarantineTest, aQuarantinedRequestIsRefusedWithTheRemainingTime) {
  announceSuspect(RequestStanding::quarantined, "once", "same", 60s);
  const auto caller = request("once", "r1");
  CHECK_EQUAL(0, sentCount());
  CHECK_EQUAL(503, caller->status);
  STRCMP_EQUAL("60.00", caller->headers.find("Retry-After")->c_str());
  const auto other = request("once", "r2", "other");
  CHECK_EQUAL(1, sentCount());
}

TEST(RequestQuarantineTest, aHeldRequestWaitsUntilItsHoldExpires) {
  announceSuspect(RequestStanding::held, "once", "same", 2s);
  const auto caller = request("once", "r1");
  harness.advanceFollowing(1900ms);
  CHECK_EQUAL(0, sentCount());
  CHECK_EQUAL(0, caller->status);
  harness.advanceFollowing(200ms);
  CHECK_EQUAL(1, sentCount());
}

TEST(RequestQuarantineTest, aHeldRequestIsSentAsSoonAsItIsCleared) {
  announceSuspect(RequestStanding::held, "once", "same", 2s);
  const auto caller = request("once", "r1");
  harness.gateway.suspectsReceived({});
  harness.scheduler.settle();
  CHECK_EQUAL(1, sentCount());
}

TEST(RequestQuarantineTest, aHeldRequestIsRefusedAsSoonAsItIsQuarantined) {
  announceSuspect(RequestStanding::held, "once", "same", 2s);
  const auto caller = request("once", "r1");
  announceSuspect(RequestStanding::quarantined, "once", "same");
  CHECK_EQUAL(0, sentCount());
  CHECK_EQUAL(503, caller->status);
}

TEST(RequestQuarantineTest, aHeldRequestWithTooShortADeadlineIsRefusedAtOnce) {
  announceSuspect(RequestStanding::held, "once", "same", 6s);
  const auto caller = request("once", "r1");
  CHECK_EQUAL(503, caller->status);
  STRCMP_EQUAL("6.00", caller->headers.find("Retry-After")->c_str());
}

TEST(RequestQuarantineTest, aRequestAtAWorkerIsNotCancelledWhenHeld) {
  const auto caller = request("once", "r1");
  announceSuspect(RequestStanding::held, "once", "same", 2s);
  CHECK_FALSE(lastSent().cancelled);
  harness.answer(lastSent(), 200, "r1", "x");
  CHECK_EQUAL(200, caller->status);
}

TEST(RequestQuarantineTest, aSuspectIsSentAndReportedOnceAnswered) {
  announceSuspect(RequestStanding::suspected, "once", "same");
  const auto caller = request("once", "r1");
  harness.answer(lastSent(), 200, "r1", "x");
  CHECK_EQUAL(200, caller->status);
  CHECK_EQUAL(1, harness.link.cuts.size());
  CHECK(harness.link.cuts[0].answered[0] == digestFor("once", "same"));
}

TEST(RequestQuarantineTest, aWorkersErrorCountsAsAnswered) {
  announceSuspect(RequestStanding::suspected, "once", "same");
  const auto caller = request("once", "r1");
  harness.answer(lastSent(), 500, "r1", "x");
  CHECK_EQUAL(500, caller->status);
  CHECK_EQUAL(1, harness.link.cuts.size());
  CHECK_EQUAL(1, harness.link.cuts[0].answered.size());
}

TEST(RequestQuarantineTest, receiptOfTheHeadIsReportedAndLogged) {
  const auto queued = request("bound", "r1");
  harness.lose(lastSent());
  const auto begun = request("bound", "r2", "other");
  harness.head(lastSent(), 200, "r2", true);
  harness.lose(lastSent());
  CHECK_FALSE(harness.link.cuts[0].cuts[0].begun);
  CHECK(harness.link.cuts[1].cuts[0].begun);
  const std::vector<LoggedLine> lines = harness.log.of(runtime::LogEvent::requestCut);
  STRCMP_EQUAL("no", lines[0].fields.at("begun").c_str());
  STRCMP_EQUAL("yes", lines[1].fields.at("begun").c_str());
}

TEST(RequestQuarantineTest, aQuarantinedRequestQueuedAtAWorkerIsCancelled) {
  const auto caller = request("once", "r1");
  announceSuspect(RequestStanding::quarantined, "once", "same");
  CHECK(lastSent().cancelled);
  CHECK_EQUAL(502, caller->status);
}

TEST(RequestQuarantineTest, aQuarantinedRequestThatIsBeingAnsweredContinues) {
  const auto caller = request("bound", "r1");
  harness.head(lastSent(), 200, "r1", true);
  lastSent().callbacks->onResponseBody("id: 1\n\n");
  announceSuspect(RequestStanding::quarantined, "bound", "same");
  CHECK_FALSE(lastSent().cancelled);
}

TEST(RequestQuarantineTest, aQuarantinedWaitingRequestIsRefusedAtOnce) {
  const auto caller = harness.request("bound", "r1", "m", "same");
  CHECK_EQUAL(0, sentCount());
  announceSuspect(RequestStanding::quarantined, "bound", "same");
  CHECK_EQUAL(503, caller->status);
}

TEST(RequestQuarantineTest, aCutRequestIsNotRetriedWhileHeld) {
  const auto caller = request("safe", "r1");
  announceSuspect(RequestStanding::held, "safe", "same", 2s);
  harness.lose(lastSent());
  CHECK_EQUAL(1, sentCount());
  announceSuspect(RequestStanding::quarantined, "safe", "same");
  CHECK_EQUAL(1, sentCount());
  CHECK_EQUAL(502, caller->status);
}

TEST(RequestQuarantineTest, classificationsAreKeptWithoutALeader) {
  announceSuspect(RequestStanding::quarantined, "once", "same");
  harness.scheduler.advance(5s);
  const auto caller = request("once", "r1");
  CHECK_EQUAL(503, caller->status);
  CHECK_EQUAL(0, sentCount());
}

TEST(RequestQuarantineTest, aNewLeadersListReplacesTheClassifications) {
  announceSuspect(RequestStanding::quarantined, "once", "same");
  harness.gateway.leaderFollowed(true);
  const auto refused = request("once", "r1");
  CHECK_EQUAL(503, refused->status);
  harness.gateway.leaderFollowed(false);
  const auto sent = request("once", "r2");
  CHECK_EQUAL(1, sentCount());
}
