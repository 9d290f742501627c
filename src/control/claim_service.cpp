#include "control/claim_service.h"

#include <utility>

namespace walnut::control {

namespace {
/// Limits the size of an entry to far below the largest frame; a claim takes a few hundred bytes.
constexpr std::size_t kMaxClaimsPerEntry = 512;
}  // namespace

void ClaimService::request(protocol::ConnectionId connection,
                           const protocol::ClaimRequest& request) {
  claims_.push_back(request.claim);
  requesters_.push_back({connection, request.sequence});
}

void ClaimService::flush(base::TimePoint now) {
  std::vector<ClaimKey> claims = std::exchange(claims_, {});
  Requesters requesters = std::exchange(requesters_, {});
  for (std::size_t first = 0; first < claims.size(); first += kMaxClaimsPerEntry) {
    const std::size_t last = std::min(claims.size(), first + kMaxClaimsPerEntry);
    const auto begin = static_cast<std::ptrdiff_t>(first);
    const auto end = static_cast<std::ptrdiff_t>(last);
    ClaimKeys batch{{claims.begin() + begin, claims.begin() + end}};
    Requesters waiting(requesters.begin() + begin, requesters.begin() + end);
    const auto index = log_.propose(now, std::move(batch));
    if (index.has_error()) {
      refuse(waiting);
      continue;
    }
    const auto replaced = pending_.add(index.value(), log_.term(), std::move(waiting));
    if (replaced) {
      refuse(*replaced);
    }
  }
}

void ClaimService::applied(const AppliedEntry& entry) {
  const auto settled = pending_.settle(entry);
  if (!settled) {
    return;
  }
  if (!settled->applied) {
    refuse(settled->waiter);
    return;
  }
  for (std::size_t number = 0; number < settled->waiter.size(); ++number) {
    answer(settled->waiter[number], entry.result.claims.at(number));
  }
}

void ClaimService::snapshotInstalled(consensus::LogIndex index) { pending_.dropUpTo(index); }

void ClaimService::answer(const Requester& requester, ClaimOutcome outcome) {
  actions_.emplace_back(
      SendToConnection{requester.connection, protocol::ClaimReply{requester.sequence, outcome}});
}

void ClaimService::refuse(const Requesters& requesters) {
  for (const Requester& requester : requesters) {
    answer(requester, ClaimOutcome::unavailable);
  }
}

}  // namespace walnut::control
