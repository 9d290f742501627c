#include "rehearsal/kit_metrics.h"

#include "runtime/metrics.h"

namespace walnut::rehearsal {

namespace {

constexpr const char* kCounterSuffix = "_total";

}  // namespace

std::string kitMetricsText(const std::vector<KitMetric>& metrics) {
  runtime::Metrics registry;
  for (const KitMetric& metric : metrics) {
    const auto value = static_cast<double>(metric.value);
    if (metric.name.ends_with(kCounterSuffix)) {
      registry.counter(metric.name, "").Increment(value);
    } else {
      registry.gauge(metric.name, "").Set(value);
    }
  }
  return registry.text();
}

}  // namespace walnut::rehearsal
