/// Tests of how a gateway treats requests with a part of the prompt that crashes workers.

#include "gateway/part_quarantine.h"

#include "gateway/gateway_harness.h"
#include "gateway/request_digest.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;
using registry::PartStanding;

TEST_GROUP(PartQuarantineTest) {
  GatewayHarness harness;

  void setup() override {
    harness.declare(3);
    harness.follow();
  }
  std::size_t sentCount() { return harness.launcher.sent.size(); }
  const SentRequest& lastSent() { return *harness.launcher.sent.back(); }
  static registry::PromptPartDigest digestOfPart(const std::string& part) {
    return sharedPartsOf("svc", {part, "own"}).front();
  }
  void announce(PartStanding standing, const std::string& part, base::Duration remaining = 60s) {
    registry::SuspectPartList list;
    list.parts.push_back({digestOfPart(part), standing, 3, remaining});
    harness.gateway.suspectPartsReceived(list);
    harness.scheduler.settle();
  }
  std::unique_ptr<Caller> request(const std::string& id, const std::string& parts,
                                  const std::string& route = "bound") {
    return harness.request(route, id, "", "", parts);
  }
  void answerLast(const std::string& id) {
    harness.head(lastSent(), 200, id, true);
    lastSent().callbacks->onResponseBody("id: 1\n\n");
    harness.scheduler.settle();
  }
};

TEST(PartQuarantineTest, aCutRequestIsReportedWithThePartsThatItShares) {
  const auto caller = request("r1", "first,middle,own");
  harness.lose(lastSent());
  CHECK_EQUAL(1, harness.link.cutParts.size());
  const registry::CutPromptParts& cut = harness.link.cutParts[0].cuts[0];
  CHECK(cut.request == harness.link.cuts[0].cuts[0].request);
  CHECK(cut.parts == sharedPartsOf("svc", {"first", "middle", "own"}));
  CHECK_EQUAL(2, cut.parts.size());
}

TEST(PartQuarantineTest, requestsWithARefusedPartAreRefusedAtOnceWithTheRemainingTime) {
  announce(PartStanding::refused, "bad", 60s);
  const auto caller = request("r1", "first,bad,own");
  CHECK_EQUAL(0, sentCount());
  CHECK_EQUAL(503, caller->status);
  STRCMP_EQUAL("60.00", caller->headers.find("Retry-After")->c_str());
  const auto sound = request("r2", "first,middle,own");
  CHECK_EQUAL(1, sentCount());
}

TEST(PartQuarantineTest, theLastPartIsOfTheRequestAlone) {
  announce(PartStanding::refused, "bad");
  const auto caller = request("r1", "first,bad");
  CHECK_EQUAL(1, sentCount());
}

TEST(PartQuarantineTest, aRequestThatIsNotAnsweredYetIsCancelledWhenItsPartIsRefused) {
  const auto caller = request("r1", "first,bad,own");
  announce(PartStanding::refused, "bad");
  CHECK(lastSent().cancelled);
  CHECK_EQUAL(502, caller->status);
}

TEST(PartQuarantineTest, aRequestIsNotRepeatedOnceItsPartIsRefused) {
  const auto caller = request("r1", "first,bad,own", "stream");
  announce(PartStanding::watched, "bad");
  harness.lose(lastSent());
  CHECK_EQUAL(2, sentCount());
  announce(PartStanding::refused, "bad");
  CHECK_EQUAL(502, caller->status);
  CHECK_EQUAL(2, sentCount());
}

TEST(PartQuarantineTest, theLeaderIsToldWhenAWatchedPartWasAnsweredBefore) {
  const auto caller = request("r1", "first,middle,own");
  answerLast("r1");
  harness.advanceFollowing(2s);
  CHECK(harness.link.partsAnswered.empty());
  announce(PartStanding::watched, "first");
  CHECK_EQUAL(1, harness.link.partsAnswered.size());
  CHECK(harness.link.partsAnswered[0].parts[0].part == digestOfPart("first"));
  CHECK(harness.link.partsAnswered[0].parts[0].age >= 2s);
}

