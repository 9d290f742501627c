/// Tests a retry budget that several processes share.

#include <numeric>
#include <optional>
#include <vector>

#include "routing/retry_budget.h"
#include "walnut/base/random.h"

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

TEST(EarnedRetryBudgetTest, processesThatFollowOneAnotherUseNoMoreThanTheirShareOfTheFloor) {
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
  CHECK_TRUE(static_cast<double>(taken) <= kFloor * (1 + RetryBudget::kEarnedShare));
}

TEST(EarnedRetryBudgetTest, aNewProcessMayRetryByTheRatioAtOnce) {
  constexpr std::size_t kRequests = 50;
  RetryBudget budget(kRatio, kFloor, start);
  for (std::size_t number = 0; number < kRequests; ++number) {
    budget.firstAttempt(start);
  }
  CHECK_EQUAL(static_cast<std::size_t>(kRatio * kRequests), takeAll(budget, start));
}

/// The requests come in bursts and to several places; each process takes all that it can before it
/// is killed.
TEST(EarnedRetryBudgetTest, retriesOfAnyWindowAreWithinTheRatioOfItAndTheWindowBefore) {
  constexpr std::size_t kPlaces = 3;
  constexpr base::Duration kStep = 100ms;
  constexpr base::Duration kTime = 120s;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    base::Random random(seed);
    const double killChance = 0.05 * random.unit();
    const double slack = kFloor * kPlaces * (1 + RetryBudget::kEarnedShare);
    std::vector<std::optional<RetryBudget>> places(kPlaces);
    for (std::optional<RetryBudget>& place : places) {
      place.emplace(kRatio, kFloor, start);
    }
    std::vector<std::size_t> requests;
    std::vector<std::size_t> retries;
    std::size_t burst = 0;
    for (base::TimePoint now = start; now < start + kTime; now += kStep) {
      burst = random.chance(0.02) ? random.uniform(0, 20) : burst;
      for (std::size_t number = 0; number < burst; ++number) {
        places[random.uniform(0, kPlaces - 1)]->firstAttempt(now);
      }
      requests.push_back(burst);
      retries.push_back(0);
      for (std::optional<RetryBudget>& place : places) {
        if (random.chance(killChance)) {
          retries.back() += takeAll(*place, now);
          place.emplace(kRatio, kFloor, now);
        }
      }
    }
    constexpr std::ptrdiff_t kSteps = RetryBudget::kWindow / kStep;
    for (auto begin = kSteps; begin + kSteps <= kTime / kStep; ++begin) {
      const auto all = std::accumulate(requests.begin() + begin - kSteps,
                                       requests.begin() + begin + kSteps, std::size_t{0});
      const auto taken = std::accumulate(retries.begin() + begin, retries.begin() + begin + kSteps,
                                         std::size_t{0});
      CHECK_TRUE(static_cast<double>(taken) <= kRatio * static_cast<double>(all) + slack);
    }
  }
}

TEST(EarnedRetryBudgetTest, aGrantedRetryIsTakenOnceAndInItsTime) {
  RetryBudget budget(kRatio, kFloor, start);
  budget.grant(3, start + 10s);
  CHECK_TRUE(budget.takeRetry(start));
  CHECK_TRUE(budget.takeRetry(start));
  CHECK_EQUAL(1, budget.usage(start).granted);
  CHECK_EQUAL(1, takeAll(budget, start + 1ms));
  CHECK_EQUAL(0, takeAll(budget, start + 2ms));
}

TEST(EarnedRetryBudgetTest, aGrantedRetryExpires) {
  RetryBudget budget(kRatio, 0, start);
  budget.grant(1, start + 10s);
  CHECK_EQUAL(0, takeAll(budget, start + 10s));
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
