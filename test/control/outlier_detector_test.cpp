/// Tests which subjects are ejected for the reported outcomes.

#include "control/outlier_detector.h"

#include "walnut/base/ids.h"

// Must be included last: it redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::control;
using namespace std::chrono_literals;

TEST_GROUP(OutlierDetectorTest) {
  using WorkerId = base::StrongId<struct TestWorkerTag, std::string>;
  using GatewayId = base::StrongId<struct TestGatewayTag, std::uint64_t>;
  using Detector = OutlierDetector<WorkerId, GatewayId>;

  Detector detector;
  base::TimePoint now = base::TimePoint(100s);
  std::vector<WorkerId> workers = {{"w1"}, {"w2"}, {"w3"}, {"w4"}};
  std::size_t gateways = 8;

  void report(const char* worker, std::uint32_t answered, std::uint32_t failed,
              std::uint64_t gateway = 1) {
    detector.report({gateway}, {{worker}, answered, failed}, now);
  }
  /// Reports one failure of the worker from each of several gateways.
  void fail(const char* worker, std::uint32_t times) {
    for (std::uint64_t gateway = 1; gateway <= times; ++gateway) {
      report(worker, 0, 1, gateway);
    }
  }
  void allAnswer() {
    for (const WorkerId& worker : workers) {
      detector.report({1}, {worker, 20, 0}, now);
    }
  }
  void review() { detector.review({{"service", workers}}, gateways, now); }
  bool failing(const char* worker) {
    review();
    return detector.failing({worker});
  }
};

TEST(OutlierDetectorTest, aHealthyWorkerIsEjectedAfterThreeFailures) {
  allAnswer();
  fail("w1", 2);
  CHECK_FALSE(failing("w1"));
  report("w1", 0, 1, 3);
  CHECK_TRUE(failing("w1"));
  CHECK_FALSE(detector.failing({"w2"}));
}

TEST(OutlierDetectorTest, aWorkerNeverSeenToAnswerIsEjectedAfterTwoFailures) {
  fail("w1", 2);
  CHECK_TRUE(failing("w1"));
}

TEST(OutlierDetectorTest, theRequestRateDoesNotMatter) {
  allAnswer();
  for (std::uint64_t gateway = 1; gateway <= 3; ++gateway) {
    now += 9s;
    report("w1", 0, 1, gateway);
  }
  CHECK_TRUE(failing("w1"));
}

TEST(OutlierDetectorTest, strayErrorsEjectNoWorker) {
  for (std::uint64_t gateway = 1; gateway <= 50; ++gateway) {
    report("w1", 9, 1, gateway);
    CHECK_FALSE(failing("w1"));
  }
}

TEST(OutlierDetectorTest, aSingleGatewayEjectsNoWorker) {
  allAnswer();
  for (int attempt = 0; attempt < 20; ++attempt) {
    report("w1", 0, 1);
  }
  CHECK_FALSE(failing("w1"));
  report("w1", 0, 1, 2);
  CHECK_TRUE(failing("w1"));
}

TEST(OutlierDetectorTest, theOnlyGatewayCanEjectAWorker) {
  gateways = 1;
  allAnswer();
  report("w1", 0, 3);
  CHECK_TRUE(failing("w1"));
}

TEST(OutlierDetectorTest, noWorkerIsEjectedIfAllFailAlike) {
  for (const char* worker : {"w1", "w2", "w3", "w4"}) {
    fail(worker, 5);
  }
  CHECK_FALSE(failing("w1"));
  CHECK_TRUE(detector.takeChanges().empty());
}

TEST(OutlierDetectorTest, atMostHalfOfAServiceIsEjected) {
  workers = {{"w1"}, {"w2"}, {"w3"}, {"w4"}, {"w5"}, {"w6"}};
  allAnswer();
  for (const char* worker : {"w1", "w2", "w3", "w4"}) {
    fail(worker, 30);
    review();
  }
  std::size_t count = 0;
  for (const WorkerId& worker : workers) {
    count += detector.failing(worker) ? 1 : 0;
  }
  CHECK_EQUAL(3, count);
}

