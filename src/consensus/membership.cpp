#include "consensus/membership.h"

#include <map>

namespace walnut::consensus {

namespace {

using MemberMap = std::map<base::ServerId, Member>;

base::Error refused(const char* detail) {
  return base::Error{base::ErrorCode::outOfRange, "membership", detail};
}

base::Result<MemberMap> toMap(const Membership& membership) {
  MemberMap members;
  for (const Member& member : membership.members) {
    if (member.id == base::ServerId{}) {
      return refused("a member has no id");
    }
    if (!members.emplace(member.id, member).second) {
      return refused("a member is listed twice");
    }
  }
  return members;
}

/// @return the change between two states of the same member, which must be a promotion.
base::Result<MembershipChange> checkPromotion(const Member& before, const Member& after) {
  Member promoted = before;
  promoted.role = MemberRole::voter;
  if (before.role != MemberRole::learner || after != promoted) {
    return refused("a member can only be added, promoted or removed");
  }
  return MembershipChange{MembershipChangeKind::learnerPromoted, after.id};
}

}  // namespace

const Member* findMember(const Membership& membership, base::ServerId server) {
  for (const Member& member : membership.members) {
    if (member.id == server) {
      return &member;
    }
  }
  return nullptr;
}

bool isVoter(const Membership& membership, base::ServerId server) {
  const Member* member = findMember(membership, server);
  return member != nullptr && member->role == MemberRole::voter;
}

std::vector<base::ServerId> votersOf(const Membership& membership) {
  std::vector<base::ServerId> voters;
  for (const Member& member : membership.members) {
    if (member.role == MemberRole::voter) {
      voters.push_back(member.id);
    }
  }
  return voters;
}

base::Result<MembershipChange> checkMembershipChange(const Membership& current,
                                                     const Membership& next) {
  BOOST_OUTCOME_TRY(before, toMap(current));
  BOOST_OUTCOME_TRY(after, toMap(next));
  std::vector<MembershipChange> changes;
  for (const auto& [id, member] : after) {
    const auto old = before.find(id);
    if (old == before.end()) {
      if (member.role != MemberRole::learner) {
        return refused("a new member must begin as a learner");
      }
      changes.push_back({MembershipChangeKind::learnerAdded, id});
    } else if (old->second != member) {
      BOOST_OUTCOME_TRY(change, checkPromotion(old->second, member));
      changes.push_back(change);
    }
  }
  for (const auto& [id, member] : before) {
    if (after.count(id) == 0) {
      changes.push_back({MembershipChangeKind::memberRemoved, id});
    }
  }
  if (changes.size() != 1) {
    return refused("exactly one member must differ");
  }
  if (votersOf(next).empty()) {
    return refused("no voter is left");
  }
  return changes.front();
}

const IndexedMembership& MembershipHistory::at(LogIndex index) const {
  auto found = history_.begin();
  for (auto next = history_.begin(); next != history_.end() && next->index <= index; ++next) {
    found = next;
  }
  return *found;
}

void MembershipHistory::truncateFrom(LogIndex index) {
  while (history_.size() > 1 && history_.back().index >= index) {
    history_.pop_back();
  }
}

void MembershipHistory::dropUpTo(LogIndex index) {
  while (history_.size() > 1 && history_[1].index <= index) {
    history_.erase(history_.begin());
  }
}

void MembershipHistory::reset(IndexedMembership base) {
  history_.clear();
  history_.push_back(std::move(base));
}

}  // namespace walnut::consensus
