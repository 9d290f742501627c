/// Tests which requests are classified as the cause of worker crashes.

#include "control/crash_ledger.h"

#include <cereal/types/string.hpp>
#include <string>

#include "base/archive.h"

// Must be included last: it redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using Ledger = control::CrashLedger<std::string, std::string>;

TEST_GROUP(CrashLedgerTest) {
  Ledger ledger;

  /// Records a crash with these requests; it is unknown whether any of them was running.
  void add(const std::string& worker, const std::vector<std::string>& requests) {
    ledger.add(worker, {}, requests);
  }
  void checkRefused(const std::set<std::string>& expected) {
    CHECK(ledger.requestsToRefuse() == expected);
  }
};

TEST(CrashLedgerTest, aRequestIsRefusedAfterThreeCrashes) {
  add("w1", {"r"});
  add("w2", {"r"});
  checkRefused({});
  add("w3", {"r"});
  checkRefused({"r"});
}

TEST(CrashLedgerTest, aCrashReportedTwiceCountsOnce) {
  add("w1", {"r"});
  add("w1", {"r"});
  add("w2", {"r"});
  checkRefused({});
}

TEST(CrashLedgerTest, crashesExplainedByAnotherRequestAreNoEvidence) {
  add("w1", {"guilty", "beside"});
  add("w2", {"guilty", "beside"});
  add("w3", {"guilty", "beside"});
  add("w4", {"guilty"});
  checkRefused({"guilty"});
}

TEST(CrashLedgerTest, crashesOfTwoCausesAreToldApart) {
  add("w1", {"one", "beside"});
  add("w2", {"two", "beside"});
  add("w3", {"one"});
  add("w4", {"two", "beside"});
  add("w5", {"one"});
  add("w6", {"two"});
  add("w7", {"one"});
  checkRefused({"one", "two"});
}

TEST(CrashLedgerTest, requestsWithTheSameCrashesContinueUntilOneMoreCrashTellsThemApart) {
  for (const char* worker : {"w1", "w2", "w3"}) {
    add(worker, {"one", "two"});
  }
  checkRefused({});
  add("w4", {"two"});
  checkRefused({"two"});
}

TEST(CrashLedgerTest, twoRequestsWithTheSameFourCrashesAreBothRefused) {
  for (const char* worker : {"w1", "w2", "w3", "w4"}) {
    add(worker, {"one", "two"});
  }
  checkRefused({"one", "two"});
}

/// One crash that no other request explains is enough to be classified as a cause, until another
/// request explains it.
TEST(CrashLedgerTest, laterEvidenceClearsARefusedRequest) {
  add("w1", {"beside", "one"});
  add("w2", {"beside", "one"});
  add("w3", {"beside", "two"});
  checkRefused({"beside"});
  add("w4", {"one"});
  add("w5", {"one"});
  checkRefused({"beside", "one"});
  add("w6", {"two"});
  add("w7", {"two"});
  checkRefused({"one", "two"});
}

TEST(CrashLedgerTest, requestsWithSharedCrashesAndOneOfTheirOwnAreBothRefused) {
  add("w1", {"one", "two"});
  add("w2", {"one", "two"});
  add("w3", {"one"});
  checkRefused({"one"});
  add("w4", {"two"});
  checkRefused({"one", "two"});
}

TEST(CrashLedgerTest, aBystanderDoesNotPreventARefusal) {
  add("w1", {"guilty", "beside"});
  add("w2", {"guilty", "beside"});
  add("w3", {"guilty"});
  checkRefused({"guilty"});
}

/// Guards against refusing a request that is retried faster than three crashing ones and therefore
/// was on a worker with each of them.
TEST(CrashLedgerTest, aBystanderOfSeveralCausesIsNotRefusedDespiteMoreCrashes) {
  add("w1", {"beside", "one"});
  add("w2", {"beside", "two"});
  add("w3", {"beside", "three"});
  add("w4", {"beside", "three"});
  add("w5", {"one"});
  add("w6", {"two"});
  checkRefused({});
  add("w7", {"three"});
  checkRefused({"three"});
}

