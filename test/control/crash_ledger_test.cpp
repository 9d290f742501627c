/// Which requests are held to crash their workers.

#include "control/crash_ledger.h"

#include <cereal/types/string.hpp>
#include <string>

#include "base/archive.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using Ledger = control::CrashLedger<std::string, std::string>;

TEST_GROUP(CrashLedgerTest) {
  Ledger ledger;

  /// A worker ends with these requests; of none of them it is known whether it had begun.
  void add(const std::string& worker, const std::vector<std::string>& requests) {
    ledger.add(worker, {}, requests);
  }
  void checkGuilty(const std::set<std::string>& expected) { CHECK(ledger.guilty() == expected); }
};

TEST(CrashLedgerTest, aRequestIsGuiltyOnceThreeWorkersHaveEndedUnderIt) {
  add("w1", {"r"});
  add("w2", {"r"});
  checkGuilty({});
  add("w3", {"r"});
  checkGuilty({"r"});
}

TEST(CrashLedgerTest, aCrashThatIsToldTwiceCountsOnce) {
  add("w1", {"r"});
  add("w1", {"r"});
  add("w2", {"r"});
  checkGuilty({});
}

TEST(CrashLedgerTest, crashesThatAnotherRequestExplainsSpeakAgainstNobody) {
  add("w1", {"guilty", "beside"});
  add("w2", {"guilty", "beside"});
  add("w3", {"guilty", "beside"});
  add("w4", {"guilty"});
  checkGuilty({"guilty"});
}

TEST(CrashLedgerTest, crashesOfTwoCausesAreTakenApart) {
  add("w1", {"one", "beside"});
  add("w2", {"two", "beside"});
  add("w3", {"one"});
  add("w4", {"two", "beside"});
  add("w5", {"one"});
  add("w6", {"two"});
  add("w7", {"one"});
  checkGuilty({"one", "two"});
}

TEST(CrashLedgerTest, requestsWithTheSameCrashesGoOnUntilOneMoreTellsThemApart) {
  for (const char* worker : {"w1", "w2", "w3"}) {
    add(worker, {"one", "two"});
  }
  checkGuilty({});
  add("w4", {"two"});
  checkGuilty({"two"});
}

TEST(CrashLedgerTest, requestsThatCrashFourWorkersTogetherAreBothGuilty) {
  for (const char* worker : {"w1", "w2", "w3", "w4"}) {
    add(worker, {"one", "two"});
  }
  checkGuilty({"one", "two"});
}

/// One crash that nobody else explains is enough to be held guilty, until somebody does.
TEST(CrashLedgerTest, evidenceThatComesLaterClearsWhoWasHeldGuilty) {
  add("w1", {"beside", "one"});
  add("w2", {"beside", "one"});
  add("w3", {"beside", "two"});
  checkGuilty({"beside"});
  add("w4", {"one"});
  add("w5", {"one"});
  checkGuilty({"beside", "one"});
  add("w6", {"two"});
  add("w7", {"two"});
  checkGuilty({"one", "two"});
}

TEST(CrashLedgerTest, requestsThatShareCrashesAndHaveOneOfTheirOwnAreBothGuilty) {
  add("w1", {"one", "two"});
  add("w2", {"one", "two"});
  add("w3", {"one"});
  checkGuilty({"one"});
  add("w4", {"two"});
  checkGuilty({"one", "two"});
}

TEST(CrashLedgerTest, whoWasOnlyBesideContestsNothing) {
  add("w1", {"guilty", "beside"});
  add("w2", {"guilty", "beside"});
  add("w3", {"guilty"});
  checkGuilty({"guilty"});
}

/// Its caller comes again sooner than those of the three that crash workers, and meets each of
/// them.
TEST(CrashLedgerTest, whoWasBesideSeveralCausesIsNotGuiltyThoughItHasMoreCrashes) {
  add("w1", {"beside", "one"});
  add("w2", {"beside", "two"});
  add("w3", {"beside", "three"});
  add("w4", {"beside", "three"});
  add("w5", {"one"});
  add("w6", {"two"});
  checkGuilty({});
  add("w7", {"three"});
  checkGuilty({"three"});
}

