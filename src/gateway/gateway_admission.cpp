/// @file
/// The part of a gateway that decides whose request it is, and whether the tenant's quota has room
/// for it.

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

/// Questions within the life of a lease: it outlasts nine that stay unanswered.
constexpr int kQuestionsPerLease = 10;
/// A key is refused as nobody's only by a document that was the newest this short a while ago: a
/// key that was added since would be refused too.
constexpr base::Duration kRefusalAge = std::chrono::milliseconds(1500);
/// A leader is away for about a second when it changes.
constexpr base::Duration kRetryAfterUnconfirmed = std::chrono::milliseconds(500);

/// @name Requests that wait for the leader's answer about their tenant's quota
/// @{
/// The way to the leader and back takes some ms; what takes longer is a change of leader, which a
/// request with a long target outwaits.
constexpr base::Duration kLongestWait = std::chrono::milliseconds(1500);
constexpr std::size_t kMostUnpaid = 1024;
constexpr std::size_t kMostCountedTenants = 100;
constexpr base::Duration kUnpaidReview = std::chrono::milliseconds(50);
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

/// The clock is read after the request has come: it may have been sent while this process stood
/// still, long after the present turn of the loop began.
const catalog::Tenant* Gateway::authenticate(RequestFacts& facts, net::ResponseSink& sink) {
  const base::TimePoint now = scheduler_.readClock();
  noteLease(now);
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
  if (behind() || lease_.age(now).value_or(lease_.lasts()) > kRefusalAge) {
    refuse(sink, facts.requestId, kUnavailable, "keys may be newer", kRetryAfterUnconfirmed);
  } else {
    refuse(sink, facts.requestId, kUnauthorized, facts.key.empty() ? "no key" : "unknown key");
  }
  return nullptr;
}

/// A metric of its own for each of the first tenants; one for all others.
void Gateway::countTenant(const std::string& tenant, int status) {
  if (tenant.empty()) {
    return;
  }
  const bool known = countedTenants_.count(tenant) != 0;
  const bool named = known || countedTenants_.size() < kMostCountedTenants;
  if (named) {
    countedTenants_.insert(tenant);
  }
  metrics_.count(status == kTooManyRequests ? "walnut_gateway_tenant_over_quota_total"
                                            : "walnut_gateway_tenant_requests_total",
                 named ? tenant : std::string("other"));
}

void Gateway::noteLease(base::TimePoint now) {
  const bool valid = lease_.valid(now);
  if (std::exchange(leaseNoted_, valid) == valid) {
    return;
  }
  log_.write(valid ? LogEvent::keysConfirmed : LogEvent::keysUnconfirmed,
             {{"document", documentVersion()},
              {"age-millis", millisOf(lease_.age(now).value_or(base::Duration::zero()))},
              {"lease-millis", millisOf(lease_.lasts())}});
}

std::uint64_t Gateway::keysInForce() const {
  return document_ != nullptr && lease_.valid(scheduler_.readClock()) ? documentVersion() : 0;
}

/// While no document needs keys nobody is asked.
void Gateway::askForDocument() {
  if (document_ == nullptr || !document_->keyed) {
    return;
  }
  const base::TimePoint now = scheduler_.readClock();
  noteLease(now);
  leaseTimer_->enableAt(now + lease_.lasts() / kQuestionsPerLease);
  if (session_.following()) {
    session_.send(lease_.ask(now));
  }
}

void Gateway::documentConfirmed(const registry::DocumentConfirmed& answer) {
  const bool first = !prepared();
  lease_.confirmed(answer, documentVersion());
  noteLease(scheduler_.readClock());
  if (first && prepared() && !early_.empty()) {
    scheduler_.runSoon([this] { routeEarly(); });
  }
}

// Quotas

