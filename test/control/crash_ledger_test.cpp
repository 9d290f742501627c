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

  void checkGuilty(const std::set<std::string>& expected) { CHECK(ledger.guilty() == expected); }
};

TEST(CrashLedgerTest, aRequestIsGuiltyOnceThreeWorkersHaveEndedUnderIt) {
  ledger.add("w1", {"r"});
  ledger.add("w2", {"r"});
  checkGuilty({});
  ledger.add("w3", {"r"});
  checkGuilty({"r"});
}

TEST(CrashLedgerTest, aCrashThatIsToldTwiceCountsOnce) {
  ledger.add("w1", {"r"});
  ledger.add("w1", {"r"});
  ledger.add("w2", {"r"});
  checkGuilty({});
}

TEST(CrashLedgerTest, crashesThatAnotherRequestExplainsSpeakAgainstNobody) {
  ledger.add("w1", {"guilty", "beside"});
  ledger.add("w2", {"guilty", "beside"});
  ledger.add("w3", {"guilty", "beside"});
  ledger.add("w4", {"guilty"});
  checkGuilty({"guilty"});
}

TEST(CrashLedgerTest, crashesOfTwoCausesAreTakenApart) {
  ledger.add("w1", {"one", "beside"});
  ledger.add("w2", {"two", "beside"});
  ledger.add("w3", {"one"});
  ledger.add("w4", {"two", "beside"});
  ledger.add("w5", {"one"});
  ledger.add("w6", {"two"});
  ledger.add("w7", {"one"});
  checkGuilty({"one", "two"});
}

TEST(CrashLedgerTest, requestsWithTheSameCrashesGoOnUntilOneMoreTellsThemApart) {
  for (const char* worker : {"w1", "w2", "w3"}) {
    ledger.add(worker, {"one", "two"});
  }
  checkGuilty({});
  ledger.add("w4", {"two"});
  checkGuilty({"two"});
}

TEST(CrashLedgerTest, requestsThatCrashFourWorkersTogetherAreBothGuilty) {
  for (const char* worker : {"w1", "w2", "w3", "w4"}) {
    ledger.add(worker, {"one", "two"});
  }
  checkGuilty({"one", "two"});
}

TEST(CrashLedgerTest, evidenceThatComesLaterClearsWhoWasHeldGuilty) {
  ledger.add("w1", {"beside", "one"});
  ledger.add("w2", {"beside", "one"});
  ledger.add("w3", {"beside", "two"});
  checkGuilty({"beside"});
  ledger.add("w4", {"one"});
  ledger.add("w5", {"one"});
  checkGuilty({"one"});
}

TEST(CrashLedgerTest, aWorkerThatHadNotEndedIsNoEvidence) {
  ledger.add("w1", {"r"});
  ledger.add("w2", {"r"});
  ledger.add("w3", {"r"});
  ledger.retract("w2");
  checkGuilty({});
  ledger.retract("w1");
  ledger.retract("w3");
  CHECK(ledger.empty());
}

TEST(CrashLedgerTest, whatWasAnsweredIsAcquitted) {
  for (const char* worker : {"w1", "w2", "w3"}) {
    ledger.add(worker, {"r"});
  }
  ledger.acquit("r");
  checkGuilty({});
  CHECK(ledger.empty());
}

TEST(CrashLedgerTest, oldEvidenceLetsAGuiltyRequestBeTriedOnceMore) {
  for (const char* worker : {"w1", "w2", "w3", "w4"}) {
    ledger.add(worker, {"r"});
  }
  ledger.age("r");
  checkGuilty({});
  ledger.add("w5", {"r"});
  checkGuilty({"r"});
  ledger.add("w6", {"once"});
  ledger.age("once");
  CHECK_EQUAL(0, ledger.crashes().count("once"));
}

TEST(CrashLedgerTest, ofTooManySuspectsThoseWithTheFewestCrashesGoFirst) {
  ledger.add("w1", {"r"});
  ledger.add("w2", {"r"});
  for (std::size_t number = 0; number < 2 * control::crash::kMostSuspects; ++number) {
    ledger.add("w3", {"other" + std::to_string(number)});
  }
  CHECK_EQUAL(control::crash::kMostSuspects, ledger.crashes().size());
  CHECK(ledger.has("r", "w1"));
  CHECK_EQUAL(0, ledger.crashes().count("other0"));
}

TEST(CrashLedgerTest, itIsRestoredAsItWas) {
  ledger.add("w1", {"r", "s"});
  ledger.add("w2", {"r"});
  const auto restored = base::decode<Ledger>(base::encode(ledger), "ledger");
  CHECK(restored.has_value());
  CHECK(restored.value().crashes() == ledger.crashes());
}