TEST(PartQuarantineTest, theLeaderIsToldOnceAWatchedPartIsAnswered) {
  announce(PartStanding::watched, "first");
  CHECK(harness.link.partsAnswered.empty());
  const auto caller = request("r1", "first,middle,own");
  answerLast("r1");
  CHECK_EQUAL(1, harness.link.partsAnswered.size());
}

/// A worker may write an error before it looks at the prompt.
TEST(PartQuarantineTest, anErrorDoesNotShowThatAPartIsSound) {
  announce(PartStanding::watched, "first");
  const auto caller = request("r1", "first,middle,own", "once");
  harness.answer(lastSent(), 400, "r1", "x");
  harness.advanceFollowing(1s);
  CHECK(harness.link.partsAnswered.empty());
}

TEST(PartQuarantineTest, anotherLeaderIsToldAgain) {
  announce(PartStanding::watched, "first");
  const auto caller = request("r1", "first,middle,own");
  answerLast("r1");
  harness.gateway.leaderFollowed(false, true);
  harness.scheduler.settle();
  CHECK_EQUAL(2, harness.link.partsAnswered.size());
}

TEST(PartQuarantineTest, aLeaderWithoutAListHasNoSuspectParts) {
  announce(PartStanding::refused, "bad");
  harness.gateway.leaderFollowed(false, false);
  const auto caller = request("r1", "first,bad,own");
  CHECK_EQUAL(1, sentCount());
}

TEST(PartQuarantineTest, ofAPartOnTrialOneRequestIsSent) {
  announce(PartStanding::onTrial, "bad", 30s);
  const auto tried = request("r1", "first,bad,own");
  const auto refused = request("r2", "first,bad,own");
  CHECK_EQUAL(1, sentCount());
  CHECK_EQUAL(0, tried->status);
  CHECK_EQUAL(503, refused->status);
  announce(PartStanding::onTrial, "bad", 30s);
  const auto another = request("r3", "first,bad,own");
  CHECK_EQUAL(503, another->status);
}

TEST(PartQuarantineTest, theRequestThatIsTriedIsNotRepeated) {
  announce(PartStanding::onTrial, "bad", 30s);
  const auto tried = request("r1", "first,bad,own", "stream");
  harness.lose(lastSent());
  CHECK_EQUAL(1, sentCount());
  CHECK_EQUAL(502, tried->status);
}

TEST(PartQuarantineTest, aLeaderOfAnEarlierLevelGetsNoPartsButAllElse) {
  GatewayHarness earlier;
  earlier.featureLevel = registry::feature::kPromptParts - 1;
  earlier.declare(2);
  earlier.follow();
  const auto caller = earlier.request("bound", "r1", "", "", "first,middle,own");
  earlier.lose(*earlier.launcher.sent.back());
  CHECK(earlier.link.cutParts.empty());
  CHECK_EQUAL(1, earlier.link.cuts.size());
}

TEST(PartQuarantineTest, answeredPartsAreForgottenAfterAWhileAndBounded) {
  AnsweredParts answered;
  base::TimePoint now(100s);
  answered.add(digestOfPart("old"), now);
  now += AnsweredParts::kRetention;
  answered.add(digestOfPart("new"), now);
  CHECK_TRUE(answered.find(digestOfPart("old")).has_value());
  now += AnsweredParts::kRetention;
  answered.add(digestOfPart("newer"), now);
  CHECK_FALSE(answered.find(digestOfPart("old")).has_value());
  for (std::size_t number = 0; number < 2 * AnsweredParts::kMinParts; ++number) {
    answered.add(digestOfPart(std::to_string(number)), now);
  }
  CHECK_FALSE(answered.find(digestOfPart("newer")).has_value());
}
