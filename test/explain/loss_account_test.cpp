/// Why requests were refused, failed or late, from lines as gateways and the leader write them.

#include "explain/loss_account.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::explain;

TEST_GROUP(LossAccountTest) {
  LossAccount account;

  /// @param second of the day's first minute.
  void line(int second, const std::string& rest) {
    const std::string digits = (second < 10 ? "0" : "") + std::to_string(second);
    const auto parsed = parseLogLine("time=2026-01-01T00:00:" + digits + ".000Z program=p " + rest);
    CHECK_TRUE(parsed.has_value());
    account.take(parsed.value());
  }
  void ended(int second, const std::string& status, const std::string& outcome,
             const std::string& more = "") {
    line(second, "event=request-ended request=r route=x model=m target=800 target-gap=400 status=" +
                     status + " outcome=\"" + outcome + "\" " + more);
  }
  void waits(int second, const std::string& adapter = "") {
    line(second,
         "event=request-waiting request=r model=m reason=not-held adapter=\"" + adapter + "\"");
  }
  void loaded(int second, int latenessPercent) {
    line(second, "event=model-order-ended operation=load model=m lateness-percent=" +
                     std::to_string(latenessPercent));
  }
  void checkOnly(LossKind kind, LossCause cause) {
    const std::vector<Loss> losses = account.losses();
    CHECK_EQUAL(1, losses.size());
    STRCMP_EQUAL(std::string(lossKindName(kind)).c_str(),
                 std::string(lossKindName(losses[0].kind)).c_str());
    STRCMP_EQUAL(std::string(lossCauseName(cause)).c_str(),
                 std::string(lossCauseName(losses[0].cause)).c_str());
    STRCMP_EQUAL("r", losses[0].example.c_str());
  }
};

TEST(LossAccountTest, whatWasServedInTimeIsNoLoss) {
  ended(1, "200", "complete", "first=700 gap=300 waited=0 millis=5000");
  ended(2, "200", "answered", "first=0 gap=0 waited=0 millis=700");
  CHECK_TRUE(account.losses().empty());
  CHECK_EQUAL(2, account.requests());
}

TEST(LossAccountTest, aWaitForAModelIsToldByItsTier) {
  waits(10);
  loaded(17, 95);
  ended(18, "200", "complete", "first=7500 gap=20 waited=7400 millis=9000");
  checkOnly(LossKind::late, LossCause::modelFromStore);
  CHECK_EQUAL(7400, account.losses()[0].waitedMillis);
}

TEST(LossAccountTest, aLoadFromADiskHasNoLateness) {
  waits(10);
  loaded(12, 0);
  ended(13, "200", "complete", "first=2500 gap=20");
  checkOnly(LossKind::late, LossCause::modelFromDisk);
}

TEST(LossAccountTest, aLoadOfAnotherTimeIsNotMeant) {
  loaded(1, 95);
  waits(20);
  ended(25, "503", "deadline");
  checkOnly(LossKind::refused, LossCause::modelNotLoaded);
}

TEST(LossAccountTest, aWaitForAnAdapterOfALoadedModelIsTheAdapters) {
  waits(20, "a1");
  ended(22, "200", "complete", "first=1900 gap=20");
  checkOnly(LossKind::late, LossCause::adapter);
}

TEST(LossAccountTest, aFailedAttemptIsTheWorkers) {
  line(1, "event=attempt-failed request=r worker=w executed=unknown reason=connection_lost");
  ended(2, "502", "connection_lost");
  checkOnly(LossKind::failed, LossCause::workerFailed);
}

TEST(LossAccountTest, aWaitForAModelThatOnlyFailingWorkersHoldIsTheWorkers) {
  line(10, "event=request-waiting request=r model=m reason=failing adapter=\"\"");
  ended(14, "503", "deadline", "first=0 gap=0 waited=4000 millis=4000");
  checkOnly(LossKind::refused, LossCause::workerFailed);
}

TEST(LossAccountTest, aRefusalOfWhatWorkersHaveEndedUnderIsTold) {
  line(1, "event=request-cut request=r worker=w digest=d");
  line(1, "event=attempt-failed request=r worker=w executed=unknown reason=connection_lost");
  ended(2, "502", "quarantined");
  checkOnly(LossKind::failed, LossCause::quarantined);
}

TEST(LossAccountTest, whatIsRefusedBeforeItReachesAnExchangeIsCounted) {
  const std::tuple<const char*, const char*, LossKind, LossCause> cases[] = {
      {"429", "quota", LossKind::refused, LossCause::quota},
      {"401", "\"unknown key\"", LossKind::failed, LossCause::unknownKey},
      {"503", "\"keys are not confirmed\"", LossKind::refused, LossCause::unconfirmed},
  };
  for (const auto& [status, reason, kind, cause] : cases) {
    account = {};
    line(1, std::string("event=request-refused request=r status=") + status + " reason=" + reason);
    checkOnly(kind, cause);
  }
}

TEST(LossAccountTest, aRefusalAsTheModelComesTooLateIsTold) {
  line(1, "event=request-waiting request=r model=m reason=not-held adapter=\"\"");
  line(1, "event=request-refused request=r status=503 reason=\"the model comes too late\"");
  ended(2, "503", "the model comes too late");
  checkOnly(LossKind::refused, LossCause::modelTooLate);
}

TEST(LossAccountTest, aRefusalAtFullReplicasIsTold) {
  line(1, "event=attempt-failed request=r worker=w executed=no reason=full");
  ended(2, "503", "all replicas are full");
  checkOnly(LossKind::refused, LossCause::allFull);
}

/// Guards against a wait for a full replica that is counted as one for a missing model.
TEST(LossAccountTest, aRefusalAfterAWaitAtFullReplicasIsTold) {
  line(1, "event=request-waiting request=r model=m reason=full adapter=\"\"");
  ended(2, "503", "all replicas are full");
  checkOnly(LossKind::refused, LossCause::allFull);
}

TEST(LossAccountTest, aLateFirstEventAndAPauseAreToldApart) {
  ended(2, "200", "complete", "first=900 gap=450");
  checkOnly(LossKind::late, LossCause::queue);
}

TEST(LossAccountTest, aPauseAloneIsTold) {
  ended(2, "200", "complete", "first=100 gap=450");
  checkOnly(LossKind::late, LossCause::pause);
}

TEST(LossAccountTest, droppedLinesAreSaid) {
  line(1, "event=lines-dropped count=7");
  CHECK_EQUAL(7, account.droppedLines());
}