TEST(OutlierDetectorTest, anEjectionEndsAndTheNextFailureEjectsTheWorkerAgain) {
  allAnswer();
  fail("w1", 3);
  CHECK_TRUE(failing("w1"));
  now += 3900ms;
  CHECK_FALSE(detector.isReviewDue(now));
  now += 200ms;
  CHECK_TRUE(detector.isReviewDue(now));
  CHECK_FALSE(failing("w1"));
  report("w1", 0, 1, 4);
  CHECK_TRUE(failing("w1"));
  // The second ejection lasts twice as long.
  now += 7900ms;
  CHECK_TRUE(failing("w1"));
  now += 200ms;
  CHECK_FALSE(failing("w1"));
}

TEST(OutlierDetectorTest, successfulAttemptsEndTheEjectionImmediately) {
  allAnswer();
  fail("w1", 3);
  CHECK_TRUE(failing("w1"));
  report("w1", 8, 0);
  CHECK_FALSE(failing("w1"));
}

TEST(OutlierDetectorTest, changesAreReportedOnceWithTheirFigures) {
  allAnswer();
  fail("w1", 3);
  review();
  review();
  const std::vector<Detector::Change> changes = detector.takeChanges();
  CHECK_EQUAL(1, changes.size());
  CHECK_TRUE(changes[0].failing);
  CHECK_EQUAL(3, changes[0].reporters);
  CHECK_TRUE(changes[0].share > 0.5);
  CHECK_TRUE(changes[0].othersFailureShare < 0.1);
}

TEST(OutlierDetectorTest, aWorkerAtItsLimitThatAnswersOthersIsNotEjected) {
  allAnswer();
  for (std::uint64_t gateway = 1; gateway <= 10; ++gateway) {
    now += 1s;
    detector.report({gateway}, {{"w1"}, 0, 0, 2}, now);
    report("w1", 1, 0, gateway + 10);
    CHECK_FALSE(failing("w1"));
  }
}

TEST(OutlierDetectorTest, aWorkerAtItsLimitThatAnswersNobodyIsEjected) {
  allAnswer();
  now += 2s;
  detector.report({1}, {{"w1"}, 0, 0, 3}, now);
  CHECK_FALSE(failing("w1"));
  now += 2s;
  detector.report({1}, {{"w1"}, 0, 0, 2}, now);
  detector.report({2}, {{"w1"}, 0, 0, 2}, now);
  CHECK_TRUE(failing("w1"));
}

TEST(OutlierDetectorTest, expiredOutcomesAreIgnored) {
  allAnswer();
  fail("w1", 2);
  now += 31s;
  fail("w1", 1);
  CHECK_FALSE(failing("w1"));
}

/// Guards against sound workers that all gateways avoid because two or more gateways are cut off
/// from the workers, while the others reach them.
TEST(OutlierDetectorTest, gatewaysThatReachNoWorkerDontEjectSoundOnes) {
  allAnswer();
  const auto failAtCutOffGateways = [this](const char* worker) {
    for (const std::uint64_t cutOff : {6, 7, 8}) {
      report(worker, 0, 1, cutOff);
    }
  };
  for (const char* worker : {"w2", "w3", "w4"}) {
    failAtCutOffGateways(worker);
    now += 50ms;
    allAnswer();
  }
  for (std::uint32_t times = 0; times < 10; ++times) {
    failAtCutOffGateways("w1");
    CHECK_FALSE(failing("w1"));
  }
}

TEST(OutlierDetectorTest, aGatewayThatReachesWorkersAgainIsBelievedAgain) {
  for (const WorkerId& worker : workers) {
    report(worker.value.c_str(), 0, 1, 6);
    report(worker.value.c_str(), 0, 1, 7);
  }
  now += 1s;
  allAnswer();
  CHECK_TRUE(detector.seemsCutOff({6}));
  report("w2", 1, 0, 6);
  report("w3", 1, 0, 7);
  CHECK_FALSE(detector.seemsCutOff({6}));
  for (std::uint32_t round = 0; round < 3; ++round) {
    report("w1", 0, 1, 6);
    report("w1", 0, 1, 7);
  }
  CHECK_TRUE(failing("w1"));
}
