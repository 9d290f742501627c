#include "control/load_budget.h"

#include <algorithm>

namespace walnut::control {

namespace {
/// Lower bound for the rate, so that a rate near zero gives a bounded wait.
constexpr double kMinLoadsPerSecond = 1e-3;
constexpr double kMicrosPerSecond = 1e6;
}  // namespace

base::TimePoint LoadRate::nextAt(const std::string& pool) const {
  const auto found = nextAt_.find(pool);
  return found == nextAt_.end() ? base::TimePoint{} : found->second;
}

void LoadRate::begin(base::TimePoint now, const std::string& pool,
                     const resource::EnginePoolSpec& spec) {
  const double rate = std::max(spec.loadsPerSecond, kMinLoadsPerSecond);
  nextAt_[pool] = now + base::Duration(static_cast<std::int64_t>(kMicrosPerSecond / rate));
}

}  // namespace walnut::control
