#include "gateway/quota_account.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace walnut::gateway {

namespace {

/// Seconds of mean spending that are held in advance: somewhat longer than a change of leader
/// takes. Nothing is held in advance for a tenant whose requests come here less often than that.
constexpr double kReserveSeconds = 1.5;
constexpr double kMeanWeight = 0.2;
/// Time after a grant of less than needed during which the owner counts as short of quota.
constexpr base::Duration kShortageDuration = std::chrono::seconds(2);
/// Time after which an unanswered request is replaced: a leader answers within a few ms, or has
/// lost its lease and drops the request.
constexpr base::Duration kAnswerTimeout = std::chrono::milliseconds(250);
/// Time for which the leader's answer that quota is short is trusted, without asking again.
constexpr base::Duration kShortageValidity = std::chrono::milliseconds(100);
/// Time after the last demand for an owner during which one unit is held in advance.
constexpr base::Duration kDemandDuration = std::chrono::seconds(1);
/// Time without a request after which an owner is removed.
constexpr base::Duration kAccountExpiry = std::chrono::seconds(10);

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

void QuotaAccount::refund(const std::string& owner, double cost, base::TimePoint now) {
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

void QuotaAccount::recordDemand(const std::string& owner, base::TimePoint now) {
  accounts_[owner].usedAt = now;
}

std::optional<base::Duration> QuotaAccount::shortageLeft(const std::string& owner,
                                                         base::TimePoint now) const {
  const auto found = accounts_.find(owner);
  if (found == accounts_.end() || !found->second.wasShort ||
      now >= found->second.shortAt + kShortageValidity || now >= found->second.moreAvailableAt) {
    return std::nullopt;
  }
  return found->second.moreAvailableAt - now;
}

/// While the tenant's quota is exhausted nothing is held in advance: other gateways need it.
bool QuotaAccount::isShort(const Account& account, base::TimePoint now) {
  return account.wasShort && now < account.shortAt + kShortageDuration;
}

QuotaAccount::Reserve QuotaAccount::reserveOf(const Account& account, base::TimePoint now) const {
  if (reservePolicy_ == ReservePolicy::oneUnit) {
    const double target = now < account.usedAt + kDemandDuration ? 1 : 0;
    return {target, target};
  }
  if (isShort(account, now)) {
    return {};
  }
  const double spending = account.spending.perSecond(now);
  const bool often = kReserveSeconds * spending >= account.meanCost;
  const double target = often ? kReserveSeconds * spending : 0;
  return {target, 2 * target + account.meanCost};
}

registry::QuotaClaim QuotaAccount::claimOf(const std::string& owner, Account& account,
                                           base::TimePoint now) const {
  expire(account, now);
  const Reserve reserve = reserveOf(account, now);
  const double needed = std::accumulate(account.needs.begin(), account.needs.end(), 0.0);
  registry::QuotaClaim claim;
  claim.owner = owner;
  claim.returned = std::max(0.0, account.held - needed - reserve.maximum);
  account.held -= claim.returned;
  claim.held = account.held;
  claim.needed = std::max(0.0, needed - account.held);
  claim.first = account.needs.empty() ? 0 : std::max(0.0, account.needs.front() - account.held);
  claim.ahead = std::max(0.0, reserve.target - std::max(0.0, account.held - needed));
  return claim;
}

std::optional<registry::QuotaRequest> QuotaAccount::makeRequest(bool all, base::TimePoint now) {
  if (openRequest_ && now < openRequest_->requestedAt + kAnswerTimeout) {
    return std::nullopt;
  }
  const std::optional<OpenRequest> replaced = std::exchange(openRequest_, std::nullopt);
  std::erase_if(accounts_, [now](const auto& entry) {
    return entry.second.needs.empty() && now >= entry.second.usedAt + kAccountExpiry;
  });
  registry::QuotaRequest request;
  OpenRequest sentRequest;
  for (auto& [owner, account] : accounts_) {
    const bool idle = account.held > 0 && isShort(account, now);
    if (all || !account.needs.empty() || idle) {
      request.claims.push_back(claimOf(owner, account, now));
      sentRequest.owners.push_back(owner);
    }
  }
  if (request.claims.empty()) {
    return std::nullopt;
  }
  request.sequence = ++lastSequence_;
  sentRequest.sequence = request.sequence;
  sentRequest.requestedAt = now;
  sentRequest.unansweredSince = replaced ? replaced->unansweredSince : now;
  openRequest_ = std::move(sentRequest);
  return request;
}

std::optional<base::TimePoint> QuotaAccount::unansweredSince(base::TimePoint heardAt) const {
  if (!openRequest_ || heardAt >= openRequest_->requestedAt) {
    return std::nullopt;
  }
  return heardAt < openRequest_->unansweredSince ? openRequest_->unansweredSince
                                                 : openRequest_->requestedAt;
}

bool QuotaAccount::grantReceived(const registry::QuotaGrant& grant, base::TimePoint now) {
  if (!openRequest_ || grant.sequence != openRequest_->sequence) {
    return false;
  }
  for (const std::string& owner : openRequest_->owners) {
    const auto found = accounts_.find(owner);
    if (found != accounts_.end()) {
      found->second.until = openRequest_->requestedAt + registry::kQuotaLease;
    }
  }
  for (const registry::QuotaShare& share : grant.shares) {
    Account& account = accounts_[share.owner];
    account.held += share.granted;
    if (share.retryAfter > base::Duration::zero()) {
      account.wasShort = true;
      account.shortAt = now;
      account.moreAvailableAt = now + share.retryAfter;
    }
  }
  openRequest_.reset();
  return true;
}

}  // namespace walnut::gateway
