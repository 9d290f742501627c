/// Tests how the limit on concurrent loads follows from the durations of loads.

#include "registry/load_concurrency.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut::registry;

TEST_GROUP(LoadConcurrencyTest) {
  LoadConcurrency concurrency;
  std::uint64_t loads = 0;

  /// Observes loads that each start with the limit reached, at a store that serves `capacity` loads
  /// at full speed.
  void observeLoads(double capacity, int count) {
    for (int load = 0; load < count; ++load) {
      const auto loadsInProgress = static_cast<double>(concurrency.limit());
      concurrency.observe(++loads, concurrency.limit(),
                          loadsInProgress > capacity ? loadsInProgress / capacity : 1.0, true);
    }
  }
};

TEST(LoadConcurrencyTest, growsByOneWithEachLoadInTime) {
  const std::size_t first = concurrency.limit();
  observeLoads(1000, static_cast<int>(first));
  CHECK_EQUAL(2 * first, concurrency.limit());
}

TEST(LoadConcurrencyTest, lateLoadsRevealTheCapacityOfTheStore) {
  for (const double capacity : {3.0, 8.0, 25.0, 148.0}) {
    concurrency = {};
    observeLoads(capacity, 400);
    CHECK_TRUE(static_cast<double>(concurrency.limit()) >= capacity - 1);
    CHECK_TRUE(static_cast<double>(concurrency.limit()) <= 1.2 * capacity + 1);
  }
}

TEST(LoadConcurrencyTest, aSingleLateLoadDoesNotLowerTheLimit) {
  const std::size_t first = concurrency.limit();
  concurrency.observe(++loads, first, 3.0, true);
  CHECK_EQUAL(first, concurrency.limit());
  concurrency.observe(++loads, first, 1.0, true);
  concurrency.observe(++loads, first, 3.0, true);
  CHECK_EQUAL(first + 1, concurrency.limit());
}

TEST(LoadConcurrencyTest, repeatedObservationsOfOneLateLoadCountOnce) {
  const std::size_t first = concurrency.limit();
  for (const double lateness : {1.3, 1.7, 2.2, 3.0}) {
    concurrency.observe(1, first, lateness, true);
  }
  CHECK_EQUAL(first, concurrency.limit());
}

TEST(LoadConcurrencyTest, theLimitIsBoundedByAMultipleOfTheLoadsServedInTime) {
  for (int load = 0; load < 50; ++load) {
    concurrency.observe(++loads, 5, 1.0, true);
  }
  CHECK_EQUAL(10, concurrency.limit());
}

TEST(LoadConcurrencyTest, theLimitFollowsAStoreThatSlowsDownAndRecovers) {
  observeLoads(20, 200);
  CHECK_TRUE(concurrency.limit() >= 19);
  observeLoads(6, 20);
  CHECK_TRUE(concurrency.limit() <= 8);
  observeLoads(20, 1500);
  CHECK_TRUE(concurrency.limit() >= 16);
}

TEST(LoadConcurrencyTest, theLimitNeverFallsBelowItsMinimum) {
  observeLoads(0.1, 50);
  CHECK_EQUAL(static_cast<std::size_t>(LoadConcurrency::kMinLimit), concurrency.limit());
}

TEST(LoadConcurrencyTest, theLimitDoesNotGrowWhileItIsNotReached) {
  const std::size_t first = concurrency.limit();
  for (int load = 0; load < 50; ++load) {
    concurrency.observe(++loads, 1, 1.0, false);
  }
  CHECK_EQUAL(first, concurrency.limit());
}

TEST(LoadConcurrencyTest, lateLoadsWithFewOthersInProgressDoNotLowerTheLimit) {
  observeLoads(60, 200);
  const std::size_t grownLimit = concurrency.limit();
  CHECK_TRUE(grownLimit >= 50);
  for (int load = 0; load < 5; ++load) {
    concurrency.observe(++loads, 2, 3.0, true);
  }
  CHECK_EQUAL(grownLimit, concurrency.limit());
}

/// Guards against six loads of models with 0.12 requests/s that begin within 0.7 s at a store which
/// serves two at a time, so that models in demand wait behind them for 41 s.
TEST(LoadConcurrencyTest, whereReplicasAreSlowToAddTheLimitStartsAtTwo) {
  concurrency.setSlowLoads(true);
  CHECK_EQUAL(2, concurrency.limit());
}

/// Guards against a limit that doubles before the first loads beyond the store's capacity have
/// shown that they are late.
TEST(LoadConcurrencyTest, whereReplicasAreSlowToAddTheLimitGrowsAfterTwoLoadsInTime) {
  concurrency.setSlowLoads(true);
  observeLoads(1000, 1);
  CHECK_EQUAL(2, concurrency.limit());
  observeLoads(1000, 1);
  CHECK_EQUAL(3, concurrency.limit());
}

/// Guards against two loads that stay in progress at a store which serves one at a time: each of
/// them takes twice as long.
TEST(LoadConcurrencyTest, whereReplicasAreSlowToAddLateLoadsLowerTheLimitToOne) {
  concurrency.setSlowLoads(true);
  observeLoads(1, 2);
  CHECK_EQUAL(1, concurrency.limit());
}

/// Guards against a limit that forgets what it has learned when the document changes.
TEST(LoadConcurrencyTest, theLimitKeepsWhatWasObservedWhenLoadsBecomeSlow) {
  observeLoads(1000, 4);
  const std::size_t grown = concurrency.limit();
  concurrency.setSlowLoads(true);
  CHECK_EQUAL(grown, concurrency.limit());
}

/// Guards against a start at two where already a start at one was called for.
TEST(LoadConcurrencyTest, theCautiousLimitHoldsAlsoWhereReplicasAreSlowToAdd) {
  concurrency.setSlowLoads(true);
  concurrency.setCautious(true);
  CHECK_EQUAL(1, concurrency.limit());
}
