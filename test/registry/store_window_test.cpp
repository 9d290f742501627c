/// Tests that no window holds more starts of loads than allowed, at several rates, overshoots and
/// window lengths. The bounds are those of the users' rule: rate, length and overshoot multiplied,
/// and three more, rounded down.

#include <algorithm>
#include <iterator>
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
