#pragma once
/// @file
/// Current keep-alive plans of all models and adapters.

#include <map>
#include <memory>
#include <string>

#include "control/keep_alive_policy.h"
#include "control/load_time_estimate.h"
#include "control/placement_input.h"

namespace walnut::control {

/// Size and checkpoint of the weights of a model or adapter.
struct WeightsInfo {
  std::string checkpoint;
  std::uint64_t checkpointBytes = 0;
  std::uint64_t acceleratorBytes = 0;
};

/// Caches the keep-alive plans of the models and adapters in use. The leader owns it for one term.
/// A plan applies to one idle period and is recomputed after a while, because weights move between
/// cache tiers and settings change. The table is bounded: one entry for each model and adapter in
/// use.
class KeepAliveTable {
 public:
  /// @return the current plan for the target.
  const HoldPlan& planOf(const PlacementInput& input, const UsageTracker& usage,
                         const DemandTarget& target, const resource::ModelSpec& model);
  /// Records the duration of a finished load.
  void observeLoad(LoadSource source, std::uint64_t bytes, base::Duration duration) {
    loadTimes_.observe(source, bytes, duration);
  }

 private:
  struct Entry {
    HoldPlan plan;
    base::TimePoint lastUse;
    base::TimePoint computedAt;
    resource::Version budgetVersion = 0;
  };

  HoldPlan computePlan(const PlacementInput& input, const UsageTracker& usage,
                       const DemandTarget& target, const resource::ModelSpec& model) const;
  base::Duration coldStartOf(const PlacementInput& input, const WeightsInfo& weights,
                             const resource::ModelSpec& model) const;

  std::map<DemandTarget, Entry> entries_;
  LoadTimeEstimate loadTimes_;
};

}  // namespace walnut::control
