/// Tests of the longest run times by route.

#include "gateway/run_times.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace std::chrono_literals;

TEST_GROUP(RunTimesTest) {
  RunTimes times;
  const base::TimePoint begin{1000s};

  bool isLongest(base::Duration expected, base::TimePoint now) {
    return times.longest("route", now) == expected;
  }
};

TEST(RunTimesTest, theLongestOfARouteIsKept) {
  times.record("route", 300ms, begin);
  times.record("route", 100ms, begin + 1s);
  times.record("other", 900ms, begin + 1s);
  CHECK_TRUE(isLongest(300ms, begin + 2s));
}

TEST(RunTimesTest, aRouteThatHasNotRunOfLateIsUnknown) {
  CHECK_FALSE(times.longest("route", begin).has_value());
  times.record("route", 300ms, begin);
  CHECK_FALSE(times.longest("route", begin + 2 * RunTimes::kPeriod).has_value());
}

TEST(RunTimesTest, aLongTimeIsForgottenAfterTwoPeriods) {
  times.record("route", 300ms, begin);
  times.record("route", 100ms, begin + RunTimes::kPeriod);
  CHECK_TRUE(isLongest(300ms, begin + RunTimes::kPeriod + 1s));
  times.record("route", 100ms, begin + 2 * RunTimes::kPeriod);
  CHECK_TRUE(isLongest(100ms, begin + 2 * RunTimes::kPeriod));
}
