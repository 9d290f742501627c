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
  window_ = window;
  burst_ = burstOf(perSecond, window);
  refill(now);
  refreshStarts(now);
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
  // Without a limit a load counts for one window.
  const double perSecond = perSecond_ > 0 ? perSecond_ : burst_ / seconds(window_.length);
  tokens_ = std::min(burst_, tokens_ + perSecond * seconds(now - *refilledAt_));
  refilledAt_ = now;
}

void StoreRate::refreshStarts(base::TimePoint now) {
  std::erase_if(starts_, [this, now](const Start& start) {
    return !start.isUnanswered && start.latest + window_.length < now;
  });
  for (Start& start : starts_) {
    start.latest = start.isUnanswered ? now : start.latest;
  }
  std::stable_sort(starts_.begin(), starts_.end(), [](const Start& left, const Start& right) {
    return left.latest < right.latest;
  });
  double room = burst_ - tokens_;
  for (auto start = starts_.rbegin(); start != starts_.rend(); ++start) {
    start->returnableToken = std::min(start->returnableToken, room);
    room -= start->returnableToken;
  }
}

base::Duration StoreRate::wait(std::size_t before) const {
  return perSecond_ <= 0 ? base::Duration::zero()
                         : std::max(bucketWait(before), windowWait(before));
}

base::Duration StoreRate::bucketWait(std::size_t before) const {
  const double kept = std::min(burst_ - 1.0, static_cast<double>(unclearOrders_.size()));
  const double missing = 1.0 + kept + static_cast<double>(before) - tokens_;
  if (missing <= 0) {
    return base::Duration::zero();
  }
  const std::chrono::duration<double> wait(missing / perSecond_);
  return std::max(base::Duration(1), std::chrono::duration_cast<base::Duration>(wait));
}

/// Each load waits for the start of the one that precedes it by as many as the window may contain.
base::Duration StoreRate::windowWait(std::size_t before) const {
  const auto most = static_cast<std::size_t>(maxStartsInWindow(perSecond_, window_));
  const base::Duration fullWindows =
      static_cast<std::int64_t>(before / most) * (window_.length + base::Duration(1));
  const std::size_t counted = starts_.size() + before % most + 1;
  if (counted <= most) {
    return fullWindows;
  }
  const Start& last = starts_[counted - most - 1];
  return fullWindows + (last.latest + window_.length + base::Duration(1) - *refilledAt_);
}

/// Loads that start without a limit owe nothing to a limit that is set later.
double StoreRate::takeToken() {
  const double taken = perSecond_ > 0 ? 1.0 : 0.0;
  tokens_ -= taken;
  return taken;
}

void StoreRate::recordStart() {
  takeToken();
  insert({0, refilledAt_.value_or(base::TimePoint()), false, 0});
}

void StoreRate::recordOrdered(std::uint64_t load) {
  const double taken = takeToken();
  insert({load, refilledAt_.value_or(base::TimePoint()), true, taken});
}

void StoreRate::insert(const Start& start) {
  const auto isBefore = [](base::TimePoint latest, const Start& other) {
    return latest < other.latest;
  };
  starts_.insert(std::upper_bound(starts_.begin(), starts_.end(), start.latest, isBefore), start);
}

StoreRate::Start* StoreRate::findUnanswered(std::uint64_t load) {
  const auto found = std::find_if(starts_.begin(), starts_.end(), [load](const Start& start) {
    return start.isUnanswered && start.load == load;
  });
  return found == starts_.end() ? nullptr : &*found;
}

void StoreRate::recordAccepted(std::uint64_t load, base::TimePoint now) {
  if (Start* const start = findUnanswered(load)) {
    *start = {load, now, false, 0};
  }
}

void StoreRate::recordRefused(std::uint64_t load) {
  if (const Start* const start = findUnanswered(load)) {
    tokens_ += start->returnableToken;
    starts_.erase(starts_.begin() + (start - starts_.data()));
  }
}

void StoreRate::recordUnclear(std::uint64_t load, base::TimePoint now) {
  if (Start* const start = findUnanswered(load)) {
    *start = {load, now + kUnclearOrderLifetime, false, 0};
    recordUnclear(now);
  }
}

}  // namespace walnut::registry
