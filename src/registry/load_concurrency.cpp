#include "registry/load_concurrency.h"

#include <algorithm>
#include <utility>

namespace walnut::registry {

namespace {

/// A load up to this multiple of its declared time counts as in time: workers differ a little.
constexpr double kInTimeFactor = 1.15;
/// Concurrent loads that are attempted, as a multiple of those that the store was seen to serve in
/// time.
constexpr double kProbeFactor = 2.0;
/// Factor by which each late load that contradicts the number served in time reduces that number.
/// Ten of them divide it by four, and a store that has become slow produces as many within the
/// duration of a load.
constexpr double kServedInTimeDecay = 0.87;
/// Growth of the limit for each load in time once the store's capacity was reached, divided by the
/// limit: one more concurrent load after four rounds, because each attempt makes loads late.
constexpr double kSlowGrowth = 0.25;

/// Growth for each load in time while the limit is one, or where replicas are slow to add. A wrong
/// step wastes every load, so it is taken only after two loads in time.
constexpr double kCautiousGrowth = 0.5;

}  // namespace

void LoadConcurrency::setCautious(bool cautious) {
  if (std::exchange(cautious_, cautious) != cautious) {
    resetUnlessObserved();
  }
}

void LoadConcurrency::setSlowLoads(bool slowLoads) {
  if (std::exchange(slowLoads_, slowLoads) != slowLoads) {
    resetUnlessObserved();
  }
}

void LoadConcurrency::resetUnlessObserved() {
  if (!observed_) {
    limit_ = initialLimit();
  }
}

double LoadConcurrency::initialLimit() const {
  if (cautious_) {
    return kCautiousLimit;
  }
  return slowLoads_ ? kSlowLoadsLimit : kInitialLimit;
}

double LoadConcurrency::probeStep() const {
  return slowLoads_ || limit_ < 2 * kCautiousLimit ? kCautiousGrowth : 1.0;
}

void LoadConcurrency::observe(std::uint64_t load, std::size_t inProgressAtStart, double lateness,
                              bool limitReached) {
  observed_ = true;
  if (lateness <= kInTimeFactor) {
    lastLate_.reset();
    servedInTime_ = std::max(servedInTime_, static_cast<double>(inProgressAtStart));
    if (limitReached) {
      grow(inProgressAtStart);
    }
  } else {
    handleLateLoad(load, inProgressAtStart, lateness);
  }
}

/// A load in time shows that the store can serve the loads that were in progress at its start. The
/// limit grows to at most kProbeFactor times that number.
void LoadConcurrency::grow(std::size_t inProgressAtStart) {
  const double probeLimit = kProbeFactor * static_cast<double>(inProgressAtStart);
  if (limit_ < probeLimit) {
    limit_ = std::min(probeLimit, limit_ + (probing_ ? probeStep() : kSlowGrowth / limit_));
  }
}

/// Lowers the limit after two late loads in a row, to the higher of their estimates, since a single
/// one may be due to a late heartbeat. A load that started with no more in progress than the store
/// serves in time is late for another reason, unless this happens repeatedly.
void LoadConcurrency::handleLateLoad(std::uint64_t load, std::size_t inProgressAtStart,
                                     double lateness) {
  const auto loadsInProgress = static_cast<double>(inProgressAtStart);
  if (loadsInProgress <= servedInTime_) {
    servedInTime_ *= kServedInTimeDecay;
    return;
  }
  const std::optional<LateLoad> previousLate = lastLate_;
  lastLate_ = {load, loadsInProgress / lateness};
  if (previousLate && previousLate->load != load) {
    probing_ = false;
    limit_ = std::clamp(std::max(previousLate->estimate, lastLate_->estimate), minLimit(), limit_);
  }
}

}  // namespace walnut::registry
