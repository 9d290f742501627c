#include "registry/load_backoff.h"

#include <algorithm>

namespace walnut::registry {

namespace {

/// Bound on the doublings of the pause; it is far beyond what reaches the longest pause.
constexpr std::uint32_t kMaxDoublings = 8;

}  // namespace

base::Duration LoadBackoff::recordWorkerEnd(const std::string& model, base::TimePoint orderedAt,
                                            base::TimePoint now) {
  Entry& entry = entries_[model];
  const bool isFurtherEnd = entry.consecutiveEnds == 0 || orderedAt >= entry.lastEndAt;
  entry.lastEndAt = now;
  entry.consecutiveEnds += isFurtherEnd ? 1 : 0;
  if (!isFurtherEnd || entry.consecutiveEnds < 2) {
    return base::Duration::zero();
  }
  const std::uint32_t doublings = std::min(entry.consecutiveEnds - 2, kMaxDoublings);
  const base::Duration pause = std::min<base::Duration>(kMaxPause, kFirstPause * (1U << doublings));
  entry.until = now + pause;
  return pause;
}

std::set<std::string> LoadBackoff::postponed(base::TimePoint now) const {
  std::set<std::string> models;
  for (const auto& [model, entry] : entries_) {
    if (now < entry.until) {
      models.insert(model);
    }
  }
  return models;
}

}  // namespace walnut::registry
