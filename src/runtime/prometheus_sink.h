#pragma once
/// @file
/// Metrics sink that records counters and histograms in the Prometheus format.

#include "runtime/metrics.h"
#include "walnut/runtime/metrics_sink.h"

namespace walnut::runtime {

class PrometheusSink : public MetricsSink {
 public:
  void count(const char* name, const std::string& outcome) override;
  void observe(const char* name, base::Duration duration) override;
  void set(const char* name, double value);
  std::string text() const { return metrics_.text(); }

 private:
  Metrics metrics_;
};

}  // namespace walnut::runtime
