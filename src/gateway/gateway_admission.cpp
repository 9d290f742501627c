/// @file
/// The part of a gateway that authenticates requests and checks them against the quota of their
/// tenant.

#include <algorithm>
#include <iterator>
#include <utility>

#include "gateway/gateway.h"
#include "walnut/catalog/caller_timeout.h"

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
/// Retry-After value while keys are not confirmed, or quotas by a leader that is alive.
constexpr base::Duration kRetryAfterUnconfirmed = std::chrono::milliseconds(500);

/// @name Requests that wait for the leader's answer about their tenant's quota
/// @{
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

QuotaWaitFacts waitFactsOf(const RequestFacts& facts, const catalog::Route& route) {
  const base::Duration remaining = std::min(facts.deadline.value_or(route.timeout), route.timeout);
  const bool streaming = route.kind == catalog::RouteKind::streaming;
  return {remaining, route.targetLatency,
          streaming ? catalog::callerTimeout(route.targetLatency, route.targetGap) : remaining};
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
/// A request that is under way for longer than the lease lasts confirms nothing, so it is repeated
/// while the first document is awaited, too.
void Gateway::renewLease() {
  if (!needsConfirmation()) {
    return;
  }
  const base::TimePoint now = scheduler_.readClock();
  logLeaseChange(now);
  leaseTimer_->enableAt(now + lease_.duration() / kRenewalsPerLease);
  session_.sendToCandidates(lease_.makeRequest(now));
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

LeaderContact Gateway::leaderContact() const {
  return {session_.following(), session_.heardAt(), quota_.unansweredSince(session_.heardAt())};
}

void Gateway::queueForQuota(PendingRequest pending) {
  const std::string& tenant = pending.facts.tenant;
  const base::TimePoint now = scheduler_.now();
  const LeaderContact contact = leaderContact();
  const bool answering = isLeaderAnswering(contact, now);
  if (pendingCount_ >= kMaxPendingRequests) {
    refuse(*pending.sink, pending.facts.requestId, kUnavailable, "too many wait for their quota",
           answering ? kRetryAfterRefusal : timeToNextLeader(contact, now), tenant);
    return;
  }
  pending.until = pending.arrivedAt + quotaWaitLimit(waitFactsOf(pending.facts, *pending.route));
  if (!answering) {
    extendWait(pending);
  }
  pending.held = shareOf(pending.request);
  quota_.waitBegan(tenant, pending.facts.quotaCost);
  ++pendingCount_;
  PendingRequests& waiting = pendingRequests_[tenant];
  waiting.push_back(std::move(pending));
  const auto entry = std::prev(waiting.end());
  entry->sink->setGoneCallback([this, entry] {
    const std::string name = entry->facts.tenant;
    countLeaderlessWait(*entry, "left");
    quota_.waitEnded(name, entry->facts.quotaCost);
    --pendingCount_;
    PendingRequests& list = pendingRequests_[name];
    list.erase(entry);
    if (list.empty()) {
      pendingRequests_.erase(name);
    }
  });
  scheduleQuotaReview();
  requestQuotaSoon();
}

/// While requests wait, a review that is already due sooner is not put off: otherwise requests that
/// come in quick succession, or their grants, would put it off for ever.
void Gateway::scheduleQuotaReview() {
  const bool waiting = pendingCount_ > 0;
  const base::TimePoint next =
      scheduler_.now() + (waiting ? kPendingReviewInterval : QuotaAccount::kInterval);
  if (!waiting || !quotaReviewAt_ || next < *quotaReviewAt_) {
    quotaReviewAt_ = next;
    quotaTimer_->enableAt(next);
  }
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
  recordLeaderAnswering(true);
  std::vector<PendingRequest> paid;
  for (const registry::QuotaShare& share : grant.shares) {
    settlePending(share.owner, grant.sequence, share.retryAfter, paid);
  }
  admitPaid(std::move(paid));
  if (pendingCount_ > 0) {
    requestQuotaSoon();
  }
  if (!quota_.empty()) {
    scheduleQuotaReview();
  }
}

/// Admits requests of all tenants in the order of their arrival: after a change of leader many are
/// admitted at once, and the oldest have the least time left.
void Gateway::admitPaid(std::vector<PendingRequest> paid) {
  std::stable_sort(paid.begin(), paid.end(),
                   [](const PendingRequest& left, const PendingRequest& right) {
                     return left.arrivedAt < right.arrivedAt;
                   });
  for (PendingRequest& pending : paid) {
    countLeaderlessWait(pending, "admitted");
    admit(std::move(pending));
  }
}

/// Takes the units for the waiting requests of a tenant, or refuses the requests, in the order of
/// their arrival. Requests that the answer did not cover wait for the next one.
void Gateway::settlePending(const std::string& tenant, std::uint64_t quotaSequence,
                            base::Duration retryAfter, std::vector<PendingRequest>& paid) {
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
    const bool taken = quota_.take(tenant, cost, scheduler_.now());
    if (!taken && (!asked || retryAfter == base::Duration::zero())) {
      entry->quotaSequence = asked ? 0 : entry->quotaSequence;
      rest.splice(rest.end(), waiting, entry);
      continue;
    }
    quota_.waitEnded(tenant, cost);
    --pendingCount_;
    entry->sink->setGoneCallback(nullptr);
    PendingRequest settled = std::move(*entry);
    waiting.erase(entry);
    if (taken) {
      const base::Duration waited = scheduler_.now() - settled.arrivedAt;
      if (settled.facts.deadline) {
        *settled.facts.deadline -= std::min(waited, *settled.facts.deadline);
      }
      paid.push_back(std::move(settled));
    } else {
      countLeaderlessWait(settled, "over-quota");
      refuse(*settled.sink, settled.facts.requestId, kTooManyRequests, "quota", retryAfter, tenant);
    }
  }
  if (!rest.empty()) {
    pendingRequests_[tenant].splice(pendingRequests_[tenant].begin(), rest);
  }
}

/// The longer wait also lasts once the next leader is followed, which still has to answer.
void Gateway::extendWait(PendingRequest& pending) {
  if (!std::exchange(pending.leaderless, true)) {
    pending.until =
        pending.arrivedAt + leaderlessQuotaWaitLimit(waitFactsOf(pending.facts, *pending.route));
  }
}

void Gateway::countLeaderlessWait(const PendingRequest& pending, const char* outcome) {
  if (pending.leaderless) {
    metrics_.count("walnut_gateway_leaderless_quota_waits_total", outcome);
  }
}

/// Logs that requests begin to wait without a leader that answers, and that they no longer do.
void Gateway::recordLeaderAnswering(bool answering) {
  if (quotaLeaderless_ != answering || (!answering && pendingCount_ == 0)) {
    return;
  }
  quotaLeaderless_ = !answering;
  const base::TimePoint now = scheduler_.now();
  if (quotaLeaderless_) {
    quotaLeaderlessSince_ = now;
    log_.write(LogEvent::quotaLeaderless, {{"followed", session_.following() ? "yes" : "no"},
                                           {"silent-millis", millisOf(now - session_.heardAt())},
                                           {"waiting", std::uint64_t{pendingCount_}}});
    return;
  }
  log_.write(LogEvent::quotaConfirmed, {{"millis", millisOf(now - quotaLeaderlessSince_)},
                                        {"waiting", std::uint64_t{pendingCount_}}});
}

/// Refuses requests that have waited too long, because there is no leader or the leader does not
/// answer, and all once the process is about to stop. The refusal is 503, not 429: the tenant is
/// not known to exceed its quota.
void Gateway::reviewQuota() {
  quotaReviewAt_.reset();
  const base::TimePoint now = scheduler_.now();
  const LeaderContact contact = leaderContact();
  const bool answering = isLeaderAnswering(contact, now);
  if (!answering) {
    recordLeaderAnswering(false);
  }
  std::vector<PendingRequest> late;
  for (auto& [tenant, waiting] : pendingRequests_) {
    for (auto entry = waiting.begin(); entry != waiting.end();) {
      if (!answering) {
        extendWait(*entry);
      }
      if (now < entry->until && !refusingAll_) {
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
    countLeaderlessWait(pending, "refused");
    refuse(*pending.sink, pending.facts.requestId, kUnavailable,
           refusingAll_ ? "stopping" : "quota is not confirmed",
           answering ? kRetryAfterUnconfirmed : timeToNextLeader(contact, now),
           pending.facts.tenant);
  }
  requestQuota(pendingCount_ == 0);
  if (!quota_.empty()) {
    scheduleQuotaReview();
  }
}

}  // namespace walnut::gateway
