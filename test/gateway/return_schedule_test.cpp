/// Tests of the times given to refused callers. The load: a burst of refusals of one model at one
/// gateway of many.

#include "gateway/return_schedule.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace std::chrono_literals;

TEST_GROUP(ReturnScheduleTest) {
  ReturnSchedule schedule;
  base::TimePoint now = base::TimePoint(1000s);
  /// @return the time given to a caller of the model who is refused now.
  base::TimePoint timeFor(const char* model, base::Duration expectedWait) {
    return now + schedule.add("svc", model, now, expectedWait, 200ms);
  }
};

/// Guards against callers who return together and are refused again.
TEST(ReturnScheduleTest, eachCallerOfABurstIsGivenATimeOfItsOwn) {
  const base::TimePoint first = timeFor("m", 1s);
  CHECK_TRUE(now + 1s == first);
  CHECK_TRUE(first + 200ms == timeFor("m", 1s));
  now += 100ms;
  CHECK_TRUE(first + 400ms == timeFor("m", 1s));
}

TEST(ReturnScheduleTest, aTimeIsNeverBeforeTheExpectedSlot) {
  (void)timeFor("m", 1s);
  CHECK_TRUE(now + 5s == timeFor("m", 5s));
}

TEST(ReturnScheduleTest, modelsDoNotDelayEachOther) {
  (void)timeFor("m", 1s);
  CHECK_TRUE(now + 1s == timeFor("n", 1s));
}

/// Guards against a Retry-After of zero, upon which a caller returns at once.
TEST(ReturnScheduleTest, aCallerIsGivenAtLeastOneInterval) {
  CHECK_TRUE(now + 200ms == timeFor("m", 0s));
}

TEST(ReturnScheduleTest, anUnknownIntervalStillGivesDifferentTimes) {
  const base::Duration first = schedule.add("svc", "m", now, 1s, 0s);
  CHECK_TRUE(first < schedule.add("svc", "m", now, 1s, 0s));
}
