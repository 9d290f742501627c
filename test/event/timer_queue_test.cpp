/// Tests of the timer queue in virtual time.

#include "event/timer_queue.h"

#include <vector>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::event;
using namespace std::chrono_literals;

TEST_GROUP(TimerQueueTest) {
  const base::TimePoint start = base::TimePoint(1s);
  TimerQueue queue;
  std::vector<int> fired;
};

TEST(TimerQueueTest, timersRunInTheOrderOfTheirTimes) {
  const TimerPtr second = queue.create([this] { fired.push_back(2); });
  const TimerPtr first = queue.create([this] { fired.push_back(1); });
  second->enableAt(start + 2s);
  first->enableAt(start + 1s);
  queue.runDue(start + 3s);
  CHECK((fired == std::vector<int>{1, 2}));
}

TEST(TimerQueueTest, aTimerThatEnablesItselfRunsOncePerIteration) {
  TimerPtr timer;
  timer = queue.create([this, &timer] {
    fired.push_back(1);
    timer->enableAt(start);
  });
  timer->enableAt(start);
  queue.runDue(start);
  CHECK_EQUAL(1, fired.size());
  queue.runDue(start + 1s);
  CHECK_EQUAL(2, fired.size());
}

TEST(TimerQueueTest, aDestroyedTimerDoesNotRun) {
  {
    const TimerPtr timer = queue.create([this] { fired.push_back(1); });
    timer->enableAt(start);
  }
  queue.runDue(start + 1s);
  CHECK_TRUE(fired.empty());
  CHECK_TRUE(queue.next() == base::kNever);
}
