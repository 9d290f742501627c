#pragma once
/// @file
/// Last use of targets and their replicas, as far as the leader has seen it.

#include <map>

#include "control/demand_table.h"
#include "control/idle_gap_histogram.h"
#include "walnut/base/time.h"
#include "walnut/resource/types.h"

namespace walnut::control {

/// Tracks when each target was last used and how long targets stay idle.
/// The idle gaps take at most about 0.5 KB for each target. They are not replicated, since the log
/// would otherwise carry an entry for each use: a new leader starts with none, holds replicas for
/// as long as a cold start is worth, and learns the usual gaps of the cell within hours and those
/// of a model after a few uses.
/// The tracker starts with a leadership. Whatever was used before counts as used at its start, so
/// that a new leader unloads nothing early.
class UsageTracker {
 public:
  explicit UsageTracker(base::TimePoint since) : startedAt_(since) {}

  /// Records that the target had demand or that one of its replicas ran requests. Use of an adapter
  /// is also use of its model.
  void recordUse(base::TimePoint at, const DemandTarget& target);
  /// Records that all present replicas of the servable were needed.
  void recordFullUse(base::TimePoint at, const resource::Servable& servable);

  /// @return the idle gaps of the target, or null if it was not used twice.
  const IdleGapHistogram* gapsOf(const DemandTarget& target) const;
  const IdleGapHistogram& allGaps() const { return allGaps_; }
  /// Removes the gaps of a deleted model or adapter, so that memory use follows the declared
  /// resources.
  void forgetGaps(const resource::Key& key);

  base::TimePoint lastUse(const DemandTarget& target) const;
  base::TimePoint lastFullUse(const resource::Servable& servable) const;

 private:
  void recordGap(const DemandTarget& target, base::Duration gap);

  /// Weight limit for the gaps of all targets together; high enough that some hundred rarely used
  /// targets count.
  static constexpr double kAllGapsWeightLimit = 4096;

  base::TimePoint startedAt_;
  std::map<DemandTarget, IdleGapHistogram> gaps_;
  IdleGapHistogram allGaps_{kAllGapsWeightLimit};
  std::map<DemandTarget, base::TimePoint> lastUse_;
  std::map<resource::Servable, base::TimePoint> lastFullUse_;
};

}  // namespace walnut::control
