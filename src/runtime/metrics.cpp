#include "runtime/metrics.h"

#include <prometheus/text_serializer.h>

namespace walnut::runtime {

prometheus::Counter& Metrics::counter(const std::string& name, const std::string& help,
                                      const Labels& labels) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry_).Add(labels);
}

prometheus::Gauge& Metrics::gauge(const std::string& name, const std::string& help,
                                  const Labels& labels) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add(labels);
}

prometheus::Histogram& Metrics::histogram(const std::string& name, const std::string& help,
                                          const std::vector<double>& bounds, const Labels& labels) {
  auto& family = prometheus::BuildHistogram().Name(name).Help(help).Register(registry_);
  return family.Add(labels, bounds);
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace walnut::runtime
