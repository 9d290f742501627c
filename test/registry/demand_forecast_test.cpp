/// Tests the forecast of a model's arrivals, which are counted every 500 ms as from many gateways.

#include "registry/demand_forecast.h"

#include <algorithm>
#include <cmath>
#include <numbers>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

TEST_GROUP(DemandForecastTest) {
  static constexpr base::Duration kInterval = 50ms;
  const base::TimePoint since = base::TimePoint(100s);
  base::TimePoint now = since;
  ArrivalTrend trend;

  /// Counts arrivals of a rate that changes linearly.
  void count(base::Duration time, double from, double to) {
    const double steps =
        std::chrono::duration<double>(time) / std::chrono::duration<double>(kInterval);
    for (int step = 1; step <= static_cast<int>(steps); ++step) {
      now += kInterval;
      const double rate = from + (to - from) * step / steps;
      trend.count(now, rate * std::chrono::duration<double>(kInterval).count());
    }
  }
};

TEST(DemandForecastTest, aSteadyRateHasNoTrend) {
  count(30s, 20, 20);
  DOUBLES_EQUAL(1, trend.growth(now, 13s, since), 0.001);
}

TEST(DemandForecastTest, aSteadyRiseIsExtended) {
  count(20s, 5, 5);
  count(20s, 5, 75);  // 3.5/s more each second: 3 s ahead, 85.5/s are expected.
  DOUBLES_EQUAL(85.5 / 75, trend.growth(now, 3s, since), 0.02);
}

TEST(DemandForecastTest, aForecastIsAtMostTwiceThePresentRate) {
  count(2s, 0, 400);  // 200/s more each second: without the bound, 2.5 times the present rate.
  DOUBLES_EQUAL(kMaxGrowth, trend.growth(now, 13s, since), 0.001);
}

TEST(DemandForecastTest, fallingDemandIsForecastButNeverNegative) {
  count(20s, 80, 80);
  count(5s, 80, 0);
  const double growth = trend.growth(now, 13s, since);
  CHECK_TRUE(growth >= 0);
  CHECK_TRUE(growth <= 1);
}

/// Guards against a single caller of a cold model being taken for a rise.
TEST(DemandForecastTest, oneArrivalIsNoTrend) {
  now += 20s;
  trend.count(now, 1);
  DOUBLES_EQUAL(1, trend.growth(now, 13s, since), 0.001);
}

/// Guards against a new leader taking the beginning of its own counts for a rise.
TEST(DemandForecastTest, theBeginningOfCountingIsNoTrend) {
  for (int step = 0; step < 100; ++step) {
    count(kInterval, 15, 15);
    DOUBLES_EQUAL(1, trend.growth(now, 13s, since), 0.001);
  }
}

/// Guards against replicas for a trend that a swing ends: by half of the mean, within 13 s.
TEST(DemandForecastTest, aSwingIsForecastToLittleMoreThanItsPeak) {
  constexpr double kMean = 20;
  double highest = 0;
  for (int step = 0; step < 1000; ++step) {
    const double rate = kMean * (1 + 0.5 * std::sin(2 * std::numbers::pi * step * 0.05 / 13));
    count(kInterval, rate, rate);
    highest = std::max(highest, rate * trend.growth(now, 13s, since));
  }
  CHECK_TRUE(highest <= 1.2 * 1.5 * kMean);
}

TEST(DemandForecastTest, theMeanOfRequestsOutlastsTheLowPointOfASwing) {
  constexpr double kMean = 10;
  RequestMean requests;
  double lowest = kMean;
  for (int step = 0; step < 1000; ++step) {
    now += kInterval;
    requests.update(now, kMean * (1 + 0.5 * std::sin(2 * std::numbers::pi * step * 0.05 / 13)));
    lowest = step < 400 ? kMean : std::min(lowest, requests.value());
  }
  CHECK_TRUE(lowest > 0.85 * kMean);
}
