#include "registry/worker_limit_tracker.h"

#include <algorithm>

namespace walnut::registry {

namespace {

/// @name Capacity of a bucket: a fixed number of requests, and the limit for a number of seconds
/// The users' rule allows one and a half times the limit for 4 s, and 5 requests. Two capacities
/// and the limit for 4 s are within it; two, because a previous leader may have granted one too.
/// @{
constexpr double kCapacitySeconds = 0.5;
constexpr double kCapacityRequests = 2;
/// @}
/// Time for which a worker counts as over its limit after a request that got no share. It is longer
/// than loading the worker's models elsewhere and detecting that they are served there: if it
/// counted as a replica again too soon, the new replicas would seem surplus.
constexpr base::Duration kOverLimitRetention = std::chrono::seconds(20);
/// Number of ended limits that are remembered, so that late reports of them have no effect.
constexpr std::size_t kMaxEndedLimits = 4096;

}  // namespace

double WorkerLimitTracker::capacityOf(double limit) {
  return kCapacityRequests + kCapacitySeconds * limit;
}

std::optional<double> WorkerLimitTracker::limitOf(const WorkerId& worker) const {
  const auto found = limits_.find(worker);
  return found == limits_.end() ? std::nullopt : std::optional(found->second.named.perSecond);
}

bool WorkerLimitTracker::wasOverLimit(const WorkerId& worker, base::TimePoint now) const {
  const auto found = limits_.find(worker);
  return found != limits_.end() && now < found->second.overLimitUntil;
}

void WorkerLimitTracker::forget(const WorkerId& worker) {
  limits_.erase(worker);
  endedAt_.erase(worker);
  ledger_.removeBucket(worker.value);
}

std::vector<WorkerLimitTracker::Change> WorkerLimitTracker::report(const LimitReport& report,
                                                                   base::TimePoint now) {
  std::vector<Change> changes;
  for (const LimitObservation& sighting : report.sightings) {
    auto change = sighting.perSecond ? applyNamedLimit(sighting.worker, sighting, now)
                                     : applyMissingLimit(sighting.worker, sighting, now);
    if (change) {
      changes.push_back(std::move(*change));
    }
  }
  return changes;
}

std::optional<WorkerLimitTracker::Change> WorkerLimitTracker::applyNamedLimit(
    const WorkerId& worker, const LimitObservation& sighting, base::TimePoint now) {
  const base::TimePoint answeredAt = now - sighting.answeredAgo;
  const auto ended = endedAt_.find(worker);
  if (ended != endedAt_.end() && answeredAt < ended->second) {
    return std::nullopt;
  }
  const double perSecond = *sighting.perSecond;
  const std::optional<double> previous = limitOf(worker);
  Limit& limit = limits_[worker];
  if (previous && !limit.named.yieldsTo(perSecond, now - sighting.sentAgo)) {
    return std::nullopt;
  }
  limit.named = {perSecond, answeredAt};
  endedAt_.erase(worker);
  const double rate = std::max(perSecond, kMinRequestsPerSecond);
  ledger_.setBucket(worker.value, {rate, capacityOf(rate), 0, true}, now);
  return Change{worker, perSecond, previous, sighting.answeredAgo};
}

std::optional<WorkerLimitTracker::Change> WorkerLimitTracker::applyMissingLimit(
    const WorkerId& worker, const LimitObservation& sighting, base::TimePoint now) {
  const auto found = limits_.find(worker);
  if (found == limits_.end() || !found->second.named.endsBy(now - sighting.sentAgo)) {
    return std::nullopt;
  }
  const double previous = found->second.named.perSecond;
  forget(worker);
  if (endedAt_.size() >= kMaxEndedLimits) {
    endedAt_.clear();
  }
  endedAt_[worker] = now - sighting.answeredAgo;
  return Change{worker, std::nullopt, previous, sighting.answeredAgo};
}

ShareGrant WorkerLimitTracker::grant(protocol::ConnectionId gateway, const ShareRequest& request,
                                     base::TimePoint now) {
  ShareGrant answer;
  answer.grant = ledger_.grant(gateway, request.request, now);
  for (const QuotaClaim& claim : request.request.claims) {
    if (!ledger_.has(claim.owner)) {
      answer.unlimited.push_back({claim.owner});
    }
  }
  for (const QuotaShare& share : answer.grant.shares) {
    const auto limit = limits_.find({share.owner});
    if (share.retryAfter > base::Duration::zero() && limit != limits_.end()) {
      limit->second.overLimitUntil = now + kOverLimitRetention;
    }
  }
  return answer;
}

}  // namespace walnut::registry
