#pragma once
/// @file
/// Interface through which a single-threaded part of a process records metrics, independent of how
/// they are published.

#include <string>

#include "walnut/base/time.h"

namespace walnut::runtime {

class MetricsSink {
 public:
  virtual ~MetricsSink() = default;
  /// @param outcome value of the counter's last label.
  virtual void count(const char* name, const std::string& outcome) = 0;
  virtual void observe(const char* name, base::Duration duration) = 0;
};

/// Metrics sink that discards all values; for tests.
class NullMetricsSink : public MetricsSink {
 public:
  void count(const char* /*name*/, const std::string& /*outcome*/) override {}
  void observe(const char* /*name*/, base::Duration /*duration*/) override {}
};

}  // namespace walnut::runtime
