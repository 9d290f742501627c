/// @file
/// The part of a gateway that authenticates requests and checks them against the quota of their
/// tenant.

#include <algorithm>
#include <iterator>
#include <utility>

#include "gateway/gateway.h"

namespace walnut::gateway {

namespace {

using runtime::LogEvent;

constexpr int kUnauthorized = 401;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/// Renewals requested per duration of a lease: the lease survives nine unanswered ones.
constexpr int kRenewalsPerLease = 10;
/// Maximum age of the last confirmation at which an unknown key is refused for good: a key that was
/// added since the confirmation would be refused too.
constexpr base::Duration kMaxRefusalAge = std::chrono::milliseconds(1500);
/// Retry-After value while keys or quotas are not confirmed: a change of leader takes about a
/// second.
constexpr base::Duration kRetryAfterUnconfirmed = std::chrono::milliseconds(500);

/// @name Requests that wait for the leader's answer about their tenant's quota
/// @{
/// Maximum wait for the answer. A round trip to the leader takes a few ms; only a change of leader
/// takes longer, and a request with a long target latency can wait for its end.
constexpr base::Duration kMaxQuotaWait = std::chrono::milliseconds(1500);
constexpr std::size_t kMaxPendingRequests = 1024;
constexpr std::size_t kMaxCountedTenants = 100;
constexpr base::Duration kPendingReviewInterval = std::chrono::milliseconds(50);
/// @}

double costOf(const catalog::Tenant& tenant, const RequestFacts& facts) {
  if (!tenant.limited()) {
    return 0;
  }
  if (!tenant.countsTokens) {
    return 1;
  }
  return facts.tellsTokens ? static_cast<double>(facts.promptTokens + facts.mostTokens)
                           : tenant.defaultTokens;
}

std::uint64_t millisOf(base::Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

// Keys

/// Finds the tenant of a request by its key, or refuses the request. The clock is read after the
/// request has come: it may have been sent while this process was suspended, long after the current
/// event loop iteration began.
const catalog::Tenant* Gateway::authenticate(RequestFacts& facts, net::ResponseSink& sink) {
  const base::TimePoint now = scheduler_.readClock();
  logLeaseChange(now);
  if (!lease_.valid(now)) {
    refuse(sink, facts.requestId, kUnavailable, "keys are not confirmed", kRetryAfterUnconfirmed);
    return nullptr;
  }
  const catalog::Tenant* tenant = keys_->find(facts.key);
  if (tenant != nullptr) {
    facts.tenant = tenant->name;
    facts.tenantPriority = tenant->priority;
    facts.quotaCost = costOf(*tenant, facts);
    return tenant;
  }
  if (isBehind() || lease_.age(now).value_or(lease_.duration()) > kMaxRefusalAge) {
    refuse(sink, facts.requestId, kUnavailable, "keys may be newer", kRetryAfterUnconfirmed);
  } else {
    refuse(sink, facts.requestId, kUnauthorized, facts.key.empty() ? "no key" : "unknown key");
  }
  return nullptr;
}

/// Counts a request of a tenant: each of the first tenants has a metric label of its own, all
/// others share one, which bounds the number of labels.
void Gateway::countTenant(const std::string& tenant, int status) {
  if (tenant.empty()) {
    return;
  }
  const bool known = countedTenants_.count(tenant) != 0;
  const bool hasLabel = known || countedTenants_.size() < kMaxCountedTenants;
  if (hasLabel) {
    countedTenants_.insert(tenant);
  }
  metrics_.count(status == kTooManyRequests ? "walnut_gateway_tenant_over_quota_total"
                                            : "walnut_gateway_tenant_requests_total",
                 hasLabel ? tenant : std::string("other"));
}

void Gateway::logLeaseChange(base::TimePoint now) {
  const bool valid = lease_.valid(now);
  if (std::exchange(wasLeaseValid_, valid) == valid) {
    return;
  }
  log_.write(valid ? LogEvent::keysConfirmed : LogEvent::keysUnconfirmed,
             {{"document", documentVersion()},
              {"age-millis", millisOf(lease_.age(now).value_or(base::Duration::zero()))},
              {"lease-millis", millisOf(lease_.duration())}});
}

std::uint64_t Gateway::admittingDocumentVersion() const {
  return document_ != nullptr && lease_.valid(scheduler_.readClock()) ? documentVersion() : 0;
}

/// Asks the leader for the newest document version, which renews the lease. Does nothing while the
/// document in force has no keys.
void Gateway::renewLease() {
  if (document_ == nullptr || !document_->keyed) {
    return;
  }
  const base::TimePoint now = scheduler_.readClock();
  logLeaseChange(now);
  leaseTimer_->enableAt(now + lease_.duration() / kRenewalsPerLease);
  if (session_.following()) {
    session_.send(lease_.makeRequest(now));
  }
}

void Gateway::documentConfirmed(const registry::DocumentConfirmed& answer) {
  const bool first = !isPrepared();
  lease_.confirmationReceived(answer, documentVersion());
  logLeaseChange(scheduler_.readClock());
  if (first && isPrepared() && !early_.empty()) {
    scheduler_.runSoon([this] { routeEarly(); });
  }
}

// Quotas

void Gateway::queueForQuota(PendingRequest pending) {
  const std::string& tenant = pending.facts.tenant;
  if (pendingCount_ >= kMaxPendingRequests) {
    refuse(*pending.sink, pending.facts.requestId, kUnavailable, "too many wait for their quota",
           kRetryAfterRefusal, tenant);
    return;
  }
  const base::Duration timeout = std::min(kMaxQuotaWait, pending.route->targetLatency);
  pending.until = pending.arrivedAt + timeout;
  quota_.waitBegan(tenant, pending.facts.quotaCost);
  ++pendingCount_;
  PendingRequests& waiting = pendingRequests_[tenant];
  waiting.push_back(std::move(pending));
  const auto entry = std::prev(waiting.end());
  entry->sink->setGoneCallback([this, entry] {
    const std::string name = entry->facts.tenant;
    quota_.waitEnded(name, entry->facts.quotaCost);
    --pendingCount_;
    PendingRequests& list = pendingRequests_[name];
    list.erase(entry);
    if (list.empty()) {
      pendingRequests_.erase(name);
    }
  });
  quotaTimer_->enableAt(scheduler_.now() + kPendingReviewInterval);
  requestQuotaSoon();
}

/// Schedules one quota request for all requests that came within an event loop iteration.
void Gateway::requestQuotaSoon() {
  if (!std::exchange(quotaSoon_, true)) {
    scheduler_.runSoon([this] {
      quotaSoon_ = false;
      requestQuota(false);
    });
  }
}

void Gateway::requestQuota(bool all) {
  if (!session_.following()) {
    return;
  }
  if (auto request = quota_.makeRequest(all, scheduler_.now())) {
    for (auto& [tenant, waiting] : pendingRequests_) {
      for (PendingRequest& pending : waiting) {
        pending.quotaSequence =
            pending.quotaSequence == 0 ? request->sequence : pending.quotaSequence;
      }
    }
    session_.send(std::move(*request));
  }
}

void Gateway::quotaGranted(const registry::QuotaGrant& grant) {
  if (!quota_.grantReceived(grant, scheduler_.now())) {
    return;
  }
  for (const registry::QuotaShare& share : grant.shares) {
    settlePending(share.owner, grant.sequence, share.retryAfter);
  }
  if (pendingCount_ > 0) {
    requestQuotaSoon();
  }
  if (!quota_.empty()) {
    quotaTimer_->enableAt(scheduler_.now() +
                          (pendingCount_ > 0 ? kPendingReviewInterval : QuotaAccount::kInterval));
  }
}

/// Admits or refuses the waiting requests of a tenant in the order of their arrival. Requests that
/// the answer did not cover wait for the next one.
void Gateway::settlePending(const std::string& tenant, std::uint64_t quotaSequence,
                            base::Duration retryAfter) {
  const auto found = pendingRequests_.find(tenant);
  if (found == pendingRequests_.end()) {
    return;
  }
  PendingRequests waiting = std::move(found->second);
  pendingRequests_.erase(found);
  PendingRequests rest;
  while (!waiting.empty()) {
    const auto entry = waiting.begin();
    const double cost = entry->facts.quotaCost;
    const bool asked = entry->quotaSequence != 0 && entry->quotaSequence <= quotaSequence;
    const bool paid = quota_.take(tenant, cost, scheduler_.now());
    if (!paid && (!asked || retryAfter == base::Duration::zero())) {
      entry->quotaSequence = asked ? 0 : entry->quotaSequence;
      rest.splice(rest.end(), waiting, entry);
      continue;
    }
    quota_.waitEnded(tenant, cost);
    --pendingCount_;
    entry->sink->setGoneCallback(nullptr);
    PendingRequest settled = std::move(*entry);
    waiting.erase(entry);
    if (paid) {
      const base::Duration waited = scheduler_.now() - settled.arrivedAt;
      if (settled.facts.deadline) {
        *settled.facts.deadline -= std::min(waited, *settled.facts.deadline);
      }
      admit(std::move(settled));
    } else {
      refuse(*settled.sink, settled.facts.requestId, kTooManyRequests, "quota", retryAfter, tenant);
    }
  }
  if (!rest.empty()) {
    pendingRequests_[tenant].splice(pendingRequests_[tenant].begin(), rest);
  }
}

/// Refuses requests that have waited too long, because there is no leader or the leader does not
/// answer. The refusal is 503, not 429: the tenant is not known to exceed its quota.
void Gateway::reviewQuota() {
  const base::TimePoint now = scheduler_.now();
  std::vector<PendingRequest> late;
  for (auto& [tenant, waiting] : pendingRequests_) {
    for (auto entry = waiting.begin(); entry != waiting.end();) {
      if (now < entry->until) {
        ++entry;
        continue;
      }
      quota_.waitEnded(tenant, entry->facts.quotaCost);
      --pendingCount_;
      entry->sink->setGoneCallback(nullptr);
      late.push_back(std::move(*entry));
      entry = waiting.erase(entry);
    }
  }
  std::erase_if(pendingRequests_, [](const auto& entry) { return entry.second.empty(); });
  for (const PendingRequest& pending : late) {
    refuse(*pending.sink, pending.facts.requestId, kUnavailable, "quota is not confirmed",
           kRetryAfterUnconfirmed, pending.facts.tenant);
  }
  requestQuota(pendingCount_ == 0);
  if (!quota_.empty()) {
    quotaTimer_->enableAt(now +
                          (pendingCount_ > 0 ? kPendingReviewInterval : QuotaAccount::kInterval));
  }
}

}  // namespace walnut::gateway
