#include "scale/measurement.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Timestamp.h>

#include <cmath>
#include <cstdlib>
#include <iomanip>
#include <sstream>
#include <thread>

namespace walnut::scale {

namespace {

constexpr int kTableDigits = 3;
constexpr unsigned kJsonIndent = 1;
/// Relative; of sums of some thousand doubles.
constexpr double kRounding = 1e-9;

Poco::JSON::Object::Ptr fitToJson(const LinearFit& fit) {
  Poco::JSON::Object::Ptr object = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  object->set("slope", fit.slope);
  object->set("slope_error", fit.slopeError);
  object->set("intercept", fit.intercept);
  object->set("intercept_error", fit.interceptError);
  return object;
}

Poco::JSON::Object::Ptr seriesToJson(const Series& series) {
  Poco::JSON::Object::Ptr object = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  object->set("quantity", series.quantity);
  object->set("unit", series.unit);
  object->set("per", series.per);
  const base::Result<LinearFit> fit = fitLine(series.points);
  if (fit.has_value()) {
    object->set("fit", fitToJson(fit.value()));
  }
  Poco::JSON::Array::Ptr points = new Poco::JSON::Array;
  for (const Point& point : series.points) {
    Poco::JSON::Array::Ptr pair = new Poco::JSON::Array;
    pair->add(point.x);
    pair->add(point.y);
    points->add(pair);
  }
  object->set("points", points);
  return object;
}

/// @return an error that is only the rounding of the fit as 0.
double significant(double error, double estimate) {
  return std::abs(error) < kRounding * std::abs(estimate) ? 0 : error;
}

std::string number(double value) {
  std::ostringstream text;
  text << std::setprecision(kTableDigits) << value;
  return text.str();
}

/// Mean of the points that have the same x.
struct Level {
  double x = 0;
  double sum = 0;
  double count = 0;
};

std::vector<Level> levelsOf(const Series& series) {
  std::vector<Level> levels;
  for (const Point& point : series.points) {
    if (levels.empty() || levels.back().x != point.x) {
      levels.push_back({point.x, 0, 0});
    }
    levels.back().sum += point.y;
    ++levels.back().count;
  }
  return levels;
}

/// @return x: mean of y, for each x of the sweep.
std::string sweepOf(const Series& series) {
  std::string text;
  for (const Level& level : levelsOf(series)) {
    text += text.empty() ? "" : "; ";
    text += number(level.x) + ": " + number(level.sum / level.count);
  }
  return text;
}

}  // namespace

Measurement makeMeasurement(const std::string& experiment,
                            const std::vector<std::string>& command) {
  Measurement measurement;
  measurement.experiment = experiment;
  for (const std::string& word : command) {
    measurement.command += (measurement.command.empty() ? "" : " ") + word;
  }
  measurement.date =
      Poco::DateTimeFormatter::format(Poco::Timestamp(), Poco::DateTimeFormat::ISO8601_FORMAT);
  measurement.cores = std::thread::hardware_concurrency();
  double load = 0;
  if (getloadavg(&load, 1) == 1) {
    measurement.loadAverage = load;
  }
  return measurement;
}

std::string toJson(const Measurement& measurement) {
  Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("experiment", measurement.experiment);
  object.set("command", measurement.command);
  object.set("date", measurement.date);
  object.set("cores", measurement.cores);
  object.set("load_average", measurement.loadAverage);
  Poco::JSON::Array::Ptr all = new Poco::JSON::Array;
  for (const Series& series : measurement.series) {
    all->add(seriesToJson(series));
  }
  object.set("series", all);
  std::ostringstream text;
  object.stringify(text, kJsonIndent);
  text << "\n";
  return text.str();
}

std::string toTable(const Measurement& measurement) {
  std::ostringstream table;
  table << "### " << measurement.experiment << "\n\n`" << measurement.command << "`, "
        << measurement.date << ", " << measurement.cores << " cores, load "
        << number(measurement.loadAverage) << "\n\n"
        << "| quantity | unit | per | measured | slope | its error | at zero | its error |\n"
        << "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const Series& series : measurement.series) {
    const base::Result<LinearFit> fit = fitLine(series.points);
    table << "| " << series.quantity << " | " << series.unit << " | " << series.per << " | "
          << sweepOf(series) << " | ";
    if (fit.has_value()) {
      table << number(fit.value().slope) << " | "
            << number(significant(fit.value().slopeError, fit.value().slope)) << " | "
            << number(fit.value().intercept) << " | "
            << number(significant(fit.value().interceptError, fit.value().intercept)) << " |\n";
      continue;
    }
    table << "- | - | - | - |\n";
  }
  return table.str();
}

}  // namespace walnut::scale
