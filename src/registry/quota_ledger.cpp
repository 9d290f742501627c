#include "registry/quota_ledger.h"

#include <algorithm>
#include <set>

namespace walnut::registry {

namespace {

/// Share of the overshoot and the slack that the capacity takes. The rest is for what can't be
/// known to the token: gateways of a former leader that have not asked yet.
constexpr double kToleranceUsed = 0.6;
/// Share of the same that a new leader begins with: requests that come before the rate has brought
/// anything are let through.
constexpr double kToleranceAtStart = 0.2;
/// Seconds of the rate that a bucket holds at the least, for a tenant that has neither a burst nor
/// a tolerance.
constexpr double kLeastCapacitySeconds = 0.25;
/// Share of what is in the bucket that one gateway is granted ahead of need, and only while more
/// than a share of the capacity is there: requests to come may come elsewhere.
constexpr double kAheadShare = 0.125;
constexpr double kAheadAbove = 0.3;
/// Without a request that was refused, until a quota counts as kept again.
constexpr base::Duration kExhaustedFor = std::chrono::seconds(2);
constexpr base::Duration kLongestRetryAfter = std::chrono::seconds(8);
constexpr base::Duration kShortestRetryAfter = std::chrono::milliseconds(50);

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

base::Duration timeFor(double amount, double perSecond) {
  const auto time = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(perSecond > 0 ? amount / perSecond : 0));
  return std::clamp<base::Duration>(time, kShortestRetryAfter, kLongestRetryAfter);
}

}  // namespace

/// What a window may hold beyond the rate and the burst.
double QuotaLedger::allowance(const catalog::Tenant& tenant) const {
  return options_.overshoot * (tenant.unitsPerSecond * seconds(options_.window) + tenant.burst) +
         options_.slack;
}

void QuotaLedger::setTenants(const std::vector<catalog::Tenant>& tenants, base::TimePoint now) {
  std::set<std::string> limited;
  for (const catalog::Tenant& tenant : tenants) {
    if (!tenant.limited()) {
      continue;
    }
    limited.insert(tenant.name);
    const auto [found, added] = buckets_.try_emplace(tenant.name);
    Bucket& bucket = found->second;
    if (added) {
      bucket.level = kToleranceAtStart * allowance(tenant);
      bucket.refilledAt = now;
      bucket.changedAt = now;
    } else {
      refill(bucket, now);
    }
    bucket.unitsPerSecond = tenant.unitsPerSecond;
    bucket.capacity = std::max(tenant.burst + kToleranceUsed * allowance(tenant),
                               kLeastCapacitySeconds * tenant.unitsPerSecond);
    bucket.level = std::min(bucket.level, bucket.capacity);
  }
  std::erase_if(buckets_,
                [&limited](const auto& entry) { return limited.count(entry.first) == 0; });
}

void QuotaLedger::refill(Bucket& bucket, base::TimePoint now) const {
  std::erase_if(bucket.holdings, [&bucket, now](const auto& entry) {
    const bool ended = entry.second.until <= now;
    bucket.outside -= ended ? entry.second.amount : 0;
    return ended;
  });
  const double brought = bucket.unitsPerSecond * seconds(now - bucket.refilledAt);
  bucket.refilledAt = now;
  bucket.backlog = std::max(0.0, bucket.backlog - brought);
  const double most = std::max(0.0, bucket.capacity - bucket.outside);
  bucket.level = std::min(bucket.level + brought, std::max(most, 0.0));
}

void QuotaLedger::hold(Bucket& bucket, protocol::ConnectionId gateway, double amount,
                       base::TimePoint until) {
  Holding& holding = bucket.holdings[gateway];
  bucket.outside += amount - holding.amount;
  holding = {amount, until};
}

QuotaGrant QuotaLedger::grant(protocol::ConnectionId gateway, const QuotaRequest& request,
                              base::TimePoint now) {
  QuotaGrant answer;
  answer.sequence = request.sequence;
  for (const QuotaClaim& claim : request.claims) {
    const auto found = buckets_.find(claim.tenant);
    if (found == buckets_.end()) {
      // No limit is known here; the gateway's document may be another one.
      answer.shares.push_back({claim.tenant, claim.needed, base::Duration::zero()});
      continue;
    }
    answer.shares.push_back(grantShare(found->second, gateway, claim, now));
  }
  return answer;
}

QuotaShare QuotaLedger::grantShare(Bucket& bucket, protocol::ConnectionId gateway,
                                   const QuotaClaim& claim, base::TimePoint now) {
  const double held = std::max(0.0, claim.held);
  hold(bucket, gateway, held, now + kQuotaLease);
  refill(bucket, now);
  bucket.level = std::min(bucket.level + std::max(0.0, claim.returned),
                          std::max(bucket.capacity - bucket.outside, 0.0));
  // Less than a request needs would lie at the gateway, and be missed elsewhere.
  const double needed = std::max(0.0, claim.needed);
  const double first = std::clamp(claim.first, 0.0, needed);
  double granted = bucket.level >= needed ? needed : bucket.level >= first ? first : 0;
  const double left = bucket.level - granted;
  if (granted >= needed && left > kAheadAbove * bucket.capacity) {
    granted += std::min(std::max(0.0, claim.ahead), kAheadShare * left);
  }
  bucket.level -= granted;
  hold(bucket, gateway, held + granted, now + kQuotaLease);
  QuotaShare share{claim.tenant, granted, base::Duration::zero()};
  if (granted < needed) {
    // Callers are sent away in turn: each is told when what was refused before it will have passed.
    bucket.backlog += needed - granted;
    share.retryAfter = timeFor(bucket.backlog, bucket.unitsPerSecond);
  }
  if (needed > 0) {
    noteExhausted(bucket, claim.tenant, granted < needed, now);
  }
  return share;
}

void QuotaLedger::noteExhausted(Bucket& bucket, const std::string& tenant, bool exhausted,
                                base::TimePoint now) {
  bucket.shortAt = exhausted ? now : bucket.shortAt;
  const bool lasts = bucket.exhausted && now < bucket.shortAt + kExhaustedFor;
  if (bucket.exhausted == exhausted || lasts) {
    return;
  }
  bucket.exhausted = exhausted;
  changes_.push_back(
      {tenant, exhausted, bucket.unitsPerSecond, bucket.outside, now - bucket.changedAt});
  bucket.changedAt = now;
}

}  // namespace walnut::registry
