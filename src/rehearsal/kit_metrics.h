#pragma once
/// @file
/// Metrics of the stand-ins, in the Prometheus text format.

#include <cstdint>
#include <string>
#include <vector>

namespace walnut::rehearsal {

/// One sample; a name that ends in `_total` is a counter, any other a gauge.
struct KitMetric {
  std::string name;
  std::uint64_t value = 0;
};

std::string kitMetricsText(const std::vector<KitMetric>& metrics);

}  // namespace walnut::rehearsal
