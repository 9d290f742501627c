/// Workers that end after the first events of an answer, and what gateways tell the leader of it.

#include "gateway/gateway_harness.h"
#include "gateway/request_digest.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;
using registry::PartStanding;

namespace {

constexpr const char* kParts = "first,bad,own";
/// Within which a crash may be due to the request, and more.
constexpr base::Duration kPeriod = 1s;

}  // namespace

TEST_GROUP(AnsweringCrashTest) {
  GatewayHarness harness;
  const std::vector<registry::PromptPartDigest> parts = sharedPartsOf("svc", {"first", "bad", ""});

  void setup() override {
    harness.declare(3);
    harness.follow();
  }
  std::size_t sentCount() { return harness.launcher.sent.size(); }
  const SentRequest& lastSent() { return *harness.launcher.sent.back(); }
  std::unique_ptr<Caller> request(const std::string& route = "bound") {
    return harness.request(route, "r1", "", "the body", kParts);
  }
  void sendEvent(int id) {
    lastSent().callbacks->onResponseBody("id: " + std::to_string(id) + "\n\n");
    harness.scheduler.settle();
  }
  std::unique_ptr<Caller> begunStream(const std::string& route = "bound") {
    auto caller = request(route);
    harness.head(lastSent(), 200, "r1", true);
    sendEvent(1);
    return caller;
  }
  void announcePart(PartStanding standing, const registry::PromptPartDigest& part) {
    registry::SuspectPartList list;
    list.parts.push_back({part, standing, 3, 60s});
    harness.gateway.suspectPartsReceived(list);
    harness.scheduler.settle();
  }
  void quarantine(const registry::RequestDigest& digest) {
    registry::SuspectList list;
    list.requests.push_back({digest, registry::RequestStanding::quarantined, 3, 60s});
    harness.gateway.suspectsReceived(list);
    harness.scheduler.settle();
  }
  registry::RequestDigest digestOfSent() {
    return digestOf(harness.dialect.callerOf(lastSent().request), lastSent().request);
  }
  bool wasAnswered(const registry::PromptPartDigest& part) {
    for (const registry::PartsAnswered& report : harness.link.partsAnswered) {
      for (const auto& answered : report.parts) {
        if (answered.part == part) {
          return true;
        }
      }
    }
    return false;
  }
};

// Guards against a request that crashes its worker after an event and is never reported.
TEST(AnsweringCrashTest, aCutAfterTheFirstEventIsReportedUnderDigestsOfItsOwn) {
  const auto caller = begunStream();
  const registry::RequestDigest digest = digestOfSent();
  harness.scheduler.advance(kPeriod / 2);
  harness.lose(lastSent());
  const registry::CutRequest& cut = harness.link.cuts.at(0).cuts.at(0);
  CHECK(cut.request == answeringDigestOf(digest));
  CHECK_FALSE(cut.begun);
  CHECK(harness.link.cutParts.at(0).cuts.at(0).parts.at(1) == answeringDigestOf(parts[1]));
}

TEST(AnsweringCrashTest, aCutBeforeTheFirstEventIsReportedAsBefore) {
  const auto caller = request();
  const registry::RequestDigest digest = digestOfSent();
  harness.head(lastSent(), 200, "r1", true);
  harness.lose(lastSent());
  CHECK(harness.link.cuts.at(0).cuts.at(0).request == digest);
  CHECK_TRUE(harness.link.cuts.at(0).cuts.at(0).begun);
  CHECK(harness.link.cutParts.at(0).cuts.at(0).parts == parts);
}

TEST(AnsweringCrashTest, aCutAfterThePeriodIsNoEvidence) {
  const auto caller = begunStream();
  harness.advanceFollowing(kPeriod);
  harness.lose(lastSent());
  CHECK_TRUE(harness.link.cuts.empty());
}

// Guards against a part that is acquitted by an event of an answer which crashes its worker.
TEST(AnsweringCrashTest, aFirstEventAcquitsOfCrashesBeforeAnswersOnly) {
  announcePart(PartStanding::watched, answeringDigestOf(parts[1]));
  const auto caller = begunStream();
  CHECK_FALSE(wasAnswered(answeringDigestOf(parts[1])));
  announcePart(PartStanding::watched, parts[1]);
  CHECK_TRUE(wasAnswered(parts[1]));
}

