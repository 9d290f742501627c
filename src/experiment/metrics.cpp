#include "experiment/metrics.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace walnut::experiment {

double ClassFigures::coldQuantile(double quantile) const {
  if (coldSeconds.empty()) {
    return 0;
  }
  std::vector<double> sorted = coldSeconds;
  std::sort(sorted.begin(), sorted.end());
  const double rank = std::ceil(quantile * static_cast<double>(sorted.size()));
  const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return sorted[std::min(index, sorted.size() - 1)];
}

double ClassFigures::startQuantile(double quantile) const {
  const double warm = static_cast<double>(requests) - static_cast<double>(coldSeconds.size());
  const double rank = std::ceil(quantile * static_cast<double>(requests)) - warm;
  if (rank < 1 || coldSeconds.empty()) {
    return 0;
  }
  return coldQuantile(rank / static_cast<double>(coldSeconds.size()));
}

double ClassFigures::coldTotal() const {
  return std::accumulate(coldSeconds.begin(), coldSeconds.end(), 0.0);
}

void IdleMeter::advance(base::TimePoint now) {
  seconds_ += sum_ * std::chrono::duration<double>(now - countedTo_).count();
  countedTo_ = now;
}

void IdleMeter::set(base::TimePoint now, base::ReplicaId replica, double share) {
  const auto found = shares_.find(replica);
  const double former = found == shares_.end() ? 0 : found->second;
  if (former == share) {
    return;
  }
  advance(now);
  if (share == 0) {
    shares_.erase(found);
  } else {
    shares_[replica] = share;
  }
  // Added up anew, so that no rounding error stays.
  sum_ = 0;
  for (const auto& [id, idle] : shares_) {
    sum_ += idle;
  }
}

void IdleMeter::restart(base::TimePoint now) {
  advance(now);
  seconds_ = 0;
}

double IdleMeter::hours(base::TimePoint now) {
  constexpr double kSecondsPerHour = 3600;
  advance(now);
  return seconds_ / kSecondsPerHour;
}

}  // namespace walnut::experiment
