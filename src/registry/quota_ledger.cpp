#include "registry/quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace walnut::registry {

namespace {

/// Share of the overshoot and the slack that is part of the capacity. The rest is reserved for
/// tokens that aren't known exactly: those held by gateways of a previous leader that have not sent
/// a request yet.
constexpr double kToleranceUsed = 0.6;
/// Share of the overshoot and the slack that a new leader starts with, so that requests are
/// admitted before the rate has added any tokens.
constexpr double kToleranceAtStart = 0.2;
/// Least capacity in seconds of the rate, for a tenant that has neither a burst nor a tolerance.
constexpr double kMinCapacitySeconds = 0.25;
/// Share of the bucket's level that one gateway is granted in advance, and the share of the
/// capacity above which this is done. Future requests may come at other gateways.
constexpr double kAheadShare = 0.125;
constexpr double kAheadAbove = 0.3;
/// Time without a refused request after which a quota no longer counts as exhausted.
constexpr base::Duration kExhaustedRetention = std::chrono::seconds(2);
constexpr base::Duration kMaxRetryAfter = std::chrono::seconds(8);
constexpr base::Duration kMinRetryAfter = std::chrono::milliseconds(50);

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

base::Duration timeFor(double amount, double perSecond) {
  const auto time = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(perSecond > 0 ? amount / perSecond : 0));
  return std::clamp<base::Duration>(time, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace

/// @return the units that a window may contain beyond the rate and the burst.
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
    BucketParameters parameters;
    parameters.unitsPerSecond = tenant.unitsPerSecond;
    parameters.capacity = std::max(tenant.burst + kToleranceUsed * allowance(tenant),
                                   kMinCapacitySeconds * tenant.unitsPerSecond);
    parameters.initialLevel = kToleranceAtStart * allowance(tenant);
    setBucket(tenant.name, parameters, now);
  }
  std::erase_if(buckets_,
                [&limited](const auto& entry) { return limited.count(entry.first) == 0; });
}

void QuotaLedger::setBucket(const std::string& owner, const BucketParameters& parameters,
                            base::TimePoint now) {
  const auto [found, added] = buckets_.try_emplace(owner);
  Bucket& bucket = found->second;
  if (added) {
    bucket.level = parameters.initialLevel;
    bucket.refilledAt = now;
    bucket.changedAt = now;
  } else {
    refill(bucket, now);
  }
  bucket.parameters = parameters;
  bucket.level = std::min(bucket.level, parameters.capacity);
}

void QuotaLedger::refill(Bucket& bucket, base::TimePoint now) const {
  std::erase_if(bucket.holdings, [&bucket, now](const auto& entry) {
    const bool ended = entry.second.until <= now;
    bucket.heldByGateways -= ended ? entry.second.amount : 0;
    return ended;
  });
  const double brought = bucket.parameters.unitsPerSecond * seconds(now - bucket.refilledAt);
  bucket.refilledAt = now;
  bucket.backlog = std::max(0.0, bucket.backlog - brought);
  const double most = std::max(0.0, bucket.parameters.capacity - bucket.heldByGateways);
  bucket.level = std::min(bucket.level + brought, std::max(most, 0.0));
}

void QuotaLedger::hold(Bucket& bucket, protocol::ConnectionId gateway, double amount,
                       base::TimePoint until) {
  Holding& holding = bucket.holdings[gateway];
  bucket.heldByGateways += amount - holding.amount;
  holding = {amount, until};
}

QuotaGrant QuotaLedger::grant(protocol::ConnectionId gateway, const QuotaRequest& request,
                              base::TimePoint now) {
  QuotaGrant answer;
  answer.sequence = request.sequence;
  for (const QuotaClaim& claim : request.claims) {
    const auto found = buckets_.find(claim.owner);
    if (found == buckets_.end()) {
      // No limit is known here; the gateway may have a different version of the document.
      answer.shares.push_back({claim.owner, claim.needed, base::Duration::zero()});
      continue;
    }
    answer.shares.push_back(grantShare(found->second, gateway, claim, now));
  }
  return answer;
}

double QuotaLedger::immediateGrant(const Bucket& bucket, double needed, double first) {
  if (bucket.parameters.wholeUnits) {
    return std::min(needed, std::floor(bucket.level));
  }
  return bucket.level >= needed ? needed : bucket.level >= first ? first : 0;
}

/// @return the tokens to grant for future requests. They are few, because tokens that a gateway
/// holds without need are missing at the others.
double QuotaLedger::advanceGrant(const Bucket& bucket, double ahead, base::TimePoint now) {
  if (bucket.parameters.wholeUnits) {
    const bool isScarce = bucket.exhausted && now < bucket.lastShortageAt + kExhaustedRetention;
    return isScarce ? 0 : std::min(ahead, std::floor(bucket.level));
  }
  const bool hasPlenty = bucket.level > kAheadAbove * bucket.parameters.capacity;
  return hasPlenty ? std::min(ahead, kAheadShare * bucket.level) : 0;
}

QuotaShare QuotaLedger::grantShare(Bucket& bucket, protocol::ConnectionId gateway,
                                   const QuotaClaim& claim, base::TimePoint now) {
  const double held = std::max(0.0, claim.held);
  hold(bucket, gateway, held, now + kQuotaLease);
  refill(bucket, now);
  bucket.level = std::min(bucket.level + std::max(0.0, claim.returned),
                          std::max(bucket.parameters.capacity - bucket.heldByGateways, 0.0));
  // A grant of less than a request needs would be of no use to this gateway, and missing at others.
  const double needed = std::max(0.0, claim.needed);
  const double first = std::clamp(claim.first, 0.0, needed);
  double grant = immediateGrant(bucket, needed, first);
  bucket.level -= grant;
  const bool enough = grant >= needed;
  if (enough) {
    const double ahead = advanceGrant(bucket, std::max(0.0, claim.ahead), now);
    bucket.level -= ahead;
    grant += ahead;
  }
  hold(bucket, gateway, held + grant, now + kQuotaLease);
  QuotaShare share{claim.owner, grant, base::Duration::zero()};
  if (!enough) {
    // Callers get increasing retry times: each time covers the units refused before it.
    const double most = bucket.parameters.unitsPerSecond * seconds(kMaxRetryAfter);
    bucket.backlog = std::min(bucket.backlog + needed - grant, most);
    share.retryAfter = timeFor(bucket.backlog, bucket.parameters.unitsPerSecond);
  }
  if (needed > 0) {
    updateExhausted(bucket, claim.owner, !enough, now);
  }
  return share;
}

void QuotaLedger::updateExhausted(Bucket& bucket, const std::string& owner, bool exhausted,
                                  base::TimePoint now) {
  bucket.lastShortageAt = exhausted ? now : bucket.lastShortageAt;
  const bool isStillExhausted =
      bucket.exhausted && now < bucket.lastShortageAt + kExhaustedRetention;
  if (bucket.exhausted == exhausted || isStillExhausted) {
    return;
  }
  bucket.exhausted = exhausted;
  changes_.push_back({owner, exhausted, bucket.parameters.unitsPerSecond, bucket.heldByGateways,
                      now - bucket.changedAt});
  bucket.changedAt = now;
}

}  // namespace walnut::registry
