#pragma once
/// @file
/// What a single-threaded part of a process counts, apart from how it is published.

#include <string>

#include "walnut/base/time.h"

namespace walnut::runtime {

class MetricsSink {
 public:
  virtual ~MetricsSink() = default;
  /// @param outcome the last value of the counter's label.
  virtual void count(const char* name, const std::string& outcome) = 0;
  virtual void observe(const char* name, base::Duration duration) = 0;
};

/// Counts nothing; for tests.
class NullMetricsSink : public MetricsSink {
 public:
  void count(const char* /*name*/, const std::string& /*outcome*/) override {}
  void observe(const char* /*name*/, base::Duration /*duration*/) override {}
};

}  // namespace walnut::runtime
