#include "control/usage_tracker.h"

#include <algorithm>

namespace walnut::control {

void UsageTracker::recordUse(base::TimePoint at, const DemandTarget& target) {
  const auto [entry, first] = lastUse_.try_emplace(target, startedAt_);
  base::TimePoint& last = entry->second;
  if (!first && at > last) {
    recordGap(target, at - last);
  }
  last = std::max(last, at);
  if (!target.adapter.empty()) {
    recordUse(at, {target.model, ""});
  }
}

void UsageTracker::recordGap(const DemandTarget& target, base::Duration gap) {
  if (std::chrono::duration<double>(gap).count() < IdleGapHistogram::kShortestSeconds) {
    return;
  }
  gaps_[target].record(gap);
  allGaps_.record(gap);
}

const IdleGapHistogram* UsageTracker::gapsOf(const DemandTarget& target) const {
  const auto found = gaps_.find(target);
  return found == gaps_.end() ? nullptr : &found->second;
}

void UsageTracker::forgetGaps(const resource::Key& key) {
  std::erase_if(gaps_, [&](const auto& entry) {
    const DemandTarget& target = entry.first;
    return (key.kind == resource::Kind::model && target.model == key.name) ||
           (key.kind == resource::Kind::adapter && target.adapter == key.name);
  });
}

void UsageTracker::recordFullUse(base::TimePoint at, const resource::Servable& servable) {
  base::TimePoint& last = lastFullUse_.try_emplace(servable, startedAt_).first->second;
  last = std::max(last, at);
}

base::TimePoint UsageTracker::lastUse(const DemandTarget& target) const {
  const auto found = lastUse_.find(target);
  return found == lastUse_.end() ? startedAt_ : found->second;
}

base::TimePoint UsageTracker::lastFullUse(const resource::Servable& servable) const {
  const auto found = lastFullUse_.find(servable);
  return found == lastFullUse_.end() ? startedAt_ : found->second;
}

}  // namespace walnut::control
