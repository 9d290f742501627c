#include "control/keep_alive_policy.h"

#include <algorithm>
#include <array>
#include <limits>
#include <vector>

namespace walnut::control {

namespace {

/// Number of gaps that the distribution of all models counts as.
constexpr double kPriorGaps = 2;
/// Loading ahead must save at least this many times its cost, because it uses bandwidth of the
/// store and the distribution is only an estimate.
constexpr double kPreloadMargin = 1.25;

base::Duration toDuration(double seconds) {
  return base::Duration(static_cast<std::int64_t>(seconds * 1e6));
}

/// Combines the model's own gaps with the prior. The weights add up to 1; empty if no gaps of any
/// model were seen.
std::vector<GapBar> distributionOf(const KeepAliveSubject& subject) {
  std::vector<GapBar> bars = subject.allGaps.bars();
  const double prior = subject.allGaps.total();
  const double own = subject.ownGaps == nullptr ? 0 : subject.ownGaps->total();
  const double weight = own + (prior > 0 ? kPriorGaps : 0);
  if (weight <= 0) {
    return {};
  }
  const std::vector<GapBar> ownBars =
      subject.ownGaps == nullptr ? std::vector<GapBar>{} : subject.ownGaps->bars();
  for (std::size_t index = 0; index < bars.size(); ++index) {
    const double ofAll = prior > 0 ? bars[index].weight / prior * kPriorGaps : 0;
    const double ofOwn = ownBars.empty() ? 0 : ownBars[index].weight;
    bars[index].weight = (ofAll + ofOwn) / weight;
  }
  return bars;
}

/// Computes the expected cost of each possible hold time and preload period; both end at bounds of
/// histogram bars.
class CostTable {
 public:
  CostTable(const std::vector<GapBar>& bars, double share, double coldCost)
      : bars_(bars), share_(share), coldCost_(coldCost) {}

  struct Preload {
    double saved = 0;
    std::size_t from = 0;  ///< Index of the first bar.
    /// Index after the last bar; equal to `from` if there is no preload period.
    std::size_t to = 0;
  };

  HoldPlan cheapest() const {
    const std::vector<Preload> preloads = bestPreloads();
    double bestCost = std::numeric_limits<double>::infinity();
    HoldPlan best;
    double endedIdleCost = 0;  // Idle cost of gaps that end within the hold time.
    double remaining = 1;      // Probability of longer gaps.
    for (std::size_t index = 0; index <= bars_.size(); ++index) {
      const double hold = index == 0 ? 0 : bars_[index - 1].to;
      const Preload& preload = preloads[index];
      const double cost =
          endedIdleCost + remaining * (share_ * hold + coldCost_) - preload.saved / kPreloadMargin;
      if (cost < bestCost) {
        bestCost = cost;
        best = planOf(hold, preload);
      }
      if (index < bars_.size()) {
        endedIdleCost += share_ * bars_[index].weight * bars_[index].middle();
        remaining = std::max(0.0, remaining - bars_[index].weight);
      }
    }
    return best;
  }

 private:
  HoldPlan planOf(double hold, const Preload& preload) const {
    HoldPlan plan;
    plan.hold = toDuration(hold);
    if (preload.to > preload.from) {
      plan.preloadFrom = toDuration(bars_[preload.from].from);
      plan.preloadUntil = toDuration(bars_[preload.to - 1].to);
    }
    return plan;
  }

  /// @return for each end of a bar, the best preload period that begins at least one bar later.
  std::vector<Preload> bestPreloads() const {
    std::vector<Preload> best(bars_.size() + 1);
    // Probability of a gap in this bar or a later one.
    std::vector<double> tailProbability(bars_.size() + 1, 0);
    for (std::size_t index = bars_.size(); index-- > 0;) {
      tailProbability[index] = tailProbability[index + 1] + bars_[index].weight;
    }
    for (std::size_t from = bars_.size(); from-- > 1;) {
      best[from - 1] = best[from];
      const Preload preload = bestPreloadFrom(from, tailProbability);
      if (preload.saved > best[from - 1].saved) {
        best[from - 1] = preload;
      }
    }
    return best;
  }

  Preload bestPreloadFrom(std::size_t from, const std::vector<double>& tailProbability) const {
    Preload best{0, from, from};
    const double begin = bars_[from].from;
    double saved = 0;
    for (std::size_t to = from; to < bars_.size(); ++to) {
      const GapBar& bar = bars_[to];
      saved += bar.weight * (coldCost_ - share_ * (bar.middle() - begin));
      const double wastedHoldCost = tailProbability[to + 1] * share_ * (bar.to - begin);
      if (saved - wastedHoldCost > best.saved) {
        best = {saved - wastedHoldCost, from, to + 1};
      }
    }
    return best;
  }

  const std::vector<GapBar>& bars_;
  double share_;
  double coldCost_;
};

}  // namespace

double LearnedKeepAlive::costOf(base::Duration coldStart) const {
  const double seconds = std::chrono::duration<double>(coldStart).count();
  const double target = costModel_.coldStartTargetSeconds;
  const double emphasis = target > 0 ? std::max(1.0, seconds / target) : 1.0;
  return costModel_.idleSecondsPerColdSecond * seconds * emphasis;
}

HoldPlan LearnedKeepAlive::plan(const KeepAliveSubject& subject) const {
  const double coldCost = costOf(subject.coldStart);
  const std::vector<GapBar> bars = distributionOf(subject);
  if (bars.empty()) {
    // No gaps are known: holding for as long as a cold start is worth costs at most twice as much
    // as the best choice (the ski-rental bound).
    return {toDuration(coldCost / std::max(subject.acceleratorShare, 1e-3)), {}, {}};
  }
  HoldPlan plan = CostTable(bars, subject.acceleratorShare, coldCost).cheapest();
  if (plan.preloadUntil > plan.preloadFrom) {
    // The load starts early enough to be ready when the next use is expected.
    plan.preloadFrom = std::max(*plan.hold, plan.preloadFrom - subject.coldStart);
  }
  return plan;
}

std::optional<base::Duration> idleHold(const resource::CapacityBudgetSpec& budget) {
  constexpr std::uint32_t kMaxColdStartWeight = 100;
  if (budget.coldStartWeight >= kMaxColdStartWeight) {
    return std::nullopt;
  }
  const std::int64_t micros =
      base::Duration(std::chrono::seconds(budget.idleUnloadSeconds)).count();
  return base::Duration(micros * kMaxColdStartWeight /
                        (kMaxColdStartWeight - budget.coldStartWeight));
}

std::unique_ptr<KeepAlivePolicy> makeKeepAlivePolicy(const resource::CapacityBudgetSpec& budget) {
  switch (budget.keepAlive) {
    case resource::KeepAlive::learned:
      return std::make_unique<LearnedKeepAlive>(
          LearnedKeepAlive::CostModel{static_cast<double>(budget.idleSecondsPerColdSecond),
                                      static_cast<double>(budget.coldStartTargetSeconds)});
    case resource::KeepAlive::resident:
      return std::make_unique<AlwaysResident>();
    case resource::KeepAlive::idleTimeout:
      break;
  }
  return std::make_unique<FixedIdleTimeout>(idleHold(budget));
}

}  // namespace walnut::control
