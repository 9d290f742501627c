/// Tests the limit on the number of loads that start in any window.

#include "registry/store_rate.h"

#include <deque>
#include <optional>
#include <set>

#include "walnut/base/random.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

namespace {

constexpr double kPerSecond = 3;
constexpr StoreWindow kWindow{5s, 1.1};
/// Bound for 3 loads per second in a window of 5 s: 15, a tenth more, and 3.
constexpr std::size_t kMostInWindow = 19;

}  // namespace

TEST_GROUP(StoreRateTest) {
  std::optional<StoreRate> store = StoreRate();
  base::TimePoint now = base::TimePoint(100s);

  /// Starts all loads that may start at each step.
  /// @return the number of loads started.
  /// @param earlier start times within the last window, those of previous leaders included.
  std::size_t run(base::Duration duration, std::size_t* mostInWindow = nullptr,
                  std::deque<base::TimePoint>* earlier = nullptr) {
    std::deque<base::TimePoint> own;
    std::deque<base::TimePoint>& begun = earlier == nullptr ? own : *earlier;
    std::size_t count = 0;
    const base::TimePoint end = now + duration;
    for (; now < end; now += 20ms) {
      store->setLimit(kPerSecond, kWindow, now);
      while (store->allows()) {
        store->recordStart();
        begun.push_back(now);
        ++count;
      }
      while (!begun.empty() && begun.front() + kWindow.length < now) {
        begun.pop_front();
      }
      if (mostInWindow != nullptr) {
        *mostInWindow = std::max(*mostInWindow, begun.size());
      }
    }
    return count;
  }
};

TEST(StoreRateTest, noWindowHoldsMoreThanAllowedAfterAPause) {
  store->setLimit(kPerSecond, kWindow, now);
  now += 60s;
  std::size_t most = 0;
  run(30s, &most);
  CHECK_TRUE(most <= kMostInWindow);
}

TEST(StoreRateTest, nearlyAllOfTheRateIsUsedInTheLongRun) { CHECK_TRUE(run(100s) >= 285); }

TEST(StoreRateTest, theWholeRateIsUsedInTheLongRun) { CHECK_TRUE(run(100s) >= 299); }

/// Orders take some milliseconds to arrive, and some are delayed by a worker's busy link.
TEST(StoreRateTest, noWindowHoldsMoreThanAllowedWhereOrdersArriveUnevenly) {
  constexpr double kLargeRate = 300;
  constexpr std::size_t kMostInLargeWindow = 1653;  // 300 per second for 5 s, a tenth more, and 3.
  std::multiset<base::TimePoint> begun;
  store->setLimit(kLargeRate, kWindow, now);
  now += 60s;
  base::Random random(1);
  for (const base::TimePoint end = now + 20s; now < end; now += 1ms) {
    store->setLimit(kLargeRate, kWindow, now);
    while (store->allows()) {
      store->recordStart();
      begun.insert(now + random.between(base::Duration::zero(), base::Duration(50ms)));
    }
  }
  for (auto first = begun.begin(); first != begun.end(); ++first) {
    const auto count = std::distance(first, begun.upper_bound(*first + kWindow.length));
    CHECK_TRUE(static_cast<std::size_t>(count) <= kMostInLargeWindow);
    std::advance(first, std::min<std::ptrdiff_t>(20, std::distance(first, begun.end()) - 1));
  }
}

TEST(StoreRateTest, severalLoadsMayStartAtOnceAfterAPause) {
  store->setLimit(kPerSecond, kWindow, now);
  now += 10s;
  CHECK_EQUAL(3, run(20ms));
}

TEST(StoreRateTest, aNewLeaderBeginsWithoutTheBurst) { CHECK_EQUAL(1, run(20ms)); }

TEST(StoreRateTest, aLeaderThatHasNoPredecessorBeginsWithTheBurst) {
  store.emplace(PreviousLoads{std::nullopt});
  std::size_t most = 0;
  CHECK_EQUAL(3, run(20ms, &most));
  run(30s, &most);
  CHECK_TRUE(most <= kMostInWindow);
}

TEST(StoreRateTest, theTimeSinceTheLastLoadOfAPredecessorIsCounted) {
  store.emplace(PreviousLoads{now - 400ms});
  CHECK_EQUAL(2, run(20ms));
}

TEST(StoreRateTest, aPredecessorWhoseOrdersMayStillArriveLeavesOneToken) {
  store.emplace(PreviousLoads{now + 300ms});
  CHECK_EQUAL(1, run(20ms));
}

/// Guards against new leaders that use a burst which the previous leader has already used.
TEST(StoreRateTest, noWindowHoldsMoreThanAllowedWhereLeadersFollowOneAnother) {
  base::Random random(1);
  std::deque<base::TimePoint> begun;
  std::size_t most = 0;
  PreviousLoads former{std::nullopt};
  for (int leader = 0; leader < 200; ++leader) {
    store.emplace(former);
    run(random.between(base::Duration(5s), base::Duration(20s)), &most, &begun);
    former.endedAt = now;
    now += random.between(base::Duration::zero(), base::Duration(3s));
  }
  CHECK_TRUE(most <= kMostInWindow);
}

/// Shows that noWindowHoldsMoreThanAllowedWhereLeadersFollowOneAnother would detect such leaders.
TEST(StoreRateTest, leadersThatBeginWithTheBurstWithoutKnowingExceedTheWindow) {
  std::deque<base::TimePoint> begun;
  std::size_t most = 0;
  for (int leader = 0; leader < 2; ++leader) {
    store.emplace(PreviousLoads{std::nullopt});
    run(4s, &most, &begun);
  }
  CHECK_TRUE(most > kMostInWindow);
}

TEST(StoreRateTest, theWaitCoversTheMissingTokens) {
  CHECK_EQUAL(1, run(20ms));
  const base::Duration first = store->wait(0);
  CHECK_TRUE(first > 300ms && first <= 1s / kPerSecond);
  CHECK_TRUE(store->wait(6) - first == 2s);
  now += first;
  store->setLimit(kPerSecond, kWindow, now);
  CHECK_TRUE(store->allows());
}

TEST(StoreRateTest, ordersWithAnUnclearOutcomeReserveTheBurst) {
  store->setLimit(kPerSecond, kWindow, now);
  now += 10s;
  for (int count = 0; count < 5; ++count) {
    store->recordUnclear(now);
  }
  CHECK_EQUAL(1, run(20ms));
  now += 12s;
  CHECK_EQUAL(3, run(20ms));
}

TEST(StoreRateTest, withoutARateNothingIsLimited) {
  store->setLimit(0, kWindow, now);
  for (int count = 0; count < 100; ++count) {
    CHECK_TRUE(store->allows());
    store->recordStart();
  }
}
