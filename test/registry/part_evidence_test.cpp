/// Tests of PartEvidence: which parts of prompts explain the crashes of workers.

#include "registry/part_evidence.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

namespace {

PromptPartDigest part(std::uint8_t number) {
  PromptPartDigest made;
  made.bytes[0] = number;
  return made;
}

const PromptPartDigest kFirst = part(1);
const PromptPartDigest kCrashing = part(2);
const PromptPartDigest kMiddle = part(3);
const PromptPartDigest kOther = part(4);

}  // namespace

TEST_GROUP(PartEvidenceTest) {
  PartEvidence evidence;
  RequestCrashLedger requests;
  base::TimePoint now = base::TimePoint(1000s);
  std::uint8_t lastRequest = 0;

  RequestDigest request(std::uint8_t number) {
    RequestDigest made;
    made.bytes[0] = number;
    return made;
  }
  RequestDigest nextRequest() { return request(++lastRequest); }
  void cut(const char* worker, const RequestDigest& digest, std::vector<PromptPartDigest> parts,
           bool begun = false) {
    evidence.addParts({digest, {worker}, std::move(parts)});
    evidence.addCut({worker}, digest, begun, now);
  }
  /// A worker crashes under one request that no other is like.
  void crash(const char* worker, std::vector<PromptPartDigest> parts) {
    cut(worker, nextRequest(), std::move(parts));
    evidence.confirm({worker});
    now += 1s;
  }
  std::set<PromptPartDigest> causes() {
    return chooseCauses(evidence.suspects(true), {}, requests);
  }
  void checkCauses(const std::set<PromptPartDigest>& expected) { CHECK(causes() == expected); }
};

TEST(PartEvidenceTest, aPartOfThreeDifferentRequestsIsTheCause) {
  crash("w1", {kCrashing});
  crash("w2", {kCrashing});
  checkCauses({});
  crash("w3", {kCrashing});
  checkCauses({kCrashing});
}

TEST(PartEvidenceTest, aRequestThatIsRepeatedShowsNothingAboutItsParts) {
  const RequestDigest repeated = nextRequest();
  for (const char* worker : {"w1", "w2", "w3", "w4"}) {
    cut(worker, repeated, {kFirst, kMiddle});
    evidence.confirm({worker});
    now += 1s;
  }
  checkCauses({});
}

TEST(PartEvidenceTest, twoRequestsThatAreRepeatedShowItOneCrashLater) {
  const RequestDigest one = nextRequest();
  const RequestDigest two = nextRequest();
  const auto crashUnder = [this](const char* worker, const RequestDigest& digest) {
    cut(worker, digest, {kCrashing});
    evidence.confirm({worker});
    requests.add({worker}, {}, {digest});
    now += 1s;
  };
  for (const char* worker : {"w1", "w2", "w3"}) {
    crashUnder(worker, one);
  }
  checkCauses({});
  crashUnder("w4", two);
  checkCauses({kCrashing});
}

TEST(PartEvidenceTest, aRequestWithAllCrashesOfAPartExplainsThem) {
  const RequestDigest repeated = nextRequest();
  for (const char* worker : {"w1", "w2", "w3"}) {
    cut(worker, repeated, {});
    cut(worker, nextRequest(), {kMiddle});
    evidence.confirm({worker});
    requests.add({worker}, {}, {repeated});
    now += 1s;
  }
  checkCauses({});
}

TEST(PartEvidenceTest, aPartWithWhichARequestWasAnsweredSinceIsNotTheCause) {
  crash("w1", {kFirst, kCrashing});
  evidence.addAnswer(kFirst, now);
  crash("w2", {kFirst, kCrashing});
  crash("w3", {kFirst, kCrashing});
  checkCauses({kCrashing});
}

TEST(PartEvidenceTest, aPartThatWasAnsweredShortlyBeforeIsTheLessLikelyCause) {
  evidence.addAnswer(kFirst, now - 10s);
  for (const char* worker : {"w1", "w2", "w3", "w4"}) {
    crash(worker, {kFirst, kCrashing, kMiddle});
    evidence.addAnswer(kMiddle, now);
  }
  checkCauses({kCrashing});
}

// After a change of their software workers may crash on what they answered before.
TEST(PartEvidenceTest, aPartThatWasAnsweredBeforeIsTheCauseIfNothingElseExplainsTheCrashes) {
  evidence.addAnswer(kCrashing, now - 10s);
  evidence.addAnswer(kFirst, now - 1s);
  for (const char* worker : {"w1", "w2", "w3"}) {
    crash(worker, {kFirst, kCrashing});
  }
  checkCauses({kCrashing});
}

TEST(PartEvidenceTest, partsOfRequestsThatWereOnlyQueuedAreNotSuspected) {
  for (const char* worker : {"w1", "w2", "w3"}) {
    cut(worker, nextRequest(), {kFirst, kCrashing}, true);
    cut(worker, nextRequest(), {kFirst, kMiddle});
    evidence.confirm({worker});
    now += 1s;
  }
  evidence.addAnswer(kFirst, now);
  checkCauses({kCrashing});
}

TEST(PartEvidenceTest, twoPartsAreFoundAndWhatWasBesideBothIsNot) {
  for (const char* worker : {"w1", "w2", "w3"}) {
    crash(worker, {kFirst, kCrashing});
  }
  for (const char* worker : {"w4", "w5", "w6", "w7"}) {
    crash(worker, {kOther, kMiddle});
  }
  evidence.addAnswer(kFirst, now);
  evidence.addAnswer(kOther, now);
  checkCauses({kCrashing, kMiddle});
}

/// The middle part was in a request that was repeated, and in one with the crashing part.
TEST(PartEvidenceTest, aPartThatAnotherOneAndARepeatedRequestExplainIsNotTheCause) {
  const RequestDigest repeated = nextRequest();
  for (const char* worker : {"w1", "w2", "w3"}) {
    cut(worker, repeated, {kMiddle});
    cut(worker, nextRequest(), {kMiddle});
    evidence.confirm({worker});
    requests.add({worker}, {}, {repeated});
    now += 1s;
  }
  crash("w4", {kCrashing, kMiddle});
  crash("w5", {kCrashing, kOther});
  crash("w6", {kCrashing, kOther});
  crash("w7", {kCrashing, kOther});
  evidence.addAnswer(kOther, now);
  checkCauses({kCrashing});
}

TEST(PartEvidenceTest, aWorkerThatHasNotEndedIsNoEvidence) {
  crash("w1", {kCrashing});
  crash("w2", {kCrashing});
  crash("w3", {kCrashing});
  evidence.remove({"w2"});
  checkCauses({});
}

/// All workers of a service may end together, under whatever they run.
TEST(PartEvidenceTest, workersThatEndAtTheSameTimeCountOnce) {
  for (const char* worker : {"w1", "w2", "w3", "w4", "w5"}) {
    cut(worker, nextRequest(), {kFirst});
    evidence.confirm({worker});
  }
  checkCauses({});
}

TEST(PartEvidenceTest, theEvidenceIsBounded) {
  for (std::size_t number = 0; number < 1000; ++number) {
    crash(("w" + std::to_string(number)).c_str(), {kOther});
  }
  CHECK(evidence.suspects(true).front().crashes.size() < 200);
}