/// The head of an answer may come just before its worker ends by another request, of which the
/// other crashes tell.
TEST(CrashLedgerTest, whatHadBegunBesideALikelyCauseIsNotGuiltyOfThatCrash) {
  add("w1", {"cause", "beside"});
  add("w2", {"cause", "beside"});
  add("w3", {"cause"});
  ledger.add("w4", {"beside"}, {"cause"});
  checkGuilty({"cause"});
}

/// At most few of them are causes: the next crashes tell.
TEST(CrashLedgerTest, aCrowdWithTheSameCrashesGoesOnUntilTheLastLimit) {
  for (std::size_t crash = 1; crash < control::crash::kUnexplainedCrashLimit; ++crash) {
    add("w" + std::to_string(crash), {"one", "two", "three"});
    checkGuilty({});
  }
  add("last", {"one", "two", "three"});
  checkGuilty({"one", "two", "three"});
}

TEST(CrashLedgerTest, whoWasAloneAtACrashIsNotContested) {
  add("w1", {"r", "beside"});
  add("w2", {"r", "beside"});
  CHECK_TRUE(ledger.contested("r"));
  add("w3", {"r"});
  CHECK_FALSE(ledger.contested("r"));
  CHECK_TRUE(ledger.contested("beside"));
}

TEST(CrashLedgerTest, whatHadBegunExplainsTheCrashForWhatWasQueued) {
  for (const char* worker : {"w1", "w2", "w3"}) {
    ledger.add(worker, {"begun"}, {"queued"});
  }
  checkGuilty({"begun"});
}

TEST(CrashLedgerTest, thatOneHadBegunMayBeToldLater) {
  for (const char* worker : {"w1", "w2", "w3"}) {
    add(worker, {"queued"});
  }
  checkGuilty({"queued"});
  ledger.add("w3", {"begun"}, {});
  checkGuilty({});
}

/// What crashes its workers before it is seen to begin, always beside others that have begun.
TEST(CrashLedgerTest, whatIsQueuedAtTwiceAsManyCrashesIsGuiltyAllTheSame) {
  for (const char* worker : {"w1", "w2", "w3", "w4", "w5"}) {
    ledger.add(worker, {std::string("beside ") + worker}, {"queued"});
  }
  checkGuilty({});
  ledger.add("w6", {"beside w6"}, {"queued"});
  checkGuilty({"queued"});
}

TEST(CrashLedgerTest, aWorkerThatHadNotEndedIsNoEvidence) {
  add("w1", {"r"});
  add("w2", {"r"});
  add("w3", {"r"});
  ledger.retract("w2");
  checkGuilty({});
  ledger.retract("w1");
  ledger.retract("w3");
  CHECK(ledger.empty());
}

TEST(CrashLedgerTest, whatWasAnsweredIsAcquitted) {
  for (const char* worker : {"w1", "w2", "w3"}) {
    add(worker, {"r"});
  }
  ledger.acquit("r");
  checkGuilty({});
  CHECK(ledger.empty());
}

TEST(CrashLedgerTest, oldEvidenceLetsAGuiltyRequestBeTriedOnceMore) {
  for (const char* worker : {"w1", "w2", "w3", "w4"}) {
    add(worker, {"r"});
  }
  ledger.age("r");
  checkGuilty({});
  add("w5", {"r"});
  checkGuilty({"r"});
  add("w6", {"once"});
  ledger.age("once");
  CHECK_EQUAL(0, ledger.evidence().count("once"));
}

TEST(CrashLedgerTest, ofTooManySuspectsThoseWithTheFewestCrashesGoFirst) {
  add("w1", {"r"});
  add("w2", {"r"});
  for (std::size_t number = 0; number < 2 * control::crash::kMaxSuspects; ++number) {
    add("w3", {"other" + std::to_string(number)});
  }
  CHECK_EQUAL(control::crash::kMaxSuspects, ledger.evidence().size());
  CHECK(ledger.has("r", "w1"));
  CHECK_EQUAL(0, ledger.evidence().count("other0"));
}

TEST(CrashLedgerTest, itIsRestoredAsItWas) {
  add("w1", {"r", "s"});
  add("w2", {"r"});
  const auto restored = base::decode<Ledger>(base::encode(ledger), "ledger");
  CHECK(restored.has_value());
  CHECK(base::encode(restored.value()) == base::encode(ledger));
}
