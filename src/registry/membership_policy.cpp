#include "registry/membership_policy.h"

#include <algorithm>
#include <utility>

namespace walnut::registry {

namespace {

using consensus::Member;
using consensus::MemberRole;
using consensus::Membership;

/// @return the number of voters, of the smaller set of them during a replacement.
std::size_t voterCount(const Membership& membership) {
  std::size_t former = 0;
  std::size_t next = 0;
  for (const Member& member : membership.members) {
    former += member.role == MemberRole::voter || member.role == MemberRole::outgoing ? 1 : 0;
    next += member.role == MemberRole::voter || member.role == MemberRole::incoming ? 1 : 0;
  }
  return std::min(former, next);
}

bool isBeingReplaced(const Membership& membership) {
  return std::any_of(membership.members.begin(), membership.members.end(),
                     [](const Member& member) { return member.role > MemberRole::voter; });
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

/// @return the membership once the replacement that is under way has ended.
Membership afterReplacement(const Membership& membership) {
  Membership next = membership;
  std::erase_if(next.members,
                [](const Member& member) { return member.role == MemberRole::outgoing; });
  for (Member& member : next.members) {
    member.role = member.role == MemberRole::incoming ? MemberRole::voter : member.role;
  }
  return next;
}

void setRole(Membership& membership, base::ServerId server, MemberRole role) {
  for (Member& member : membership.members) {
    if (member.id == server) {
      member.role = role;
    }
  }
}

}  // namespace

bool majorityExceedsLosses(const Membership& membership, std::uint32_t tolerableLosses) {
  return voterCount(membership) / 2 + 1 > tolerableLosses;
}

MembershipPolicy::MembershipPolicy(const MembershipPolicyOptions& options,
                                   base::TimePoint leadingSince, base::TimePoint silentSince)
    : options_(options), leadingSince_(leadingSince), silentSince_(silentSince) {}

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
  newcomers_.try_emplace(member.id, now);
  Member learner = member;
  learner.role = MemberRole::learner;
  applicants_[member.id] = {learner, now};
}

base::Duration MembershipPolicy::timeSinceContact(base::ServerId server,
                                                  base::TimePoint now) const {
  const auto found = lastContact_.find(server);
  return now - (found == lastContact_.end() ? silentSince_ : found->second);
}

std::size_t MembershipPolicy::silentVoters(const Membership& membership, base::ServerId self,
                                           base::TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      membership.members.begin(), membership.members.end(), [&](const Member& member) {
        return member.role != MemberRole::learner && member.id != self &&
               timeSinceContact(member.id, now) > options_.voterTimeout;
      }));
}

std::optional<Membership> MembershipPolicy::nextChange(const Membership& membership,
                                                       base::ServerId self,
                                                       ReplacementMethod method,
                                                       base::TimePoint now) const {
  if (auto admitted = admission(membership, now)) {
    return admitted;
  }
  if (isBeingReplaced(membership)) {
    // Another replacement follows on the one under way without a membership between them.
    const Membership next = afterReplacement(membership);
    return voterCount(next) < requiredVoters() ? std::nullopt
                                               : replacement(next, self, method, now);
  }
  if (auto replaced = replacement(membership, self, method, now)) {
    return replaced;
  }
  return expiredLearner(membership, now);
}

std::optional<Membership> MembershipPolicy::admission(const Membership& membership,
                                                      base::TimePoint now) const {
  std::optional<Membership> next;
  for (const auto& [id, applicant] : applicants_) {
    const bool expired = now - applicant.requestedAt > options_.requestLifetime;
    if (!expired && find(membership, id) == nullptr) {
      next = next ? std::move(next) : std::optional(membership);
      next->members.push_back(applicant.member);
    }
  }
  return next;
}

std::vector<base::ServerId> MembershipPolicy::readyLearners(const Membership& membership,
                                                            base::TimePoint now) const {
  std::vector<base::ServerId> ready;
  for (const Member& member : membership.members) {
    const bool hasContact = lastContact_.count(member.id) != 0;
    if (member.role == MemberRole::learner && lostServers_.count(member.id) == 0 && hasContact &&
        timeSinceContact(member.id, now) < options_.voterTimeout) {
      ready.push_back(member.id);
    }
  }
  return ready;
}

bool MembershipPolicy::isNewcomer(base::ServerId server, base::TimePoint now) const {
  const auto found = newcomers_.find(server);
  return found != newcomers_.end() && now < found->second + options_.newcomerTime;
}

base::Duration MembershipPolicy::voterTimeout(const std::vector<base::ServerId>& ready,
                                              base::TimePoint now) const {
  const bool hasNewcomer = std::any_of(
      ready.begin(), ready.end(), [&](base::ServerId learner) { return isNewcomer(learner, now); });
  return hasNewcomer ? options_.replacedVoterTimeout : options_.voterTimeout;
}

bool MembershipPolicy::awaitsNewcomer(const Membership& membership,
                                      const std::vector<base::ServerId>& ready,
                                      base::TimePoint now) const {
  return std::any_of(membership.members.begin(), membership.members.end(),
                     [&](const Member& member) {
                       const auto asked = newcomers_.find(member.id);
                       return member.role == MemberRole::learner && asked != newcomers_.end() &&
                              now < asked->second + options_.newcomerWait &&
                              std::find(ready.begin(), ready.end(), member.id) == ready.end();
                     });
}

std::vector<base::ServerId> MembershipPolicy::failedVoters(const Membership& membership,
                                                           base::ServerId self,
                                                           base::Duration timeout,
                                                           base::TimePoint now) const {
  std::vector<base::ServerId> failed;
  bool isAnyFailed = false;
  const bool couldAnswer = now >= leadingSince_ + options_.answerTime;
  for (const Member& member : membership.members) {
    const bool lost = lostServers_.count(member.id) != 0;
    const bool silent = couldAnswer && !isNewcomer(member.id, now) &&
                        timeSinceContact(member.id, now) > timeout - options_.silenceSpread;
    if (member.role == MemberRole::voter && member.id != self && (lost || silent)) {
      failed.push_back(member.id);
      isAnyFailed = isAnyFailed || lost || timeSinceContact(member.id, now) > timeout;
    }
  }
  if (!isAnyFailed) {
    return {};
  }
  std::sort(failed.begin(), failed.end(), [&](base::ServerId left, base::ServerId right) {
    const auto rank = [&](base::ServerId server) {
      return std::pair(lostServers_.count(server), timeSinceContact(server, now));
    };
    return rank(left) > rank(right);
  });
  return failed;
}

std::optional<Membership> MembershipPolicy::replacement(const Membership& membership,
                                                        base::ServerId self,
                                                        ReplacementMethod method,
                                                        base::TimePoint now) const {
  const std::vector<base::ServerId> ready = readyLearners(membership, now);
  if (ready.empty()) {
    return std::nullopt;
  }
  Membership next = membership;
  if (voterCount(membership) < requiredVoters()) {
    setRole(next, ready.front(), MemberRole::voter);
    return next;
  }
  const std::vector<base::ServerId> failed =
      failedVoters(membership, self, voterTimeout(ready, now), now);
  if (failed.empty()) {
    return std::nullopt;
  }
  if (failed.size() > ready.size() && awaitsNewcomer(membership, ready, now)) {
    return std::nullopt;
  }
  if (method == ReplacementMethod::oneByOne) {
    return without(membership, failed.front());
  }
  for (std::size_t index = 0; index < std::min(failed.size(), ready.size()); ++index) {
    setRole(next, failed[index], MemberRole::outgoing);
    setRole(next, ready[index], MemberRole::incoming);
  }
  return next;
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
