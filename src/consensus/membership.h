#pragma once
/// @file
/// History of memberships by log index, and the rules for membership changes.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/consensus/messages.h"

namespace walnut::consensus {

const Member* findMember(const Membership& membership, base::ServerId server);
/// @return true if the server votes, in one set of voters or in both.
bool isVoter(const Membership& membership, base::ServerId server);
/// @return all servers that vote, in one set of voters or in both.
std::vector<base::ServerId> votersOf(const Membership& membership);
/// @return true while voters are replaced, so that there are two sets of them.
bool isJoint(const Membership& membership);
/// @return the membership with the next set of voters only.
Membership withoutFormerVoters(const Membership& membership);
bool haveSameVoters(const Membership& left, const Membership& right);

/// @return the value that a majority of the voters has reached, which is the greatest value v such
/// that more than half of `values` are >= v; the default value if there are no voters.
template <class Value>
Value majorityValue(std::vector<Value> values) {
  if (values.empty()) {
    return Value{};
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[values.size() / 2];
}

/// @return the value that a majority of the voters has reached; during a replacement, that a
/// majority of each set of voters has reached.
/// @param valueOf the value of a voter, by its id.
template <class ValueOf>
auto quorumValue(const Membership& membership, const ValueOf& valueOf) {
  using Value = decltype(valueOf(base::ServerId{}));
  const auto reached = [&](MemberRole ownRole) {
    std::vector<Value> values;
    values.reserve(membership.members.size());
    for (const Member& member : membership.members) {
      if (member.role == MemberRole::voter || member.role == ownRole) {
        values.push_back(valueOf(member.id));
      }
    }
    return majorityValue(std::move(values));
  };
  const Value next = reached(MemberRole::incoming);
  return isJoint(membership) ? std::min(reached(MemberRole::outgoing), next) : next;
}

enum class MembershipChangeKind : std::uint8_t {
  learners,         ///< Learners are added or removed; the voters stay.
  learnerPromoted,  ///< One learner becomes a voter.
  voterRemoved,     ///< One voter is removed.
  votersReplaced,   ///< Learners become incoming and voters outgoing.
  replacementDone,  ///< The former set of voters ends.
  /// The former set of voters ends, and at the same time others of the next set are replaced.
  replacementFollowed,
};

/// Difference between two consecutive memberships.
struct MembershipChange {
  MembershipChangeKind kind = MembershipChangeKind::learners;
  std::vector<base::ServerId> added;
  std::vector<base::ServerId> removed;
  std::vector<base::ServerId> promoted;
};

/// @return the difference between `current` and `next`; `outOfRange` unless it is one of the kinds
/// of changes and at least one voter remains. The majorities of two consecutive memberships always
/// overlap: those of one changed voter do (Ongaro, "Consensus: Bridging Theory and Practice", 4.1),
/// and a replacement of several needs a majority of each set of voters (4.3).
base::Result<MembershipChange> checkMembershipChange(const Membership& current,
                                                     const Membership& next);

/// Membership with the index of its log entry.
struct IndexedMembership {
  LogIndex index = 0;  ///< Index of the membership's log entry; 0 if it has none.
  Membership membership;
};

/// History of the memberships in the log that is kept in memory. A change whose entry is truncated
/// is undone from it. Invariants: never empty; indexes increase.
class MembershipHistory {
 public:
  explicit MembershipHistory(IndexedMembership base) { history_.push_back(std::move(base)); }

  /// @return the latest membership in the log, committed or not.
  const IndexedMembership& current() const { return history_.back(); }
  /// @return the membership in force at `index`, which must not be below the oldest one kept.
  const IndexedMembership& at(LogIndex index) const;
  /// @return the index of the entry with which the present sets of voters began, as far as the
  /// history reaches.
  LogIndex votersSince() const;

  void append(IndexedMembership membership) { history_.push_back(std::move(membership)); }
  void truncateFrom(LogIndex index);
  /// Removes the memberships that were replaced at or before `index`.
  void dropUpTo(LogIndex index);
  void reset(IndexedMembership base);

 private:
  std::vector<IndexedMembership> history_;
};

}  // namespace walnut::consensus
