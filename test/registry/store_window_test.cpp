/// Tests that no window holds more starts of loads than allowed, at several rates, overshoots and
/// window lengths. The bounds are those of the users' rule: rate, length and overshoot multiplied,
/// and three more, rounded down.

#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include "registry/store_rate.h"
#include "walnut/base/random.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kStep = 10ms;
/// Longest time from an order to the start of its load if nothing delays it.
constexpr base::Duration kPromptStart = 50ms;

struct Limit {
  double perSecond;
  StoreWindow window;
  std::size_t mostInWindow;
  std::size_t mostAtOnce;  ///< After a pause.
};

const Limit kLimits[] = {
    {0.1, {5s, 1.1}, 3, 2},   {1.5, {5s, 1.1}, 11, 3}, {2.2, {5s, 1.1}, 15, 3},
    {3, {5s, 1.1}, 19, 3},    {12, {5s, 1.1}, 69, 8},  {300, {5s, 1.1}, 1653, 138},
    {0.1, {60s, 1.1}, 9, 2},  {0.1, {5s, 1.0}, 3, 2},  {1.5, {5s, 1.0}, 10, 2},
    {3, {5s, 1.0}, 18, 2},    {3, {5s, 2.0}, 33, 17},  {3, {100ms, 1.1}, 3, 2},
    {17, {5s, 1.4}, 122, 35}, {1.5, {1s, 1.1}, 4, 2},
};

std::string name(const Limit& limit) {
  return std::to_string(limit.perSecond) + "/s, overshoot " +
         std::to_string(limit.window.overshoot) + ", " +
         std::to_string(std::chrono::duration<double>(limit.window.length).count()) + " s";
}

/// @return the most of these times within any window of that length, its ends included.
std::size_t mostInWindow(std::vector<base::TimePoint> times, base::Duration length) {
  std::sort(times.begin(), times.end());
  std::size_t most = 0;
  for (std::size_t first = 0, end = 0; first < times.size(); ++first) {
    while (end < times.size() && times[end] <= times[first] + length) {
      ++end;
    }
    most = std::max(most, end - first);
  }
  return most;
}

}  // namespace

TEST_GROUP(StoreWindowTest) {
  base::TimePoint now = base::TimePoint(100s);
  base::Random random{1};

  base::Duration upTo(base::Duration longest) {
    return random.between(base::Duration::zero(), longest);
  }
  /// Starts all loads that may start at each step; they begin up to that much later.
  void run(StoreRate & store, const Limit& limit, base::Duration duration, base::Duration delay,
           std::vector<base::TimePoint>& begun) {
    for (const base::TimePoint end = now + duration; now < end; now += kStep) {
      store.setLimit(limit.perSecond, limit.window, now);
      while (store.allows()) {
        store.recordStart();
        begun.push_back(now + upTo(delay));
      }
    }
  }
};

/// Guards against loads that the window would hold and the burst keeps back.
TEST(StoreWindowTest, theBurstIsWhatTheRateLeavesOfTheWindow) {
  for (const Limit& limit : kLimits) {
    StoreRate store(PreviousLoads{std::nullopt});
    std::vector<base::TimePoint> begun;
    run(store, limit, kStep, 0s, begun);
    CHECK_EQUAL_TEXT(limit.mostAtOnce, begun.size(), name(limit).c_str());
  }
}

/// Guards against a high rate without overshoot that leaves no burst, so that no load ever starts.
TEST(StoreWindowTest, theBurstIsAtLeastTwoLoads) {
  StoreRate store(PreviousLoads{std::nullopt});
  std::vector<base::TimePoint> begun;
  run(store, {300, {5s, 1.0}, 1503, 2}, kStep, 0s, begun);
  CHECK_EQUAL(2, begun.size());
}

/// Guards against a burst that is larger than what the rate leaves of the window.
TEST(StoreWindowTest, noWindowHoldsMoreThanAllowedAfterAPause) {
  for (const Limit& limit : kLimits) {
    StoreRate store(PreviousLoads{std::nullopt});
    std::vector<base::TimePoint> begun;
    for (int pause = 0; pause < 10; ++pause) {
      run(store, limit, 3 * limit.window.length, kPromptStart, begun);
      now += upTo(20s);
    }
    CHECK_TRUE_TEXT(mostInWindow(begun, limit.window.length) <= limit.mostInWindow,
                    name(limit).c_str());
  }
}

