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
bool isVoter(const Membership& membership, base::ServerId server);
std::vector<base::ServerId> votersOf(const Membership& membership);

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

enum class MembershipChangeKind : std::uint8_t { learnerAdded, learnerPromoted, memberRemoved };

/// Difference between two consecutive memberships: one member.
struct MembershipChange {
  MembershipChangeKind kind = MembershipChangeKind::learnerAdded;
  base::ServerId server;
};

/// @return the difference between `current` and `next`; `outOfRange` unless exactly one learner is
/// added, one learner is promoted or one member is removed, and at least one voter remains. With a
/// single change at a time, the majorities of two consecutive memberships always overlap (Ongaro,
/// "Consensus: Bridging Theory and Practice", 4.1).
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

  void append(IndexedMembership membership) { history_.push_back(std::move(membership)); }
  void truncateFrom(LogIndex index);
  /// Removes the memberships that were replaced at or before `index`.
  void dropUpTo(LogIndex index);
  void reset(IndexedMembership base);

 private:
  std::vector<IndexedMembership> history_;
};

}  // namespace walnut::consensus
