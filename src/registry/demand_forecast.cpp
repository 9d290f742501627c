#include "registry/demand_forecast.h"

#include <algorithm>
#include <cmath>

namespace walnut::registry {

namespace {

/// Time constants of the two means of arrivals in seconds. Both are well below the 13 s in which
/// demand commonly goes up and down.
constexpr double kRecentSeconds = 2.0;
constexpr double kMeanSeconds = 5.0;
/// Least time of counting from which a trend is known: two reports of each gateway, which reports
/// every 500 ms.
constexpr double kMinCountedSeconds = 1.0;
/// Longest time in seconds for which a trend is assumed to last: about a quarter of the 13 s of a
/// swing. With 4 s, the forecast in a swing by half of the mean was 22% above its peak.
constexpr double kMaxTrendSeconds = 3.0;
/// Standard deviations beyond which a difference of the means counts as a trend.
constexpr double kSignificance = 2.0;
/// Least level in arrivals per second for which a growth is computed.
constexpr double kMinLevel = 0.01;
/// Time constant of the mean of requests in seconds: at the lowest point of a swing by half of the
/// mean within 13 s, the result is still 0.87 of the mean.
constexpr double kRequestMeanSeconds = 8.0;

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// @return the mean that belongs to a weighted sum of the last `counted` seconds.
double meanOf(double sum, double timeConstant, double age, double counted) {
  return sum * std::exp(-age / timeConstant) / timeConstant /
         (1.0 - std::exp(-counted / timeConstant));
}

/// @return the mean age of what a mean counts, by which it lags behind a steady rise.
double lag(double timeConstant, double counted) {
  const double missing = std::exp(-counted / timeConstant);
  return timeConstant - counted * missing / (1.0 - missing);
}

/// @return the standard deviation of the slope if arrivals are independent: that of the difference
/// of the two means after a long time, and that of a line through `counted` seconds before.
double slopeDeviation(double rate, double counted) {
  constexpr double kLongTimeVariance = 0.00714;
  constexpr double kLineVariance = 12.0;
  return std::sqrt(rate * (kLongTimeVariance + kLineVariance / (counted * counted * counted)));
}

}  // namespace

void ArrivalTrend::count(base::TimePoint now, double arrivals) {
  const double age = seconds(now - updatedAt_);
  recent_ = recent_ * std::exp(-age / kRecentSeconds) + arrivals;
  mean_ = mean_ * std::exp(-age / kMeanSeconds) + arrivals;
  updatedAt_ = now;
}

double ArrivalTrend::growth(base::TimePoint now, base::Duration ahead,
                            base::TimePoint since) const {
  const double counted = seconds(now - since);
  if (counted < kMinCountedSeconds) {
    return 1;
  }
  const double age = seconds(now - updatedAt_);
  const double recent = meanOf(recent_, kRecentSeconds, age, counted);
  const double mean = meanOf(mean_, kMeanSeconds, age, counted);
  const double recentLag = lag(kRecentSeconds, counted);
  const double slope = (recent - mean) / (lag(kMeanSeconds, counted) - recentLag);
  const double level = recent + recentLag * slope;
  const double deviation = slopeDeviation(std::max(recent, mean), counted);
  if (std::abs(slope) <= kSignificance * deviation || level < kMinLevel) {
    return 1;
  }
  const double expected = level + slope * std::min(seconds(ahead), kMaxTrendSeconds);
  return std::clamp(expected / level, 0.0, kMaxGrowth);
}

void RequestMean::update(base::TimePoint now, double requests) {
  const bool isFirst = updatedAt_ == base::TimePoint();
  const double kept = isFirst ? 0 : std::exp(-seconds(now - updatedAt_) / kRequestMeanSeconds);
  mean_ = kept * mean_ + (1.0 - kept) * requests;
  updatedAt_ = now;
}

}  // namespace walnut::registry
