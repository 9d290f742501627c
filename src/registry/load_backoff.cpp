#include "registry/load_backoff.h"

#include <algorithm>

namespace walnut::registry {

namespace {

/// Bound on the doublings of the pause; it is far beyond what reaches the longest pause.
constexpr std::uint32_t kMostDoublings = 8;

}  // namespace

base::Duration LoadBackoff::workerEnded(const std::string& model, base::TimePoint orderedAt,
                                        base::TimePoint now) {
  Entry& entry = entries_[model];
  const bool another = entry.endsInRow == 0 || orderedAt >= entry.lastEndAt;
  entry.lastEndAt = now;
  entry.endsInRow += another ? 1 : 0;
  if (!another || entry.endsInRow < 2) {
    return base::Duration::zero();
  }
  const std::uint32_t doublings = std::min(entry.endsInRow - 2, kMostDoublings);
  const base::Duration pause =
      std::min<base::Duration>(kLongestPause, kFirstPause * (1U << doublings));
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
