/// Tests a retry budget that several processes share.

#include "routing/retry_budget.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::routing;
using namespace std::chrono_literals;

namespace {

constexpr double kRatio = 0.2;
constexpr double kFloor = 20;

std::size_t takeAll(RetryBudget& budget, base::TimePoint now) {
  std::size_t taken = 0;
  while (budget.takeRetry(now)) {
    ++taken;
  }
  return taken;
}

}  // namespace

TEST_GROUP(EarnedRetryBudgetTest) { const base::TimePoint start = base::TimePoint(100s); };

TEST(EarnedRetryBudgetTest, aNewProcessEarnsItsBudgetEvenly) {
  RetryBudget budget(kRatio, kFloor, start);
  CHECK_EQUAL(0, takeAll(budget, start));
  CHECK_EQUAL(5, takeAll(budget, start + RetryBudget::kEarningTime / 4));
  CHECK_EQUAL(5, takeAll(budget, start + RetryBudget::kEarningTime / 2));
}

TEST(EarnedRetryBudgetTest, processesThatFollowOneAnotherUseHalfOfTheBudgetMoreThanOne) {
  RetryBudget first(kRatio, kFloor, start);
  base::TimePoint now = start + RetryBudget::kEarningTime;
  std::size_t taken = takeAll(first, now);
  CHECK_EQUAL(static_cast<std::size_t>(kFloor), taken);
  const base::TimePoint end = now + RetryBudget::kWindow;
  while (now < end) {
    RetryBudget next(kRatio, kFloor, now);
    now += 2500ms;
    taken += takeAll(next, now - 1ms);
  }
  CHECK_TRUE(static_cast<double>(taken) <= kFloor * (1 + RetryBudget::kSuccessorShare));
}

TEST(EarnedRetryBudgetTest, withoutAStartTheBudgetIsWholeAtOnce) {
  RetryBudget budget(kRatio, kFloor);
  CHECK_EQUAL(static_cast<std::size_t>(kFloor), takeAll(budget, start));
}

TEST(EarnedRetryBudgetTest, aCountThatIsNeverReadKeepsNoMoreThanItsWindow) {
  WindowedCount count(RetryBudget::kWindow);
  for (base::TimePoint now = start; now < start + 100s; now += 100ms) {
    count.add(now);
  }
  const std::size_t most = RetryBudget::kWindow / WindowedCount::kBucketWidth;
  CHECK_TRUE(count.bucketCount() <= most);
}

/// A bucket was dropped by the age of its first event, so that its last retries were forgotten
/// within the window.
TEST(EarnedRetryBudgetTest, aRetryCountsUntilItIsAWindowOld) {
  RetryBudget budget(0, 1);
  budget.firstAttempt(start);
  const base::TimePoint taken = start + 900ms;
  CHECK_TRUE(budget.takeRetry(taken));
  CHECK_FALSE(budget.takeRetry(taken + RetryBudget::kWindow - 1ms));
  CHECK_TRUE(budget.takeRetry(taken + RetryBudget::kWindow + WindowedCount::kBucketWidth));
}

/// Guards against reserved retries that exceed a budget which has shrunk since.
TEST(EarnedRetryBudgetTest, reservedRetriesAreUsedWithinTheBudgetOnly) {
  RetryBudget budget(kRatio, 1);
  for (int request = 0; request < 100; ++request) {
    budget.firstAttempt(start);
  }
  std::size_t reserved = 0;
  while (budget.reserveRetry(start)) {
    ++reserved;
  }
  CHECK_EQUAL(21, reserved);
  CHECK_FALSE(budget.takeRetry(start));
  const base::TimePoint later = start + 2 * RetryBudget::kWindow;
  CHECK_TRUE(budget.useReservedRetry(later));
  CHECK_FALSE(budget.useReservedRetry(later));
}