void Gateway::waitForQuota(UnpaidRequest unpaid) {
  const std::string& tenant = unpaid.facts.tenant;
  if (unpaidCount_ >= kMostUnpaid) {
    refuse(*unpaid.sink, unpaid.facts.requestId, kUnavailable, "too many wait for their quota",
           kRetryAfterRefusal, tenant);
    return;
  }
  const base::Duration patience = std::min(kLongestWait, unpaid.route->targetLatency);
  unpaid.until = unpaid.arrivedAt + patience;
  quota_.waitBegan(tenant, unpaid.facts.quotaCost);
  ++unpaidCount_;
  UnpaidRequests& waiting = unpaid_[tenant];
  waiting.push_back(std::move(unpaid));
  const auto entry = std::prev(waiting.end());
  entry->sink->setGoneCallback([this, entry] {
    const std::string name = entry->facts.tenant;
    quota_.waitEnded(name, entry->facts.quotaCost);
    --unpaidCount_;
    UnpaidRequests& list = unpaid_[name];
    list.erase(entry);
    if (list.empty()) {
      unpaid_.erase(name);
    }
  });
  quotaTimer_->enableAt(scheduler_.now() + kUnpaidReview);
  askForQuotaSoon();
}

/// One question for all that came within a turn.
void Gateway::askForQuotaSoon() {
  if (!std::exchange(quotaSoon_, true)) {
    scheduler_.runSoon([this] {
      quotaSoon_ = false;
      askForQuota(false);
    });
  }
}

void Gateway::askForQuota(bool all) {
  if (!session_.following()) {
    return;
  }
  if (auto request = quota_.ask(all, scheduler_.now())) {
    for (auto& [tenant, waiting] : unpaid_) {
      for (UnpaidRequest& unpaid : waiting) {
        unpaid.question = unpaid.question == 0 ? request->sequence : unpaid.question;
      }
    }
    session_.send(std::move(*request));
  }
}

void Gateway::quotaGranted(const registry::QuotaGrant& grant) {
  if (!quota_.granted(grant, scheduler_.now())) {
    return;
  }
  for (const registry::QuotaShare& share : grant.shares) {
    settleUnpaid(share.owner, grant.sequence, share.retryAfter);
  }
  if (unpaidCount_ > 0) {
    askForQuotaSoon();
  }
  if (!quota_.empty()) {
    quotaTimer_->enableAt(scheduler_.now() +
                          (unpaidCount_ > 0 ? kUnpaidReview : QuotaAccount::kInterval));
  }
}

/// In the order in which they came; those that the answer was not about wait for the next one.
void Gateway::settleUnpaid(const std::string& tenant, std::uint64_t question,
                           base::Duration retryAfter) {
  const auto found = unpaid_.find(tenant);
  if (found == unpaid_.end()) {
    return;
  }
  UnpaidRequests waiting = std::move(found->second);
  unpaid_.erase(found);
  UnpaidRequests rest;
  while (!waiting.empty()) {
    const auto entry = waiting.begin();
    const double cost = entry->facts.quotaCost;
    const bool asked = entry->question != 0 && entry->question <= question;
    const bool paid = quota_.take(tenant, cost, scheduler_.now());
    if (!paid && (!asked || retryAfter == base::Duration::zero())) {
      entry->question = asked ? 0 : entry->question;
      rest.splice(rest.end(), waiting, entry);
      continue;
    }
    quota_.waitEnded(tenant, cost);
    --unpaidCount_;
    entry->sink->setGoneCallback(nullptr);
    UnpaidRequest settled = std::move(*entry);
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
    unpaid_[tenant].splice(unpaid_[tenant].begin(), rest);
  }
}

/// Refuses what has waited too long: nobody leads, or the leader does not answer. It is not known
/// to be above its quota.
void Gateway::reviewQuota() {
  const base::TimePoint now = scheduler_.now();
  std::vector<UnpaidRequest> late;
  for (auto& [tenant, waiting] : unpaid_) {
    for (auto entry = waiting.begin(); entry != waiting.end();) {
      if (now < entry->until) {
        ++entry;
        continue;
      }
      quota_.waitEnded(tenant, entry->facts.quotaCost);
      --unpaidCount_;
      entry->sink->setGoneCallback(nullptr);
      late.push_back(std::move(*entry));
      entry = waiting.erase(entry);
    }
  }
  std::erase_if(unpaid_, [](const auto& entry) { return entry.second.empty(); });
  for (const UnpaidRequest& unpaid : late) {
    refuse(*unpaid.sink, unpaid.facts.requestId, kUnavailable, "quota is not confirmed",
           kRetryAfterUnconfirmed, unpaid.facts.tenant);
  }
  askForQuota(unpaidCount_ == 0);
  if (!quota_.empty()) {
    quotaTimer_->enableAt(now + (unpaidCount_ > 0 ? kUnpaidReview : QuotaAccount::kInterval));
  }
}

}  // namespace walnut::gateway
