/// Tests how the leader tracks the limits of workers and grants shares of them.

#include "registry/worker_limit_tracker.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

TEST_GROUP(WorkerLimitTrackerTest) {
  WorkerLimitTracker book;
  base::TimePoint now = base::TimePoint(100s);
  const WorkerId worker{"w1"};

  bool named(double perSecond, base::Duration sentAgo = 0ms, base::Duration answeredAgo = 0ms) {
    return !book.report({{{worker, perSecond, sentAgo, answeredAgo}}}, now).empty();
  }
  bool notNamed(base::Duration sentAgo, base::Duration answeredAgo = 0ms) {
    return !book.report({{{worker, std::nullopt, sentAgo, answeredAgo}}}, now).empty();
  }
  double granted(std::uint64_t gateway, double needed, double ahead = 0) {
    const ShareGrant answer =
        book.grant({gateway}, {{1, {{worker.value, 0, needed, 1, ahead, 0}}}}, now);
    return answer.grant.shares.at(0).granted;
  }
};

TEST(WorkerLimitTrackerTest, aLimitIsKnownFromAnAnswerOn) {
  CHECK_FALSE(book.limitOf(worker).has_value());
  CHECK_TRUE(named(2));
  DOUBLES_EQUAL(2, *book.limitOf(worker), 0.001);
  CHECK_FALSE(named(2));
}

TEST(WorkerLimitTrackerTest, gatewaysTogetherAreGrantedTheLimitAndLittleMore) {
  named(2);
  double sum = 0;
  for (int step = 0; step < 400; ++step) {
    sum += granted(static_cast<std::uint64_t>(step % 24) + 1, 1);
    now += 10ms;
  }
  CHECK(sum <= 8 + WorkerLimitTracker::capacityOf(2));
  CHECK(sum >= 7);
}

TEST(WorkerLimitTrackerTest, onlyWholeRequestsAreGranted) {
  named(2);
  now += 700ms;
  DOUBLES_EQUAL(1, granted(1, 3), 0.001);
}

TEST(WorkerLimitTrackerTest, anAnswerToALaterRequestEndsALimit) {
  named(2);
  now += 1s;
  CHECK_FALSE(notNamed(1001ms));
  CHECK_TRUE(notNamed(900ms));
  CHECK_FALSE(book.limitOf(worker).has_value());
  const ShareGrant answer = book.grant({1}, {{1, {{worker.value, 0, 3, 1, 0, 0}}}}, now);
  DOUBLES_EQUAL(3, answer.grant.shares.at(0).granted, 0.001);
  CHECK_EQUAL(1, answer.unlimited.size());
}

/// A report of a limit may arrive after its end, because its gateway was slow or disconnected.
TEST(WorkerLimitTrackerTest, aLimitStatedBeforeItsEndHasNoEffect) {
  named(2);
  now += 1s;
  notNamed(500ms);
  now += 1s;
  CHECK_FALSE(named(2, 2s, 1100ms));
  CHECK_TRUE(named(2, 500ms, 400ms));
}

TEST(WorkerLimitTrackerTest, ofTwoAnswersThatCrossedTheLowerLimitHolds) {
  named(1);
  now += 100ms;
  CHECK_FALSE(named(5, 200ms));
  CHECK_TRUE(named(5, 50ms));
  CHECK_TRUE(named(3, 500ms));
}

TEST(WorkerLimitTrackerTest, aLowerLimitBindsAtOnce) {
  named(50);
  now += 10s;
  named(1);
  CHECK(granted(1, 50) <= WorkerLimitTracker::capacityOf(1));
}

/// The end of such a limit can only be detected by a request.
TEST(WorkerLimitTrackerTest, aLimitOfZeroStillGrantsOccasionalRequests) {
  named(0);
  double sum = 0;
  for (int step = 0; step < 400; ++step) {
    sum += granted(1, 1);
    now += 100ms;
  }
  CHECK(sum >= 9 && sum <= 12);
}

TEST(WorkerLimitTrackerTest, nothingIsGrantedInAdvanceWhileTheLimitIsExceeded) {
  named(1);
  now += 100ms;
  DOUBLES_EQUAL(0, granted(1, 1), 0.001);
  CHECK_TRUE(book.wasOverLimit(worker, now));
  now += 1500ms;
  DOUBLES_EQUAL(0, granted(2, 0, 1), 0.001);
  DOUBLES_EQUAL(1, granted(3, 1), 0.001);
}

TEST(WorkerLimitTrackerTest, aLimitEndsWithTheIncarnationOfItsWorker) {
  named(1);
  book.forget(worker);
  CHECK_FALSE(book.limitOf(worker).has_value());
}
