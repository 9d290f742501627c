#include "runtime/prometheus_sink.h"

namespace walnut::runtime {

namespace {

const std::vector<double>& latencyBounds() {
  static const std::vector<double> kBounds = {0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                              0.5,   1.0,  2.5,   5.0,  10.0};
  return kBounds;
}

}  // namespace

void PrometheusSink::count(const char* name, const std::string& outcome) {
  metrics_.counter(name, "By outcome", {{"outcome", outcome}}).Increment();
}

void PrometheusSink::observe(const char* name, base::Duration duration) {
  metrics_.histogram(name, "In seconds", latencyBounds())
      .Observe(std::chrono::duration<double>(duration).count());
}

void PrometheusSink::set(const char* name, double value) {
  metrics_.gauge(name, "Present value").Set(value);
}

}  // namespace walnut::runtime