/// A worker may send the head of an answer just before another request crashes it. The other
/// crashes show which request is the cause.
TEST(CrashLedgerTest, aRequestRunningNextToALikelyCauseIsNotRefused) {
  add("w1", {"cause", "beside"});
  add("w2", {"cause", "beside"});
  add("w3", {"cause"});
  ledger.add("w4", {"beside"}, {"cause"});
  checkRefused({"cause"});
}

/// At most a few of these requests are causes; the next crashes show which.
TEST(CrashLedgerTest, threeRequestsWithTheSameCrashesContinueUntilTheUnexplainedCrashLimit) {
  for (std::size_t crash = 1; crash < control::crash::kUnexplainedCrashLimit; ++crash) {
    add("w" + std::to_string(crash), {"one", "two", "three"});
    checkRefused({});
  }
  add("last", {"one", "two", "three"});
  checkRefused({"one", "two", "three"});
}

TEST(CrashLedgerTest, theOnlyRequestAtACrashIsNotContested) {
  add("w1", {"r", "beside"});
  add("w2", {"r", "beside"});
  CHECK_TRUE(ledger.contested("r"));
  add("w3", {"r"});
  CHECK_FALSE(ledger.contested("r"));
  CHECK_TRUE(ledger.contested("beside"));
}

TEST(CrashLedgerTest, aRunningRequestExplainsTheCrashForQueuedOnes) {
  for (const char* worker : {"w1", "w2", "w3"}) {
    ledger.add(worker, {"begun"}, {"queued"});
  }
  checkRefused({"begun"});
}

TEST(CrashLedgerTest, aRunningRequestMayBeReportedLater) {
  for (const char* worker : {"w1", "w2", "w3"}) {
    add(worker, {"queued"});
  }
  checkRefused({"queued"});
  ledger.add("w3", {"begun"}, {});
  checkRefused({});
}

/// A request may crash its workers before it is reported as running, each time next to others that
/// are running.
TEST(CrashLedgerTest, aRequestQueuedAtTwiceAsManyCrashesIsRefused) {
  for (const char* worker : {"w1", "w2", "w3", "w4", "w5"}) {
    ledger.add(worker, {std::string("beside ") + worker}, {"queued"});
  }
  checkRefused({});
  ledger.add("w6", {"beside w6"}, {"queued"});
  checkRefused({"queued"});
}

TEST(CrashLedgerTest, aRetractedCrashIsNoEvidence) {
  add("w1", {"r"});
  add("w2", {"r"});
  add("w3", {"r"});
  ledger.retract("w2");
  checkRefused({});
  ledger.retract("w1");
  ledger.retract("w3");
  CHECK(ledger.empty());
}

TEST(CrashLedgerTest, anAnsweredRequestIsAcquitted) {
  for (const char* worker : {"w1", "w2", "w3"}) {
    add(worker, {"r"});
  }
  ledger.clearEvidence("r");
  checkRefused({});
  CHECK(ledger.empty());
}

TEST(CrashLedgerTest, agedEvidenceAllowsARefusedRequestOneMoreAttempt) {
  for (const char* worker : {"w1", "w2", "w3", "w4"}) {
    add(worker, {"r"});
  }
  ledger.age("r");
  checkRefused({});
  add("w5", {"r"});
  checkRefused({"r"});
  add("w6", {"once"});
  ledger.age("once");
  CHECK_EQUAL(0, ledger.evidence().count("once"));
}

TEST(CrashLedgerTest, suspectsWithTheFewestCrashesAreEvictedFirst) {
  add("w1", {"r"});
  add("w2", {"r"});
  for (std::size_t number = 0; number < 2 * control::crash::kMaxSuspects; ++number) {
    add("w3", {"other" + std::to_string(number)});
  }
  CHECK_EQUAL(control::crash::kMaxSuspects, ledger.evidence().size());
  CHECK(ledger.has("r", "w1"));
  CHECK_EQUAL(0, ledger.evidence().count("other0"));
}

TEST(CrashLedgerTest, aSerializedLedgerIsRestoredUnchanged) {
  add("w1", {"r", "s"});
  add("w2", {"r"});
  const auto restored = base::decode<Ledger>(base::encode(ledger), "ledger");
  CHECK(restored.has_value());
  CHECK(base::encode(restored.value()) == base::encode(ledger));
}
