#include "control/claim_table.h"

#include <algorithm>
#include <utility>

namespace walnut::control {

ClaimOutcome ClaimTable::claim(const ClaimKey& claim, base::TimePoint now) {
  expire(now);
  const auto found = claims_.find(claim.key);
  if (found != claims_.end()) {
    const bool repeated = found->second.request == claim.request;
    return repeated ? ClaimOutcome::granted : ClaimOutcome::duplicate;
  }
  const base::TimePoint earliestIssue = std::max(now - window_, foundedAt_);
  if (claim.issuedAt < earliestIssue || claim.issuedAt > now + clockSkew_) {
    return ClaimOutcome::expired;
  }
  const auto granted = claims_.emplace(claim.key, Claim{claim.request, now}).first;
  oldestFirst_.push_back(granted);
  return ClaimOutcome::granted;
}

void ClaimTable::expire(base::TimePoint now) {
  const base::TimePoint keepFrom = now - window_ - clockSkew_;
  while (!oldestFirst_.empty() && oldestFirst_.front()->second.claimedAt < keepFrom) {
    claims_.erase(oldestFirst_.front());
    oldestFirst_.pop_front();
  }
}

void ClaimTable::restore(std::map<std::string, Claim> claims) {
  claims_ = std::move(claims);
  oldestFirst_.clear();
  for (auto claim = claims_.cbegin(); claim != claims_.cend(); ++claim) {
    oldestFirst_.push_back(claim);
  }
  std::stable_sort(oldestFirst_.begin(), oldestFirst_.end(), [](const auto& a, const auto& b) {
    return a->second.claimedAt < b->second.claimedAt;
  });
}

}  // namespace walnut::control
