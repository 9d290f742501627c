#include "consensus/membership.h"

#include <iterator>
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

/// Collects the differences between two memberships, by kind.
class MembershipComparison {
 public:
  MembershipComparison(const MemberMap& before, const MemberMap& after) {
    for (const auto& [id, member] : after) {
      const auto old = before.find(id);
      if (old == before.end()) {
        addNew(member);
      } else if (old->second != member) {
        addChanged(old->second, member);
      }
    }
    for (const auto& [id, member] : before) {
      if (after.count(id) == 0) {
        change_.removed.push_back(id);
        (member.role == MemberRole::learner ? removedLearners_ : removedVoters_) += 1;
      }
    }
  }

  /// @return the change, or `outOfRange` if the differences are of no kind, or of several.
  base::Result<MembershipChange> result(const Membership& current, const Membership& next) {
    const std::size_t learners = change_.added.size() + removedLearners_;
    const std::size_t promoted = change_.promoted.size();
    const std::size_t roles = promoted + becameIncoming_ + becameOutgoing_ + becameVoters_;
    if (isInvalid_ || votersOf(next).empty()) {
      return refused(isInvalid_ ? "not a change of a member's role" : "no voter is left");
    }
    if (roles == 0 && removedVoters_ == 0 && learners > 0) {
      return as(MembershipChangeKind::learners);
    }
    if (isJoint(current)) {
      if (learners == 0 && next == withoutFormerVoters(current)) {
        return as(MembershipChangeKind::replacementDone);
      }
      return refused("a replacement of voters must end first");
    }
    if (learners == 0 && becameIncoming_ > 0 && becameOutgoing_ > 0 &&
        roles == becameIncoming_ + becameOutgoing_ && removedVoters_ == 0) {
      return as(MembershipChangeKind::votersReplaced);
    }
    if (learners + roles + removedVoters_ == 1 && promoted + removedVoters_ == 1) {
      return as(promoted == 1 ? MembershipChangeKind::learnerPromoted
                              : MembershipChangeKind::voterRemoved);
    }
    return refused("exactly one voter must differ, or voters be replaced");
  }

 private:
  void addNew(const Member& member) {
    isInvalid_ = isInvalid_ || member.role != MemberRole::learner;
    change_.added.push_back(member.id);
  }

  void addChanged(const Member& before, const Member& after) {
    Member sameRole = after;
    sameRole.role = before.role;
    const auto becomes = [&](MemberRole from, MemberRole to) {
      return sameRole == before && before.role == from && after.role == to;
    };
    if (becomes(MemberRole::learner, MemberRole::voter)) {
      change_.promoted.push_back(after.id);
    } else if (becomes(MemberRole::learner, MemberRole::incoming)) {
      ++becameIncoming_;
    } else if (becomes(MemberRole::voter, MemberRole::outgoing)) {
      ++becameOutgoing_;
    } else if (becomes(MemberRole::incoming, MemberRole::voter)) {
      ++becameVoters_;
    } else {
      isInvalid_ = true;
    }
  }

  base::Result<MembershipChange> as(MembershipChangeKind kind) {
    change_.kind = kind;
    return std::move(change_);
  }

  MembershipChange change_;
  bool isInvalid_ = false;
  std::size_t removedLearners_ = 0;
  std::size_t removedVoters_ = 0;
  std::size_t becameIncoming_ = 0;
  std::size_t becameOutgoing_ = 0;
  std::size_t becameVoters_ = 0;
};

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
  return member != nullptr && member->role != MemberRole::learner;
}

std::vector<base::ServerId> votersOf(const Membership& membership) {
  std::vector<base::ServerId> voters;
  for (const Member& member : membership.members) {
    if (member.role != MemberRole::learner) {
      voters.push_back(member.id);
    }
  }
  return voters;
}

bool isJoint(const Membership& membership) {
  return std::any_of(
      membership.members.begin(), membership.members.end(), [](const Member& member) {
        return member.role == MemberRole::incoming || member.role == MemberRole::outgoing;
      });
}

Membership withoutFormerVoters(const Membership& membership) {
  Membership next = membership;
  std::erase_if(next.members,
                [](const Member& member) { return member.role == MemberRole::outgoing; });
  for (Member& member : next.members) {
    if (member.role == MemberRole::incoming) {
      member.role = MemberRole::voter;
    }
  }
  return next;
}

bool haveSameVoters(const Membership& left, const Membership& right) {
  const auto rolesOf = [](const Membership& membership) {
    std::map<base::ServerId, MemberRole> roles;
    for (const Member& member : membership.members) {
      if (member.role != MemberRole::learner) {
        roles.emplace(member.id, member.role);
      }
    }
    return roles;
  };
  return rolesOf(left) == rolesOf(right);
}

base::Result<MembershipChange> checkMembershipChange(const Membership& current,
                                                     const Membership& next) {
  BOOST_OUTCOME_TRY(before, toMap(current));
  BOOST_OUTCOME_TRY(after, toMap(next));
  auto change = MembershipComparison(before, after).result(current, next);
  if (change || !isJoint(current)) {
    return change;
  }
  const Membership ended = withoutFormerVoters(current);
  BOOST_OUTCOME_TRY(members, toMap(ended));
  BOOST_OUTCOME_TRY(following, MembershipComparison(members, after).result(ended, next));
  if (following.kind != MembershipChangeKind::votersReplaced) {
    return refused("a replacement of voters must end first");
  }
  following.kind = MembershipChangeKind::replacementFollowed;
  for (const Member& member : current.members) {
    if (member.role == MemberRole::outgoing) {
      following.removed.push_back(member.id);
    }
  }
  return following;
}

const IndexedMembership& MembershipHistory::at(LogIndex index) const {
  auto found = history_.begin();
  for (auto next = history_.begin(); next != history_.end() && next->index <= index; ++next) {
    found = next;
  }
  return *found;
}

LogIndex MembershipHistory::votersSince() const {
  auto oldest = history_.rbegin();
  for (auto next = std::next(oldest); next != history_.rend(); ++next) {
    if (!haveSameVoters(next->membership, oldest->membership)) {
      break;
    }
    oldest = next;
  }
  return oldest->index;
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
