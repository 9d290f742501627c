#include "scale/linear_fit.h"

#include <cmath>

namespace walnut::scale {

namespace {

/// Two parameters are fitted; the residuals need at least one degree of freedom.
constexpr std::size_t kMinPoints = 3;
constexpr double kParameters = 2;

struct Sums {
  double count = 0;
  double meanX = 0;
  double meanY = 0;
  double squaresX = 0;  ///< Of the deviations from the mean.
  double products = 0;
};

Sums sumsOf(const std::vector<Point>& points) {
  Sums sums;
  sums.count = static_cast<double>(points.size());
  for (const Point& point : points) {
    sums.meanX += point.x / sums.count;
    sums.meanY += point.y / sums.count;
  }
  for (const Point& point : points) {
    sums.squaresX += (point.x - sums.meanX) * (point.x - sums.meanX);
    sums.products += (point.x - sums.meanX) * (point.y - sums.meanY);
  }
  return sums;
}

}  // namespace

base::Result<LinearFit> fitLine(const std::vector<Point>& points) {
  if (points.size() < kMinPoints) {
    return base::Error{base::ErrorCode::outOfRange, "points", "a fit needs three points"};
  }
  const Sums sums = sumsOf(points);
  if (sums.squaresX <= 0) {
    return base::Error{base::ErrorCode::outOfRange, "points", "all points have the same x"};
  }
  LinearFit fit;
  fit.slope = sums.products / sums.squaresX;
  fit.intercept = sums.meanY - fit.slope * sums.meanX;
  double residuals = 0;
  for (const Point& point : points) {
    const double residual = point.y - (fit.intercept + fit.slope * point.x);
    residuals += residual * residual;
  }
  const double variance = residuals / (sums.count - kParameters);
  fit.slopeError = std::sqrt(variance / sums.squaresX);
  fit.interceptError =
      std::sqrt(variance * (1 / sums.count + sums.meanX * sums.meanX / sums.squaresX));
  return fit;
}

}  // namespace walnut::scale
