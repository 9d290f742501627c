#include "registry/load_concurrency.h"

#include <algorithm>
#include <utility>

namespace walnut::registry {

namespace {

/// Up to this multiple of its declared time a load counts as in time: workers differ a little.
constexpr double kOnTime = 1.15;
/// Loads at once that are tried, for each that the store was seen to take.
constexpr double kTriedBeyondShown = 2.0;
/// Of what the store was seen to take, with each load that contradicts it: ten of them halve it
/// twice over, which a store that has become slow brings about in the time of a load.
constexpr double kShownKept = 0.87;
/// Growth for each load in time, once the store's number was met, divided by the limit: a load more
/// at once after four rounds, as each try makes loads late.
constexpr double kSlowGrowth = 0.25;

/// Growth for each load in time while one is allowed: the step to two costs every load if it is
/// wrong, and is taken after two that were in time.
constexpr double kCautiousGrowth = 0.5;

}  // namespace

void LoadConcurrency::setCautious(bool cautious) {
  if (std::exchange(cautious_, cautious) != cautious && !observed_) {
    limit_ = cautious ? kCautiousLimit : kInitialLimit;
  }
}

void LoadConcurrency::observe(std::uint64_t load, std::size_t underWayAtStart, double lateness,
                              bool limitReached) {
  observed_ = true;
  if (lateness <= kOnTime) {
    lastLate_.reset();
    shown_ = std::max(shown_, static_cast<double>(underWayAtStart));
    if (limitReached) {
      grow(underWayAtStart);
    }
  } else {
    late(load, underWayAtStart, lateness);
  }
}

/// A load that was in time shows that the store takes as many as were under way then: no more than
/// a multiple of those is tried.
void LoadConcurrency::grow(std::size_t underWayAtStart) {
  const double tried = kTriedBeyondShown * static_cast<double>(underWayAtStart);
  if (limit_ < tried) {
    const double probed = limit_ < 2 * kCautiousLimit ? kCautiousGrowth : 1.0;
    limit_ = std::min(tried, limit_ + (probing_ ? probed : kSlowGrowth / limit_));
  }
}

/// Two late loads in a row count, and the more favourable of them: a single one may be a late
/// heartbeat. One that began with no more beside it than the store takes in time is late for
/// another reason, unless that goes on.
void LoadConcurrency::late(std::uint64_t load, std::size_t underWayAtStart, double lateness) {
  const auto underWay = static_cast<double>(underWayAtStart);
  if (underWay <= shown_) {
    shown_ *= kShownKept;
    return;
  }
  const std::optional<LateLoad> former = lastLate_;
  lastLate_ = {load, underWay / lateness};
  if (former && former->load != load) {
    probing_ = false;
    limit_ = std::clamp(std::max(former->estimate, lastLate_->estimate), least(), limit_);
  }
}

}  // namespace walnut::registry
