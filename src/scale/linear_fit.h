#pragma once
/// @file
/// Least squares line through measured points, with standard errors.

#include <vector>

#include "walnut/base/error.h"

namespace walnut::scale {

/// One measured point of a sweep.
struct Point {
  double x = 0;
  double y = 0;
};

/// y = intercept + slope * x. The errors are one standard error of the estimate, under equal and
/// independent errors of y.
struct LinearFit {
  double slope = 0;
  double slopeError = 0;
  double intercept = 0;
  double interceptError = 0;
};

/// @return `outOfRange` with fewer than three points, or if all have the same x.
base::Result<LinearFit> fitLine(const std::vector<Point>& points);

}  // namespace walnut::scale
