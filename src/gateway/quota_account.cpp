#include "gateway/quota_account.h"

#include <algorithm>
#include <numeric>

namespace walnut::gateway {

namespace {

/// Seconds of mean spending that are held in advance: somewhat longer than a change of leader
/// takes. Nothing is held in advance for a tenant whose requests come here less often than that.
constexpr double kAheadSeconds = 1.5;
constexpr double kMeanWeight = 0.2;
/// Time after a grant of less than needed during which the owner counts as short of quota.
constexpr base::Duration kShortFor = std::chrono::seconds(2);
/// Time after which an unanswered request is replaced: a leader answers within a few ms, or has
/// lost its lease and drops the request.
constexpr base::Duration kAnswerPatience = std::chrono::milliseconds(250);
/// Time for which the leader's answer that quota is short is trusted, without asking again.
constexpr base::Duration kShortTrust = std::chrono::milliseconds(100);
/// Time after the last demand for an owner during which one unit is held in advance.
constexpr base::Duration kWantedFor = std::chrono::seconds(1);
/// Time without a request after which an owner is removed.
constexpr base::Duration kForgottenAfter = std::chrono::seconds(10);

}  // namespace

void QuotaAccount::expire(Account& account, base::TimePoint now) {
  if (now >= account.until) {
    account.held = 0;
  }
}

bool QuotaAccount::take(const std::string& owner, double cost, base::TimePoint now) {
  Account& account = accounts_[owner];
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

void QuotaAccount::giveBack(const std::string& owner, double cost, base::TimePoint now) {
  const auto found = accounts_.find(owner);
  if (found != accounts_.end() && now < found->second.until) {
    found->second.held += cost;
  }
}

void QuotaAccount::waitBegan(const std::string& owner, double cost) {
  accounts_[owner].needs.push_back(cost);
}

void QuotaAccount::waitEnded(const std::string& owner, double cost) {
  std::deque<double>& needs = accounts_[owner].needs;
  const auto found = std::find(needs.begin(), needs.end(), cost);
  if (found != needs.end()) {
    needs.erase(found);
  }
}

bool QuotaAccount::covers(const std::string& owner, double cost, base::TimePoint now) const {
  const auto found = accounts_.find(owner);
  return found != accounts_.end() && now < found->second.until && found->second.held >= cost;
}

void QuotaAccount::noteWanted(const std::string& owner, base::TimePoint now) {
  accounts_[owner].usedAt = now;
}

std::optional<base::Duration> QuotaAccount::shortFor(const std::string& owner,
                                                     base::TimePoint now) const {
  const auto found = accounts_.find(owner);
  if (found == accounts_.end() || !found->second.wasShort ||
      now >= found->second.shortAt + kShortTrust || now >= found->second.moreAt) {
    return std::nullopt;
  }
  return found->second.moreAt - now;
}

/// While the tenant's quota is exhausted nothing is held in advance: other gateways need it.
bool QuotaAccount::isShort(const Account& account, base::TimePoint now) {
  return account.wasShort && now < account.shortAt + kShortFor;
}

QuotaAccount::Reserve QuotaAccount::reserveOf(const Account& account, base::TimePoint now) const {
  if (ahead_ == AheadOfNeed::oneUnit) {
    const double wanted = now < account.usedAt + kWantedFor ? 1 : 0;
    return {wanted, wanted};
  }
  if (isShort(account, now)) {
    return {};
  }
  const double spending = account.spending.perSecond(now);
  const bool often = kAheadSeconds * spending >= account.meanCost;
  const double wanted = often ? kAheadSeconds * spending : 0;
  return {wanted, 2 * wanted + account.meanCost};
}

registry::QuotaClaim QuotaAccount::claimOf(const std::string& owner, Account& account,
                                           base::TimePoint now) const {
  expire(account, now);
  const Reserve reserve = reserveOf(account, now);
  const double needed = std::accumulate(account.needs.begin(), account.needs.end(), 0.0);
  registry::QuotaClaim claim;
  claim.owner = owner;
  claim.returned = std::max(0.0, account.held - needed - reserve.most);
  account.held -= claim.returned;
  claim.held = account.held;
  claim.needed = std::max(0.0, needed - account.held);
  claim.first = account.needs.empty() ? 0 : std::max(0.0, account.needs.front() - account.held);
  claim.ahead = std::max(0.0, reserve.wanted - std::max(0.0, account.held - needed));
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
  for (auto& [owner, account] : accounts_) {
    const bool idle = account.held > 0 && isShort(account, now);
    if (all || !account.needs.empty() || idle) {
      request.claims.push_back(claimOf(owner, account, now));
      question.owners.push_back(owner);
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
  for (const std::string& owner : open_->owners) {
    const auto found = accounts_.find(owner);
    if (found != accounts_.end()) {
      found->second.until = open_->askedAt + registry::kQuotaLease;
    }
  }
  for (const registry::QuotaShare& share : grant.shares) {
    Account& account = accounts_[share.owner];
    account.held += share.granted;
    if (share.retryAfter > base::Duration::zero()) {
      account.wasShort = true;
      account.shortAt = now;
      account.moreAt = now + share.retryAfter;
    }
  }
  open_.reset();
  return true;
}

}  // namespace walnut::gateway
