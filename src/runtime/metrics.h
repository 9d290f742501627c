#pragma once
/// @file
/// Metrics of one process, in the Prometheus text format (prometheus-cpp core).

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <vector>

namespace walnut::runtime {

/// Registry of a process's metrics; thread-safe. Repeated calls with the same name and labels
/// return the same metric; references stay valid for the lifetime of the registry. A histogram
/// keeps the bounds of the first call.
class Metrics {
 public:
  using Labels = std::map<std::string, std::string>;

  /// @return a counter, which only grows; by convention its name ends in `_total`.
  prometheus::Counter& counter(const std::string& name, const std::string& help,
                               const Labels& labels = {});
  prometheus::Gauge& gauge(const std::string& name, const std::string& help,
                           const Labels& labels = {});
  /// @param bounds ascending upper bounds of the buckets; the last, infinite one is implied.
  prometheus::Histogram& histogram(const std::string& name, const std::string& help,
                                   const std::vector<double>& bounds, const Labels& labels = {});

  /// @return all metrics in the text exposition format.
  std::string text() const;

 private:
  prometheus::Registry registry_;
};

}  // namespace walnut::runtime
