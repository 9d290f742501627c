#pragma once
/// @file
/// Keep-alive policies: how long an idle replica is held, and when a model is loaded ahead of its
/// next use. A policy performs no I/O; its plan follows from the budget's settings, the observed
/// idle gaps and the cost of a cold start.

#include <memory>
#include <optional>

#include "control/idle_gap_histogram.h"
#include "walnut/base/time.h"
#include "walnut/resource/types.h"

namespace walnut::control {

/// Keep-alive plan for one idle period. All times count from the last use.
struct HoldPlan {
  /// How long the replica is held; empty: until its memory is needed.
  std::optional<base::Duration> hold;
  /// Period in which the model is loaded ahead and held; empty if both times are equal.
  base::Duration preloadFrom{};
  base::Duration preloadUntil{};

  /// @return true if a replica that has been idle for `idle` is held.
  bool holdsAt(base::Duration idle) const { return !hold || idle < *hold || preloadsAt(idle); }
  /// @return true if a model that has been idle for `idle` is to be loaded ahead.
  bool preloadsAt(base::Duration idle) const { return preloadFrom <= idle && idle < preloadUntil; }
};

/// Input of a plan: the usage and cost of one model or adapter.
struct KeepAliveSubject {
  /// Idle gaps of the model or adapter itself; null if none were seen.
  const IdleGapHistogram* ownGaps = nullptr;
  const IdleGapHistogram& allGaps;  ///< Idle gaps of all models and adapters together.
  double acceleratorShare = 0;      ///< Fraction of one accelerator's memory that it uses; 0 .. 1.
  /// Expected duration of a cold start from the current location of the weights.
  base::Duration coldStart{};
};

class KeepAlivePolicy {
 public:
  virtual ~KeepAlivePolicy() = default;
  virtual HoldPlan plan(const KeepAliveSubject& subject) const = 0;
};

/// Holds every replica for the same idle time; without a time, until its memory is needed.
class FixedIdleTimeout : public KeepAlivePolicy {
 public:
  explicit FixedIdleTimeout(std::optional<base::Duration> hold) : hold_(hold) {}
  HoldPlan plan(const KeepAliveSubject&) const override { return {hold_, {}, {}}; }

 private:
  std::optional<base::Duration> hold_;
};

/// Keeps the model loaded whenever memory is free.
class AlwaysResident : public KeepAlivePolicy {
 public:
  HoldPlan plan(const KeepAliveSubject&) const override {
    return {std::nullopt, base::Duration{}, base::Duration::max()};
  }
};

/// Chooses the hold time and the preload period with the least expected cost over the distribution
/// of idle gaps. The cost is the sum of idle seconds of a whole accelerator and cold-start seconds
/// at the operator's price. The distribution is the model's own, with that of all models as a prior
/// with the weight of a few gaps, so that a new model, or a new leader, starts from the usual gaps.
class LearnedKeepAlive : public KeepAlivePolicy {
 public:
  struct CostModel {
    double idleSecondsPerColdSecond = 0;
    /// Seconds above the target count more; 0: all seconds of a cold start count the same.
    double coldStartTargetSeconds = 0;
  };
  explicit LearnedKeepAlive(const CostModel& costModel) : costModel_(costModel) {}
  HoldPlan plan(const KeepAliveSubject& subject) const override;

 private:
  /// @return the price of one cold start in idle accelerator seconds.
  double costOf(base::Duration coldStart) const;

  CostModel costModel_;
};

/// @return the policy that the budget specifies.
std::unique_ptr<KeepAlivePolicy> makeKeepAlivePolicy(const resource::CapacityBudgetSpec& budget);

/// @return how long an idle replica is held under a fixed idle time-out: idleUnloadSeconds at
/// weight 0, and longer the higher the cold-start weight; empty (weight 100): until its memory is
/// needed.
std::optional<base::Duration> idleHold(const resource::CapacityBudgetSpec& budget);

}  // namespace walnut::control
