#include "registry/store_rate.h"

#include <algorithm>
#include <cmath>

namespace walnut::registry {

namespace {

/// Variation of the delay between the order of a load and its start.
constexpr base::Duration kOrderJitter = std::chrono::milliseconds(50);
/// Loads that a window may contain beyond the rate and its overshoot.
constexpr double kLoadsBeyondOvershoot = 3.0;
/// Least burst, so that a high rate without overshoot is used although plans come at intervals.
constexpr double kMinBurst = 2.0;
/// Tokens at the end of previous leaders' loads, which may have used up the burst.
constexpr double kTokensAfterPreviousLeaders = 1.0;
/// An order with an unclear outcome is carried out within this time or never.
constexpr base::Duration kUnclearOrderLifetime = std::chrono::seconds(12);

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// @return the most loads that may start in one window, a whole number. A product that is rounded
/// to just below a whole number costs one load; none is ever gained.
double maxStartsInWindow(double perSecond, const StoreWindow& window) {
  return std::floor(perSecond * seconds(window.length) * window.overshoot + kLoadsBeyondOvershoot);
}

/// Within one window the loads of a leader are at most this burst and what the rate adds, and those
/// of its successor begin with `kTokensAfterPreviousLeaders`. Together they are less than one load
/// above the allowed number, since time passes between the last load of the one and the first of
/// the other.
double burstOf(double perSecond, const StoreWindow& window) {
  const double refilled = perSecond * seconds(window.length + kOrderJitter);
  return std::max(kMinBurst, maxStartsInWindow(perSecond, window) - refilled);
}

}  // namespace

double StoreRate::maxStarts(double perSecond, const StoreWindow& window, base::Duration duration) {
  return burstOf(perSecond, window) + perSecond * seconds(duration);
}

void StoreRate::setLimit(double perSecond, const StoreWindow& window, base::TimePoint now) {
  perSecond_ = perSecond;
  burst_ = burstOf(perSecond, window);
  refill(now);
  while (!unclearOrders_.empty() && unclearOrders_.front() + kUnclearOrderLifetime <= now) {
    unclearOrders_.pop_front();
  }
}

void StoreRate::initialize(base::TimePoint now) {
  tokens_ = previousLoads_.endedAt ? kTokensAfterPreviousLeaders : burst_;
  refilledAt_ = previousLoads_.endedAt ? std::min(*previousLoads_.endedAt, now) : now;
}

void StoreRate::refill(base::TimePoint now) {
  if (!refilledAt_) {
    initialize(now);
  }
  tokens_ = std::min(burst_, tokens_ + perSecond_ * seconds(now - *refilledAt_));
  refilledAt_ = now;
}

base::Duration StoreRate::wait(std::size_t before) const {
  const double kept = std::min(burst_ - 1.0, static_cast<double>(unclearOrders_.size()));
  const double missing = 1.0 + kept + static_cast<double>(before) - tokens_;
  if (perSecond_ <= 0 || missing <= 0) {
    return base::Duration::zero();
  }
  const std::chrono::duration<double> wait(missing / perSecond_);
  return std::max(base::Duration(1), std::chrono::duration_cast<base::Duration>(wait));
}

void StoreRate::recordStart() { tokens_ -= 1.0; }

}  // namespace walnut::registry