/// Guards against a burst that leaves no room for the first loads of the next leader.
TEST(StoreWindowTest, noWindowHoldsMoreThanAllowedWhereLeadersFollowOneAnother) {
  for (const Limit& limit : kLimits) {
    std::vector<base::TimePoint> begun;
    PreviousLoads former{std::nullopt};
    for (int leader = 0; leader < 30; ++leader) {
      StoreRate store(former);
      run(store, limit, limit.window.length / 2 + upTo(3 * limit.window.length), 0s, begun);
      former.endedAt = now;
      now += upTo(3s);
    }
    CHECK_TRUE_TEXT(mostInWindow(begun, limit.window.length) <= limit.mostInWindow,
                    name(limit).c_str());
  }
}

namespace {

constexpr base::Duration kOrderTimeout = 1s;
/// Time within which an order with an unclear outcome is carried out.
constexpr base::Duration kUnclearLifetime = 12s;
/// Period of the stalls during which orders are kept back; they arrive when it ends.
constexpr base::Duration kStallPeriod = 20s;
constexpr base::Duration kStall = 3s;

/// Workers whose answers to orders are delayed or lost.
struct SlowWorkers {
  struct Answer {
    std::uint64_t load = 0;
    enum class Outcome { accepted, refused, unclear } outcome = Outcome::accepted;
  };

  bool countsOrders = true;  ///< Whether the store is told of orders and their outcomes.
  base::Random random{1};
  std::uint64_t lastLoad = 0;
  std::multimap<base::TimePoint, Answer> answers;
  std::vector<base::TimePoint> begun;
  std::size_t refused = 0;

  base::Duration upTo(base::Duration longest) {
    return random.between(base::Duration::zero(), longest);
  }
  /// @return when an order sent now arrives, if its answer isn't lost.
  base::TimePoint arrival(base::TimePoint now) {
    const base::Duration inPeriod = now.time_since_epoch() % kStallPeriod;
    const base::TimePoint sent = inPeriod < kStall ? now + kStall - inPeriod : now;
    return sent + upTo(random.chance(0.1) ? 800ms : kPromptStart);
  }
  void order(StoreRate& store, base::TimePoint now) {
    const std::uint64_t load = ++lastLoad;
    countsOrders ? store.recordOrdered(load) : store.recordStart();
    const base::TimePoint arrived = arrival(now);
    if (random.chance(0.05)) {
      ++refused;
      answers.emplace(arrived + upTo(50ms), Answer{load, Answer::Outcome::refused});
    } else if (random.chance(0.05)) {
      answers.emplace(now + kOrderTimeout, Answer{load, Answer::Outcome::unclear});
      begun.push_back(now + upTo(kOrderTimeout + kUnclearLifetime));
    } else {
      begun.push_back(arrived);
      answers.emplace(arrived + upTo(50ms), Answer{load, Answer::Outcome::accepted});
    }
  }
  void answer(StoreRate& store, base::TimePoint now) {
    for (; !answers.empty() && answers.begin()->first <= now; answers.erase(answers.begin())) {
      const Answer& answer = answers.begin()->second;
      if (answer.outcome == Answer::Outcome::unclear) {
        countsOrders ? store.recordUnclear(answer.load, now) : store.recordUnclear(now);
      } else if (countsOrders && answer.outcome == Answer::Outcome::accepted) {
        store.recordAccepted(answer.load, now);
      } else if (countsOrders) {
        store.recordRefused(answer.load);
      }
    }
  }
  /// Orders all loads that may start at each step.
  void run(const Limit& limit, base::Duration duration) {
    StoreRate store(PreviousLoads{std::nullopt});
    base::TimePoint now(100s);
    for (const base::TimePoint end = now + duration; now < end; now += kStep) {
      answer(store, now);
      store.setLimit(limit.perSecond, limit.window, now);
      while (store.allows()) {
        order(store, now);
      }
    }
  }
};

constexpr Limit kHighRateWithoutOvershoot = {300, {5s, 1.0}, 1503, 2};

}  // namespace