TEST(AnsweringCrashTest, anEventAfterThePeriodAcquitsOfAllCrashes) {
  announcePart(PartStanding::watched, answeringDigestOf(parts[1]));
  const auto caller = begunStream();
  harness.advanceFollowing(kPeriod);
  CHECK_FALSE(wasAnswered(answeringDigestOf(parts[1])));
  sendEvent(2);
  CHECK_TRUE(wasAnswered(answeringDigestOf(parts[1])));
}

TEST(AnsweringCrashTest, theEndOfTheAnswerAcquitsOfAllCrashes) {
  announcePart(PartStanding::watched, answeringDigestOf(parts[1]));
  const auto caller = begunStream();
  lastSent().callbacks->onResponseComplete();
  harness.scheduler.settle();
  CHECK_TRUE(wasAnswered(answeringDigestOf(parts[1])));
}

TEST(AnsweringCrashTest, requestsAreRefusedForCrashesOfEitherKind) {
  announcePart(PartStanding::refused, answeringDigestOf(parts[1]));
  CHECK_EQUAL(503, request()->status);
  announcePart(PartStanding::refused, parts[1]);
  CHECK_EQUAL(503, request()->status);
  CHECK_EQUAL(0, sentCount());
}

TEST(AnsweringCrashTest, aRequestIsRefusedForItsCrashesOfEitherKind) {
  const auto caller = begunStream();
  const registry::RequestDigest digest = digestOfSent();
  lastSent().callbacks->onResponseComplete();
  harness.scheduler.settle();
  for (const registry::RequestDigest& suspect : {digest, answeringDigestOf(digest)}) {
    quarantine(suspect);
    CHECK_EQUAL(503, request()->status);
  }
  CHECK_EQUAL(1, sentCount());
}

// Guards against a stream that goes on crashing workers within one answer.
TEST(AnsweringCrashTest, aStreamThatHasBegunEndsWhenItsPartIsRefused) {
  const auto caller = begunStream("stream");
  announcePart(PartStanding::refused, answeringDigestOf(parts[1]));
  CHECK_TRUE(lastSent().cancelled);
  CHECK_TRUE(caller->aborted);
  CHECK_EQUAL(1, sentCount());
}

TEST(AnsweringCrashTest, aStreamThatWasCutIsNotSentOnOnceItsPartIsRefused) {
  const auto caller = begunStream("stream");
  harness.lose(lastSent());
  CHECK_EQUAL(2, sentCount());
  announcePart(PartStanding::refused, answeringDigestOf(parts[1]));
  CHECK_TRUE(lastSent().cancelled);
  CHECK_TRUE(caller->aborted);
}

TEST(AnsweringCrashTest, aStreamGoesOnThatCannotCrashItsWorkerAnyMore) {
  const auto begun = begunStream();
  announcePart(PartStanding::refused, parts[1]);
  CHECK_FALSE(lastSent().cancelled);
  harness.advanceFollowing(kPeriod);
  announcePart(PartStanding::refused, answeringDigestOf(parts[1]));
  CHECK_FALSE(lastSent().cancelled);
}

// Guards against a trial that an early event ends.
TEST(AnsweringCrashTest, aPartOnTrialIsNotAcquittedByTheFirstEvent) {
  announcePart(PartStanding::onTrial, answeringDigestOf(parts[1]));
  const auto caller = begunStream();
  CHECK_EQUAL(1, sentCount());
  CHECK_FALSE(wasAnswered(answeringDigestOf(parts[1])));
  lastSent().callbacks->onResponseComplete();
  harness.scheduler.settle();
  CHECK_TRUE(wasAnswered(answeringDigestOf(parts[1])));
}

TEST(AnsweringCrashTest, aSuspectThatIsAnsweredIsClearedOfBothKinds) {
  const auto first = begunStream();
  const registry::RequestDigest digest = digestOfSent();
  lastSent().callbacks->onResponseComplete();
  harness.scheduler.settle();
  registry::SuspectList list;
  for (const registry::RequestDigest& suspect : {digest, answeringDigestOf(digest)}) {
    list.requests.push_back({suspect, registry::RequestStanding::suspected, 1, 60s});
  }
  harness.gateway.suspectsReceived(list);
  const auto second = begunStream();
  CHECK_TRUE(harness.link.cuts.empty());
  lastSent().callbacks->onResponseComplete();
  harness.scheduler.settle();
  CHECK_EQUAL(2, harness.link.cuts.at(0).answered.size());
}
