#include "registry/membership_policy.h"

#include <algorithm>

namespace walnut::registry {

namespace {

using consensus::Member;
using consensus::MemberRole;
using consensus::Membership;

std::size_t voterCount(const Membership& membership) {
  return static_cast<std::size_t>(
      std::count_if(membership.members.begin(), membership.members.end(),
                    [](const Member& member) { return member.role == MemberRole::voter; }));
}

const Member* find(const Membership& membership, base::ServerId server) {
  for (const Member& member : membership.members) {
    if (member.id == server) {
      return &member;
    }
  }
  return nullptr;
}

Membership without(const Membership& membership, base::ServerId server) {
  Membership next = membership;
  std::erase_if(next.members, [server](const Member& member) { return member.id == server; });
  return next;
}

Membership promoted(const Membership& membership, base::ServerId server) {
  Membership next = membership;
  for (Member& member : next.members) {
    if (member.id == server) {
      member.role = MemberRole::voter;
    }
  }
  return next;
}

}  // namespace

bool majorityExceedsLosses(const Membership& membership, std::uint32_t tolerableLosses) {
  return voterCount(membership) / 2 + 1 > tolerableLosses;
}

MembershipPolicy::MembershipPolicy(const MembershipPolicyOptions& options, base::TimePoint now)
    : options_(options), since_(now) {}

void MembershipPolicy::addJoinRequest(const Member& member, const Membership& membership,
                                      base::TimePoint now) {
  if (find(membership, member.id) != nullptr) {
    return;
  }
  for (const Member& other : membership.members) {
    if (other.peerEndpoint == member.peerEndpoint) {
      lostServers_.insert(other.id);
    }
  }
  std::erase_if(applicants_, [&member](const auto& entry) {
    return entry.second.member.peerEndpoint == member.peerEndpoint;
  });
  Member learner = member;
  learner.role = MemberRole::learner;
  applicants_[member.id] = {learner, now};
}

base::Duration MembershipPolicy::timeSinceContact(base::ServerId server,
                                                  base::TimePoint now) const {
  const auto found = lastContact_.find(server);
  return now - (found == lastContact_.end() ? since_ : std::max(since_, found->second));
}

std::size_t MembershipPolicy::silentVoters(const Membership& membership, base::ServerId self,
                                           base::TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      membership.members.begin(), membership.members.end(), [&](const Member& member) {
        return member.role == MemberRole::voter && member.id != self &&
               timeSinceContact(member.id, now) > options_.voterTimeout;
      }));
}

std::optional<Membership> MembershipPolicy::nextChange(const Membership& membership,
                                                       base::ServerId self,
                                                       base::TimePoint now) const {
  if (auto admitted = admission(membership, now)) {
    return admitted;
  }
  if (auto replaced = replacement(membership, self, now)) {
    return replaced;
  }
  return expiredLearner(membership, now);
}

std::optional<Membership> MembershipPolicy::admission(const Membership& membership,
                                                      base::TimePoint now) const {
  for (const auto& [id, applicant] : applicants_) {
    const bool expired = now - applicant.requestedAt > options_.requestLifetime;
    if (!expired && find(membership, id) == nullptr) {
      Membership next = membership;
      next.members.push_back(applicant.member);
      return next;
    }
  }
  return std::nullopt;
}

std::optional<Membership> MembershipPolicy::replacement(const Membership& membership,
                                                        base::ServerId self,
                                                        base::TimePoint now) const {
  const Member* ready = nullptr;
  const Member* failed = nullptr;
  for (const Member& member : membership.members) {
    const bool lost = lostServers_.count(member.id) != 0;
    const base::Duration silence = timeSinceContact(member.id, now);
    if (member.role == MemberRole::learner) {
      const bool hasContact = lastContact_.count(member.id) != 0;
      if (!lost && hasContact && silence < options_.voterTimeout) {
        ready = &member;
      }
    } else if (member.id != self && (lost || silence > options_.voterTimeout)) {
      failed = failed == nullptr || lost ? &member : failed;
    }
  }
  if (ready == nullptr) {
    return std::nullopt;
  }
  const std::size_t requiredVoters = 2 * static_cast<std::size_t>(options_.tolerableLosses) + 1;
  const std::size_t voters = voterCount(membership);
  if (voters < requiredVoters) {
    return promoted(membership, ready->id);
  }
  if (failed != nullptr) {
    return without(membership, failed->id);
  }
  return std::nullopt;
}

std::optional<Membership> MembershipPolicy::expiredLearner(const Membership& membership,
                                                           base::TimePoint now) const {
  for (const Member& member : membership.members) {
    if (member.role != MemberRole::learner) {
      continue;
    }
    if (lostServers_.count(member.id) != 0 ||
        timeSinceContact(member.id, now) > options_.learnerTimeout) {
      return without(membership, member.id);
    }
  }
  return std::nullopt;
}

}  // namespace walnut::registry
