#include "gateway/quota_account.h"

#include <algorithm>
#include <numeric>

namespace walnut::gateway {

namespace {

/// Of the mean spending here, held ahead: somewhat longer than a change of leader takes. Nothing is
/// held ahead of a tenant whose requests come here less often than that.
constexpr double kAheadSeconds = 1.5;
constexpr double kMeanWeight = 0.2;
/// After an answer that told of too little.
constexpr base::Duration kShortFor = std::chrono::seconds(2);
/// A leader answers within some ms, or has lost its lease and drops the question.
constexpr base::Duration kAnswerPatience = std::chrono::milliseconds(250);
/// A tenant without a request for so long is asked for no more.
constexpr base::Duration kForgottenAfter = std::chrono::seconds(10);

}  // namespace

void QuotaAccount::expire(Account& account, base::TimePoint now) {
  if (now >= account.until) {
    account.held = 0;
  }
}

bool QuotaAccount::take(const std::string& tenant, double cost, base::TimePoint now) {
  Account& account = accounts_[tenant];
  expire(account, now);
  account.usedAt = now;
  if (account.held < cost) {
    return false;
  }
  account.held -= cost;
  account.spending.count(now, cost);
  account.meanCost =
      account.meanCost == 0 ? cost : (1 - kMeanWeight) * account.meanCost + kMeanWeight * cost;
  return true;
}

void QuotaAccount::giveBack(const std::string& tenant, double cost, base::TimePoint now) {
  const auto found = accounts_.find(tenant);
  if (found != accounts_.end() && now < found->second.until) {
    found->second.held += cost;
  }
}

void QuotaAccount::waitBegan(const std::string& tenant, double cost) {
  accounts_[tenant].needs.push_back(cost);
}

void QuotaAccount::waitEnded(const std::string& tenant, double cost) {
  std::deque<double>& needs = accounts_[tenant].needs;
  const auto found = std::find(needs.begin(), needs.end(), cost);
  if (found != needs.end()) {
    needs.erase(found);
  }
}

/// While the tenant's quota is used up nothing is held without need: it would be missed elsewhere.
bool QuotaAccount::isShort(const Account& account, base::TimePoint now) {
  return account.wasShort && now < account.shortAt + kShortFor;
}

registry::QuotaClaim QuotaAccount::claimOf(const std::string& tenant, Account& account,
                                           base::TimePoint now) {
  expire(account, now);
  const double spending = account.spending.perSecond(now);
  const bool lacking = isShort(account, now);
  const bool often = kAheadSeconds * spending >= account.meanCost;
  const double wanted = often && !lacking ? kAheadSeconds * spending : 0;
  const double needed = std::accumulate(account.needs.begin(), account.needs.end(), 0.0);
  const double most = needed + (lacking ? 0 : 2 * wanted + account.meanCost);
  registry::QuotaClaim claim;
  claim.tenant = tenant;
  claim.returned = std::max(0.0, account.held - most);
  account.held -= claim.returned;
  claim.held = account.held;
  claim.needed = std::max(0.0, needed - account.held);
  claim.first = account.needs.empty() ? 0 : std::max(0.0, account.needs.front() - account.held);
  claim.ahead = std::max(0.0, wanted - std::max(0.0, account.held - needed));
  return claim;
}

std::optional<registry::QuotaRequest> QuotaAccount::ask(bool all, base::TimePoint now) {
  if (open_ && now < open_->askedAt + kAnswerPatience) {
    return std::nullopt;
  }
  open_.reset();
  std::erase_if(accounts_, [now](const auto& entry) {
    return entry.second.needs.empty() && now >= entry.second.usedAt + kForgottenAfter;
  });
  registry::QuotaRequest request;
  Question question;
  for (auto& [tenant, account] : accounts_) {
    const bool idle = account.held > 0 && isShort(account, now);
    if (all || !account.needs.empty() || idle) {
      request.claims.push_back(claimOf(tenant, account, now));
      question.tenants.push_back(tenant);
    }
  }
  if (request.claims.empty()) {
    return std::nullopt;
  }
  request.sequence = ++lastSequence_;
  question.sequence = request.sequence;
  question.askedAt = now;
  open_ = std::move(question);
  return request;
}

bool QuotaAccount::granted(const registry::QuotaGrant& grant, base::TimePoint now) {
  if (!open_ || grant.sequence != open_->sequence) {
    return false;
  }
  for (const std::string& tenant : open_->tenants) {
    const auto found = accounts_.find(tenant);
    if (found != accounts_.end()) {
      found->second.until = open_->askedAt + registry::kQuotaLease;
    }
  }
  for (const registry::QuotaShare& share : grant.shares) {
    Account& account = accounts_[share.tenant];
    account.held += share.granted;
    if (share.retryAfter > base::Duration::zero()) {
      account.wasShort = true;
      account.shortAt = now;
    }
  }
  open_.reset();
  return true;
}

}  // namespace walnut::gateway
