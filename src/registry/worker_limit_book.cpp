#include "registry/worker_limit_book.h"

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
constexpr base::Duration kShortLasts = std::chrono::seconds(20);
/// Number of ended limits that are remembered, so that late reports of them have no effect.
constexpr std::size_t kMostEnded = 4096;

}  // namespace

double WorkerLimitBook::capacityOf(double limit) {
  return kCapacityRequests + kCapacitySeconds * limit;
}

std::optional<double> WorkerLimitBook::limitOf(const WorkerId& worker) const {
  const auto found = limits_.find(worker);
  return found == limits_.end() ? std::nullopt : std::optional(found->second.named.perSecond);
}

bool WorkerLimitBook::wasShort(const WorkerId& worker, base::TimePoint now) const {
  const auto found = limits_.find(worker);
  return found != limits_.end() && now < found->second.shortUntil;
}

void WorkerLimitBook::forget(const WorkerId& worker) {
  limits_.erase(worker);
  ended_.erase(worker);
  ledger_.removeBucket(worker.value);
}

std::vector<WorkerLimitBook::Change> WorkerLimitBook::report(const LimitReport& report,
                                                             base::TimePoint now) {
  std::vector<Change> changes;
  for (const LimitSighting& sighting : report.sightings) {
    auto change = sighting.perSecond ? named(sighting.worker, sighting, now)
                                     : notNamed(sighting.worker, sighting, now);
    if (change) {
      changes.push_back(std::move(*change));
    }
  }
  return changes;
}

std::optional<WorkerLimitBook::Change> WorkerLimitBook::named(const WorkerId& worker,
                                                              const LimitSighting& sighting,
                                                              base::TimePoint now) {
  const base::TimePoint answeredAt = now - sighting.answeredAgo;
  const auto ended = ended_.find(worker);
  if (ended != ended_.end() && answeredAt < ended->second) {
    return std::nullopt;
  }
  const double perSecond = *sighting.perSecond;
  const std::optional<double> former = limitOf(worker);
  Limit& limit = limits_[worker];
  if (former && !limit.named.yieldsTo(perSecond, now - sighting.sentAgo)) {
    return std::nullopt;
  }
  limit.named = {perSecond, answeredAt};
  ended_.erase(worker);
  const double rate = std::max(perSecond, kLeastLimit);
  ledger_.setBucket(worker.value, {rate, capacityOf(rate), 0, true}, now);
  return Change{worker, perSecond, former, sighting.answeredAgo};
}

std::optional<WorkerLimitBook::Change> WorkerLimitBook::notNamed(const WorkerId& worker,
                                                                 const LimitSighting& sighting,
                                                                 base::TimePoint now) {
  const auto found = limits_.find(worker);
  if (found == limits_.end() || !found->second.named.endsBy(now - sighting.sentAgo)) {
    return std::nullopt;
  }
  const double former = found->second.named.perSecond;
  forget(worker);
  if (ended_.size() >= kMostEnded) {
    ended_.clear();
  }
  ended_[worker] = now - sighting.answeredAgo;
  return Change{worker, std::nullopt, former, sighting.answeredAgo};
}

ShareGrant WorkerLimitBook::grant(protocol::ConnectionId gateway, const ShareRequest& request,
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
      limit->second.shortUntil = now + kShortLasts;
    }
  }
  return answer;
}

}  // namespace walnut::registry