/// Guards against loads whose orders are delayed or have an unclear outcome, and which start in one
/// window with those ordered later.
TEST(StoreWindowTest, noWindowHoldsMoreThanAllowedWhereOrdersAreDelayed) {
  std::vector<Limit> limits(std::begin(kLimits), std::end(kLimits));
  limits.push_back(kHighRateWithoutOvershoot);
  for (const Limit& limit : limits) {
    SlowWorkers workers;
    workers.run(limit, 120s);
    CHECK_TRUE_TEXT(mostInWindow(workers.begun, limit.window.length) <= limit.mostInWindow,
                    name(limit).c_str());
  }
}

/// Shows that noWindowHoldsMoreThanAllowedWhereOrdersAreDelayed would detect such loads.
TEST(StoreWindowTest, delayedOrdersThatAreNotCountedExceedTheWindow) {
  for (const Limit& limit : {kLimits[1], kLimits[3], kLimits[4], kLimits[5]}) {
    SlowWorkers workers;
    workers.countsOrders = false;
    workers.run(limit, 120s);
    CHECK_TRUE_TEXT(mostInWindow(workers.begun, limit.window.length) > limit.mostInWindow,
                    name(limit).c_str());
  }
}

/// Guards against a count that keeps loads forever: the store's rate would be lost.
TEST(StoreWindowTest, mostOfTheRateIsUsedWhereOrdersAreDelayed) {
  constexpr double kLeastShare = 0.5;
  for (const Limit& limit : {kLimits[1], kLimits[3], kLimits[4]}) {
    SlowWorkers workers;
    workers.run(limit, 600s);
    CHECK_TRUE_TEXT(static_cast<double>(workers.begun.size()) > kLeastShare * 600 * limit.perSecond,
                    name(limit).c_str());
  }
}

TEST_GROUP(StoreStartTest) {
  const Limit limit = kLimits[3];
  base::TimePoint now = base::TimePoint(100s);
  StoreRate store{PreviousLoads{std::nullopt}};
  std::uint64_t lastLoad = 0;

  void setup() override { advance(0s); }
  void advance(base::Duration duration) {
    now += duration;
    store.setLimit(limit.perSecond, limit.window, now);
  }
  /// Orders all loads that may start now.
  std::size_t orderAll() {
    std::size_t count = 0;
    for (; store.allows(); ++count) {
      store.recordOrdered(++lastLoad);
    }
    return count;
  }
};

/// Guards against losing the store's rate to loads that never start.
TEST(StoreStartTest, aRefusedLoadReturnsItsToken) {
  CHECK_EQUAL(limit.mostAtOnce, orderAll());
  store.recordRefused(lastLoad);
  CHECK_EQUAL(1, orderAll());
  CHECK_EQUAL(0, orderAll());
}

/// Guards against a burst beyond the bucket: while the order was unanswered the bucket refilled, as
/// it would have without the order.
TEST(StoreStartTest, aRefusedLoadReturnsNoTokenToAFullBucket) {
  store.recordOrdered(++lastLoad);
  advance(10s);
  const std::uint64_t first = lastLoad;
  CHECK_EQUAL(limit.mostAtOnce, orderAll());
  store.recordRefused(first);
  CHECK_EQUAL(0, orderAll());
}

/// Guards against returning the token of a load that has started.
TEST(StoreStartTest, anAcceptedLoadReturnsNoToken) {
  CHECK_EQUAL(limit.mostAtOnce, orderAll());
  store.recordAccepted(lastLoad, now);
  store.recordRefused(lastLoad);
  CHECK_EQUAL(0, orderAll());
}

/// Guards against a wait that ends while unanswered orders still fill the window.
TEST(StoreStartTest, theWaitCoversAWindowThatIsFull) {
  std::size_t ordered = 0;
  for (int step = 0; step < 1000; ++step) {
    ordered += orderAll();
    advance(kStep);
  }
  CHECK_EQUAL(limit.mostInWindow, ordered);
  CHECK_TRUE(store.wait(0) > limit.window.length);
  CHECK_TRUE(store.wait(limit.mostInWindow) > 2 * limit.window.length);
  for (std::uint64_t load = 1; load <= lastLoad; ++load) {
    store.recordAccepted(load, now);
  }
  advance(limit.window.length);
  CHECK_FALSE(store.allows());
  advance(store.wait(0));
  CHECK_TRUE(store.allows());
}
