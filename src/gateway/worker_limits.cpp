#include "gateway/worker_limits.h"

#include <algorithm>
#include <utility>

namespace walnut::gateway {

namespace {

/// Fraction of a limit that all gateways together send while no leader divides it. With the shares
/// granted besides by a leader that has just ended, or that only some gateways follow, the sum
/// stays within one and a half times the limit.
constexpr double kUnsharedFraction = 0.4;
/// Lower bound of that rate, in requests per second, so that some gateway gets an answer that shows
/// the end of a low limit.
constexpr double kMinUnsharedRate = 0.1;
/// Time between two reports of answers without a limit from one worker: the leader responds with a
/// view.
constexpr base::Duration kEndReportSpacing = std::chrono::milliseconds(200);
constexpr base::Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr base::Duration kMaxRetryAfter = std::chrono::seconds(8);
/// Relative random increase of Retry-After, so that callers refused together do not return
/// together.
constexpr double kRetrySpread = 0.5;

base::Duration toDuration(double seconds) {
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

UnsharedRate::UnsharedRate(base::Duration period, double phase, base::TimePoint now)
    : period_(period),
      next_(now + toDuration(std::chrono::duration<double>(period).count() * phase)) {}

void UnsharedRate::dropUnused(base::TimePoint now) {
  const base::TimePoint oldest = now - kUsableFor;
  if (next_ < oldest) {
    next_ += ((oldest - next_) / period_ + 1) * period_;
  }
}

bool UnsharedRate::allows(base::TimePoint now) {
  dropUnused(now);
  return next_ <= now;
}

void UnsharedRate::take(base::TimePoint now) {
  dropUnused(now);
  next_ += period_;
}

std::optional<double> WorkerLimits::limitOf(const registry::WorkerId& worker) const {
  const auto found = limits_.find(worker);
  return found == limits_.end() ? std::nullopt : std::optional(found->second.announced.perSecond);
}

std::optional<WorkerLimits::Change> WorkerLimits::responseReceived(
    const registry::WorkerId& worker, const std::optional<double>& perSecond,
    base::TimePoint sentAt, base::TimePoint now) {
  return perSecond ? limitAnnounced(worker, *perSecond, sentAt, now)
                   : limitAbsent(worker, sentAt, now);
}

std::optional<WorkerLimits::Change> WorkerLimits::limitAnnounced(const registry::WorkerId& worker,
                                                                 double perSecond,
                                                                 base::TimePoint sentAt,
                                                                 base::TimePoint now) {
  const std::optional<double> previous = limitOf(worker);
  Limit& limit = limits_[worker];
  limit.lastAnnouncedAt = now;
  if (previous && !limit.announced.yieldsTo(perSecond, sentAt)) {
    return std::nullopt;
  }
  limit.announced = {perSecond, now};
  limit.unshared.reset();
  noteSighting(worker, perSecond, sentAt, now);
  return Change{worker, perSecond, previous};
}

/// Processes an answer without a limit. If a leader is followed, only the leader ends the limit,
/// for all gateways at the same time.
std::optional<WorkerLimits::Change> WorkerLimits::limitAbsent(const registry::WorkerId& worker,
                                                              base::TimePoint sentAt,
                                                              base::TimePoint now) {
  const auto found = limits_.find(worker);
  if (found == limits_.end() || !found->second.announced.endsBy(sentAt)) {
    return std::nullopt;
  }
  Limit& limit = found->second;
  if (!shared_) {
    return erase(worker);
  }
  if (now >= limit.endReportedAt + kEndReportSpacing) {
    limit.endReportedAt = now;
    noteSighting(worker, std::nullopt, sentAt, now);
  }
  return std::nullopt;
}

std::optional<WorkerLimits::Change> WorkerLimits::leaderAnnounced(
    const registry::WorkerId& worker, const std::optional<double>& perSecond, base::TimePoint now) {
  const auto found = limits_.find(worker);
  if (!perSecond) {
    // A limit that has not been reported to the leader yet stays in force.
    return found != limits_.end() && found->second.isFromLeader ? erase(worker) : std::nullopt;
  }
  const std::optional<double> previous = limitOf(worker);
  Limit& limit = limits_[worker];
  limit.isFromLeader = true;
  if (previous == perSecond) {
    return std::nullopt;
  }
  limit.lastAnnouncedAt = previous ? limit.lastAnnouncedAt : now;
  limit.announced = {*perSecond, now};
  limit.unshared.reset();
  return Change{worker, perSecond, previous};
}

std::optional<WorkerLimits::Change> WorkerLimits::unlimited(const registry::WorkerId& worker) {
  return limits_.count(worker) == 0 ? std::nullopt : erase(worker);
}

std::optional<WorkerLimits::Change> WorkerLimits::erase(const registry::WorkerId& worker) {
  const double previous = limits_.at(worker).announced.perSecond;
  forget(worker);
  return Change{worker, std::nullopt, previous};
}

void WorkerLimits::forget(const registry::WorkerId& worker) {
  limits_.erase(worker);
  unreported_.erase(worker);
  shares_.forget(worker.value);
}

void WorkerLimits::leaderFollowed() {
  shares_.leaderLost();
  unreported_.clear();
  for (auto& [worker, limit] : limits_) {
    limit.isFromLeader = false;
    limit.endReportedAt = {};
    noteSighting(worker, limit.announced.perSecond, limit.announced.since, limit.lastAnnouncedAt);
  }
}

void WorkerLimits::noteSighting(const registry::WorkerId& worker,
                                const std::optional<double>& perSecond, base::TimePoint sentAt,
                                base::TimePoint answeredAt) {
  unreported_[worker] = {perSecond, sentAt, answeredAt};
}

std::optional<registry::LimitReport> WorkerLimits::takeReport(base::TimePoint now) {
  if (unreported_.empty()) {
    return std::nullopt;
  }
  registry::LimitReport report;
  for (const auto& [worker, sighting] : std::exchange(unreported_, {})) {
    report.sightings.push_back(
        {worker, sighting.perSecond, now - sighting.sentAt, now - sighting.answeredAt});
  }
  return report;
}

void WorkerLimits::setSharing(bool shared, std::uint32_t gateways) {
  if (shared_ == shared && gateways_ == gateways) {
    return;
  }
  shared_ = shared;
  gateways_ = gateways;
  for (auto& [worker, limit] : limits_) {
    limit.unshared.reset();
  }
}

UnsharedRate& WorkerLimits::unsharedRate(Limit& limit, base::TimePoint now) {
  if (!limit.unshared) {
    const double rate = std::max(kUnsharedFraction * limit.announced.perSecond, kMinUnsharedRate);
    limit.unshared.emplace(toDuration(gateways_ / rate), random_.unit(), now);
  }
  return *limit.unshared;
}

ShareState WorkerLimits::shareState(const registry::WorkerId& worker, base::TimePoint now) {
  const auto found = limits_.find(worker);
  if (found == limits_.end() || shares_.covers(worker.value, 1, now)) {
    return ShareState::open;
  }
  if (!shared_) {
    return unsharedRate(found->second, now).allows(now) ? ShareState::open : ShareState::exhausted;
  }
  shares_.recordDemand(worker.value, now);
  return shares_.shortageLeft(worker.value, now) ? ShareState::exhausted : ShareState::requestable;
}

base::Duration WorkerLimits::retryAfter(const registry::WorkerId& worker, base::TimePoint now) {
  const auto found = limits_.find(worker);
  if (found == limits_.end()) {
    return base::Duration::zero();
  }
  const base::Duration left =
      shared_ ? shares_.shortageLeft(worker.value, now).value_or(base::Duration::zero())
              : unsharedRate(found->second, now).next() - now;
  const double spread = 1 + kRetrySpread * random_.unit();
  const base::Duration spreadOut = toDuration(std::chrono::duration<double>(left).count() * spread);
  return std::clamp<base::Duration>(spreadOut, kMinRetryAfter, kMaxRetryAfter);
}

void WorkerLimits::take(const registry::WorkerId& worker, base::TimePoint now) {
  const auto found = limits_.find(worker);
  if (found == limits_.end() || shares_.take(worker.value, 1, now)) {
    return;
  }
  unsharedRate(found->second, now).take(now);
}

std::optional<registry::ShareRequest> WorkerLimits::makeRequest(bool all, base::TimePoint now) {
  auto request = shares_.makeRequest(all, now);
  return request ? std::optional(registry::ShareRequest{std::move(*request)}) : std::nullopt;
}

bool WorkerLimits::grantReceived(const registry::ShareGrant& grant, base::TimePoint now) {
  return shares_.grantReceived(grant.grant, now);
}

}  // namespace walnut::gateway
