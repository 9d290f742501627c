#include "control/member_change.h"

#include <algorithm>
#include <utility>

namespace walnut::control {

namespace {
/// Longest time that a learner waits for its promotion after it has caught up.
constexpr base::Duration kPromotionInterval = std::chrono::milliseconds(200);
}  // namespace

base::Result<std::optional<consensus::Membership>> membershipAfter(
    const consensus::Membership& current, const protocol::ChangeMember& change) {
  consensus::Membership next = current;
  const auto found =
      std::find_if(next.members.begin(), next.members.end(),
                   [&](const consensus::Member& member) { return member.id == change.member.id; });
  const bool present = found != next.members.end();
  if (change.remove) {
    if (!present) {
      return std::optional<consensus::Membership>{};
    }
    next.members.erase(found);
    return std::optional<consensus::Membership>{std::move(next)};
  }
  if (present) {
    const bool same = found->peerEndpoint == change.member.peerEndpoint;
    if (same) {
      return std::optional<consensus::Membership>{};
    }
    return base::Error{base::ErrorCode::alreadyExists, "member.id",
                       "in use for a server at another endpoint"};
  }
  next.members.push_back(change.member);
  next.members.back().role = consensus::MemberRole::learner;
  return std::optional<consensus::Membership>{std::move(next)};
}

void LearnerPromotion::tick(base::TimePoint now, consensus::Raft& raft) {
  if (now < nextAttemptAt_) {
    return;
  }
  nextAttemptAt_ = now + kPromotionInterval;
  const consensus::RaftStatus status = raft.status();
  if (status.commitIndex < status.membershipIndex) {
    return;
  }
  for (const consensus::Member& member : status.membership.members) {
    if (member.role != consensus::MemberRole::learner) {
      continue;
    }
    consensus::Membership next = status.membership;
    for (consensus::Member& candidate : next.members) {
      if (candidate.id == member.id) {
        candidate.role = consensus::MemberRole::voter;
      }
    }
    if (raft.changeMembership(now, next).has_value()) {
      return;
    }
  }
}

}  // namespace walnut::control
