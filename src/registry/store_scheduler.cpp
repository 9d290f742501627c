#include "registry/store_scheduler.h"

#include <algorithm>

namespace walnut::registry {

namespace {

/// A load that takes less than this share of its declared time was served by a disk after all.
constexpr double kMinStoreLoadShare = 0.6;
/// A load that takes longer than this multiple of its declared time is a sign of an overloaded
/// store before it ends, and again each time its lateness grows by the same factor.
constexpr double kOverdueFactor = 1.3;

/// Longest delay between the end of a load and its notification here in normal operation: the
/// interval of the heartbeat that reports it, and a busy leader. Without this allowance short loads
/// would seem late.
constexpr base::Duration kNotificationDelay = std::chrono::milliseconds(300);

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

double StoreScheduler::Load::lateness(base::TimePoint now) const {
  const double declared = seconds(declaredTime);
  return declared <= 0 ? 0 : seconds(now - startedAt - kNotificationDelay) / declared;
}

base::TimePoint StoreScheduler::Load::expectedEnd(std::size_t limit) const {
  const double crowding = static_cast<double>(inProgressAtStart) / static_cast<double>(limit);
  return startedAt + std::chrono::duration_cast<base::Duration>(
                         std::chrono::duration<double>(declaredTime) * std::max(1.0, crowding));
}

void StoreScheduler::setLimit(double perSecond, const StoreWindow& window, base::TimePoint now) {
  rate_.setLimit(perSecond, window, now);
  observeOverdue(now);
}

/// Observes overdue loads before they end. Loads of lost workers are overdue too, so the store
/// counts as overloaded only if more than half of the loads are.
void StoreScheduler::observeOverdue(base::TimePoint now) {
  const auto overdue = [now](const auto& entry) {
    return entry.second.lateness(now) >= kOverdueFactor;
  };
  const auto count = std::count_if(loads_.begin(), loads_.end(), overdue);
  if (2 * static_cast<std::size_t>(count) <= loads_.size()) {
    return;
  }
  for (auto& [worker, load] : loads_) {
    const double lateness = load.lateness(now);
    if (lateness >= load.observedLateness * kOverdueFactor) {
      load.observedLateness = lateness;
      observe(load, lateness);
    }
  }
}

void StoreScheduler::observe(const Load& load, double lateness) {
  concurrency_.observe(load.number, load.inProgressAtStart, lateness,
                       limitReachedAt_ >= load.startedAt);
}

base::Duration StoreScheduler::expectedWait(base::TimePoint now) const {
  return allows() ? base::Duration::zero() : timeUntilFirstEnd(now);
}

base::Duration StoreScheduler::shortestWait(base::TimePoint now) const {
  const bool isFull = loadsInProgress() >= concurrency_.limit();
  return std::max(rate_.wait(0), isFull ? timeUntilFirstEnd(now) : base::Duration::zero());
}

base::Duration StoreScheduler::timeUntilFirstEnd(base::TimePoint now) const {
  base::TimePoint first = base::kNever;
  for (const auto& [worker, load] : loads_) {
    first = std::min(first, load.expectedEnd(concurrency_.limit()));
  }
  return first == base::kNever ? base::Duration::zero()
                               : std::max(base::Duration::zero(), first - now);
}

base::Duration StoreScheduler::expectedWait(base::TimePoint now, std::size_t before,
                                            base::Duration load) const {
  const auto rounds = static_cast<std::int64_t>(before / concurrency_.limit());
  return std::max(expectedWait(now) + rounds * load, rate_.wait(before));
}

void StoreScheduler::recordOrdered(const WorkerId& worker, base::Duration declaredTime,
                                   base::TimePoint now) {
  recordUnclear(worker, now);  // An earlier load of which no end was reported.
  Load load;
  load.number = ++lastLoadNumber_;
  rate_.recordOrdered(load.number);
  load.startedAt = now;
  load.declaredTime = declaredTime;
  load.inProgressAtStart = loadsInProgress() + 1;
  loads_[worker] = load;
  if (loadsInProgress() >= concurrency_.limit()) {
    limitReachedAt_ = now;
  }
}

void StoreScheduler::recordAccepted(const WorkerId& worker, base::TimePoint now) {
  const auto found = loads_.find(worker);
  if (found != loads_.end()) {
    found->second.startedAt = now;
    rate_.recordAccepted(found->second.number, now);
  }
}

void StoreScheduler::recordUnclear(const WorkerId& worker, base::TimePoint now) {
  const auto found = loads_.find(worker);
  if (found != loads_.end()) {
    rate_.recordUnclear(found->second.number, now);
    loads_.erase(found);
  }
}

void StoreScheduler::recordAbandoned(const WorkerId& worker) {
  const auto found = loads_.find(worker);
  if (found != loads_.end()) {
    rate_.recordRefused(found->second.number);
    loads_.erase(found);
  }
}

double StoreScheduler::recordEnd(const WorkerId& worker, base::TimePoint now) {
  const auto found = loads_.find(worker);
  if (found == loads_.end()) {
    return 0;
  }
  const Load load = found->second;
  loads_.erase(found);
  rate_.recordAccepted(load.number, now);  // It has started, whether or not that was recorded.
  const double lateness = load.lateness(now);
  if (now - load.startedAt >= kMinStoreLoadShare * load.declaredTime) {
    observe(load, lateness);
  }
  return lateness;
}

}  // namespace walnut::registry
