/// Tests of the count of recent requests.

#include "registry/recent_requests.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

TEST_GROUP(RecentRequestsTest) {
  RecentRequests requests;
  base::TimePoint now = base::TimePoint(100s);
};

TEST(RecentRequestsTest, eachRequestCountsForThePeriod) {
  requests.add(2, now);
  requests.add(3, now + 10s);
  CHECK_EQUAL(5, requests.count(now + 19s));
  CHECK_EQUAL(3, requests.count(now + 20s));
  CHECK_EQUAL(0, requests.count(now + 30s));
}

TEST(RecentRequestsTest, requestsWithinTheResolutionEndTogether) {
  requests.add(1, now);
  requests.add(1, now + 400ms);
  CHECK_EQUAL(2, requests.count(now + 19900ms));
  CHECK_EQUAL(0, requests.count(now + 20s));
}

TEST(RecentRequestsTest, nothingCountsAfterClear) {
  requests.add(4, now);
  requests.clear();
  CHECK_EQUAL(0, requests.count(now));
}
