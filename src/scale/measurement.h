#pragma once
/// @file
/// Results of the scale run: series of points with their fits, as JSON and as a Markdown table.

#include <iosfwd>
#include <string>
#include <vector>

#include "scale/linear_fit.h"

namespace walnut::scale {

/// One quantity over a sweep of another one.
struct Series {
  std::string quantity;  ///< What y is, e.g. "controller processor time per second".
  std::string unit;      ///< Of y.
  std::string per;       ///< What x counts, e.g. "routers".
  std::vector<Point> points;
};

/// All series of one run.
struct Measurement {
  std::string experiment;
  std::string command;     ///< As it was started.
  std::string date;        ///< UTC, ISO 8601.
  unsigned cores = 0;      ///< Of the machine.
  double loadAverage = 0;  ///< Of the last minute at the end: other work on the machine.
  std::vector<Series> series;
};

/// Fills in command, date, cores and load.
Measurement makeMeasurement(const std::string& experiment, const std::vector<std::string>& command);

/// @return a JSON document; a series that can't be fitted has no fit.
std::string toJson(const Measurement& measurement);
/// @return a Markdown table, one row a series.
std::string toTable(const Measurement& measurement);

}  // namespace walnut::scale
