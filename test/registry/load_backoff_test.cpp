/// Tests the backoff of loads of a model whose loads crash their workers.

#include "registry/load_backoff.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

TEST_GROUP(LoadBackoffTest) {
  LoadBackoff backoff;
  base::TimePoint now = base::TimePoint(100s);

  /// Orders a load whose worker ends a second later.
  /// @return the pause until the next load.
  base::Duration end() {
    const base::TimePoint orderedAt = now;
    now += 1s;
    return backoff.recordWorkerEnd("m", orderedAt, now);
  }
};

TEST(LoadBackoffTest, oneWorkerEndCausesNoPause) {
  CHECK(end() == 0s);
  CHECK(backoff.postponed(now).empty());
}

TEST(LoadBackoffTest, eachFurtherEndDoublesThePauseUpToTheMaximum) {
  (void)end();
  for (const base::Duration expected : {2s, 4s, 8s, 16s, 32s, 32s}) {
    CHECK(end() == expected);
    CHECK_EQUAL(1, backoff.postponed(now).count("m"));
    now += expected;
    CHECK(backoff.postponed(now).empty());
  }
}

TEST(LoadBackoffTest, workersThatEndTogetherCountOnce) {
  for (int worker = 0; worker < 10; ++worker) {
    CHECK(backoff.recordWorkerEnd("m", now, now + 1s) == 0s);
  }
  CHECK(backoff.postponed(now + 1s).empty());
}

TEST(LoadBackoffTest, aSuccessfulLoadResetsThePause) {
  (void)end();
  (void)end();
  backoff.recordSuccess("m");
  CHECK(backoff.postponed(now).empty());
  CHECK(end() == 0s);
}
