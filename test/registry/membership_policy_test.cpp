/// Tests of MembershipPolicy: which membership change is due.

#include "registry/membership_policy.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;
using consensus::Member;
using consensus::MemberRole;
using consensus::Membership;

namespace {

Member member(std::uint64_t id, MemberRole role, std::uint16_t port) {
  return {
      {id}, role, {"127.0.0.1", port}, {"127.0.0.1", static_cast<std::uint16_t>(port + 1000)}, {}};
}

Membership voters(std::initializer_list<std::uint64_t> ids) {
  Membership membership;
  for (const std::uint64_t id : ids) {
    membership.members.push_back(member(id, MemberRole::voter, static_cast<std::uint16_t>(id)));
  }
  return membership;
}

std::size_t voterCount(const Membership& membership) {
  std::size_t count = 0;
  for (const Member& one : membership.members) {
    count += one.role == MemberRole::voter ? 1 : 0;
  }
  return count;
}

std::size_t outgoingCount(const Membership& membership) {
  std::size_t count = 0;
  for (const Member& one : membership.members) {
    count += one.role == MemberRole::outgoing ? 1 : 0;
  }
  return count;
}

}  // namespace

TEST_GROUP(MembershipPolicyTest) {
  const base::TimePoint start = base::TimePoint(100s);
  MembershipPolicy policy{MembershipPolicyOptions{}, start, start};
  ReplacementMethod method = ReplacementMethod::joint;

  std::optional<Membership> nextChange(const Membership& cell, base::TimePoint now) {
    return policy.nextChange(cell, {1}, method, now);
  }

  void recordContacts(std::initializer_list<std::uint64_t> ids, base::TimePoint now) {
    for (const std::uint64_t id : ids) {
      policy.recordContact({id}, now);
    }
  }
};

TEST(MembershipPolicyTest, aCompleteCellIsNotChanged) {
  const Membership cell = voters({1, 2, 3, 4, 5});
  recordContacts({2, 3, 4, 5}, start + 10s);
  CHECK_FALSE(nextChange(cell, start + 10s).has_value());
}

TEST(MembershipPolicyTest, anApplicantIsAdmittedAsLearnerThenPromoted) {
  Membership cell = voters({1, 2, 3});
  policy.addJoinRequest(member(4, MemberRole::voter, 4), cell, start);
  cell = *nextChange(cell, start);
  CHECK_EQUAL(4, cell.members.size());
  CHECK_EQUAL(3, voterCount(cell));
  recordContacts({2, 3, 4}, start + 100ms);
  cell = *nextChange(cell, start + 100ms);
  CHECK_EQUAL(4, voterCount(cell));
}

TEST(MembershipPolicyTest, anUnresponsiveVoterStaysWithoutAReplacement) {
  const Membership cell = voters({1, 2, 3, 4, 5});
  recordContacts({2, 3, 4}, start + 60s);
  CHECK_FALSE(nextChange(cell, start + 60s).has_value());
}

TEST(MembershipPolicyTest, twoLostDisksAreReplacedOneAfterTheOtherIfABuildKnowsNoOtherWay) {
  method = ReplacementMethod::oneByOne;
  Membership cell = voters({1, 2, 3, 4, 5});
  policy.addJoinRequest(member(14, MemberRole::voter, 4), cell, start);
  policy.addJoinRequest(member(15, MemberRole::voter, 5), cell, start);
  std::size_t fewest = voterCount(cell);
  base::TimePoint now = start;
  for (int step = 0; step < 20; ++step) {
    now += 50ms;
    recordContacts({2, 3, 14, 15}, now);
    const auto next = nextChange(cell, now);
    if (!next) {
      break;
    }
    cell = *next;
    fewest = std::min(fewest, voterCount(cell));
  }
  CHECK_EQUAL(5, voterCount(cell));
  CHECK_EQUAL(5, cell.members.size());
  for (const Member& one : cell.members) {
    CHECK_TRUE(one.id.value != 4 && one.id.value != 5);
  }
  // A majority of four voters is three, more than the two disks that may be lost.
  CHECK_EQUAL(4, fewest);
}

/// Guards against a time with four voters, of which no two may lose their disks.
TEST(MembershipPolicyTest, twoLostDisksAreReplacedAtOnce) {
  Membership cell = voters({1, 2, 3, 4, 5});
  policy.addJoinRequest(member(14, MemberRole::voter, 4), cell, start);
  policy.addJoinRequest(member(15, MemberRole::voter, 5), cell, start);
  cell = *nextChange(cell, start);
  CHECK_EQUAL_TEXT(7, cell.members.size(), "both are admitted at once");
  recordContacts({2, 3, 14, 15}, start + 50ms);
  cell = *nextChange(cell, start + 50ms);
  for (const Member& one : cell.members) {
    const MemberRole expected = one.id.value >= 14  ? MemberRole::incoming
                                : one.id.value >= 4 ? MemberRole::outgoing
                                                    : MemberRole::voter;
    CHECK_TRUE(one.role == expected);
  }
  CHECK_TRUE(majorityExceedsLosses(cell, 2));
  CHECK_FALSE_TEXT(nextChange(cell, start + 100ms).has_value(), "until the leader ends it");
}

/// Guards against a second replacement that waits until the first one has ended.
TEST(MembershipPolicyTest, aReplacementFollowsOnTheOneUnderWay) {
  Membership cell = voters({1, 2, 3, 4, 5});
  cell.members.push_back(member(6, MemberRole::learner, 6));
  recordContacts({2, 3, 6}, start + 3s);
  cell = *nextChange(cell, start + 3s);
  cell.members.push_back(member(7, MemberRole::learner, 7));
  recordContacts({7}, start + 3s);
  const Membership next = *nextChange(cell, start + 3s);
  CHECK_EQUAL(6, next.members.size());
  std::size_t replaced = 0;
  for (const Member& one : next.members) {
    CHECK_TRUE((one.role == MemberRole::incoming) == (one.id.value == 7));
    replaced += one.role == MemberRole::outgoing ? 1 : 0;
  }
  CHECK_EQUAL(1, replaced);
}

/// Guards against the removal of a voter that is silent for a moment in place of one that is gone.
TEST(MembershipPolicyTest, theVoterThatIsSilentForLongestIsReplaced) {
  Membership cell = voters({1, 2, 3, 4, 5});
  cell.members.push_back(member(6, MemberRole::learner, 6));
  recordContacts({3, 4, 5}, start + 10s);
  recordContacts({2, 6}, start + 13s);
  recordContacts({4}, start + 8s);
  const Membership next = *nextChange(cell, start + 13s);
  for (const Member& one : next.members) {
    CHECK_EQUAL(one.id.value == 4, one.role == MemberRole::outgoing);
  }
}

/// Guards against a replacement that votes too late, as the server in whose place it was started
/// doesn't count as failed yet.
TEST(MembershipPolicyTest, aServerThatHasJustAskedReplacesASilentVoterSooner) {
  Membership cell = voters({1, 2, 3, 4, 5});
  recordContacts({2, 3, 4, 5}, start + 10s);
  policy.addJoinRequest(member(6, MemberRole::voter, 6), cell, start + 10500ms);
  cell = *nextChange(cell, start + 10500ms);
  recordContacts({2, 3, 4, 6}, start + 10650ms);
  CHECK_FALSE(nextChange(cell, start + 10650ms).has_value());
  CHECK_EQUAL(1, outgoingCount(*nextChange(cell, start + 10750ms)));
}

/// Guards against two replacements one after the other where one would do.
TEST(MembershipPolicyTest, votersThatFellSilentTogetherAreReplacedTogether) {
  Membership cell = voters({1, 2, 3, 4, 5});
  recordContacts({2, 3, 4}, start + 10s);
  recordContacts({5}, start + 10050ms);
  for (const std::uint16_t id : {6, 7}) {
    policy.addJoinRequest(member(id, MemberRole::voter, id), cell, start + 10500ms);
  }
  cell = *nextChange(cell, start + 10500ms);
  recordContacts({2, 3, 6}, start + 10720ms);
  CHECK_FALSE_TEXT(nextChange(cell, start + 10720ms).has_value(), "7 is about to be ready");
  CHECK_EQUAL(1, outgoingCount(*nextChange(cell, start + 10820ms)));
  recordContacts({7}, start + 10720ms);
  CHECK_EQUAL(2, outgoingCount(*nextChange(cell, start + 10720ms)));
}

/// Guards against the removal of a new voter that is silent while its first batch is synced.
TEST(MembershipPolicyTest, aServerThatHasJustAskedIsNotReplaced) {
  Membership cell = voters({1, 2, 3, 4, 5});
  cell.members.push_back(member(7, MemberRole::learner, 7));
  policy.addJoinRequest(member(6, MemberRole::voter, 6), cell, start + 10s);
  cell.members[4] = member(6, MemberRole::voter, 6);
  recordContacts({2, 3, 4, 7}, start + 13s);
  CHECK_FALSE(nextChange(cell, start + 13s).has_value());
  recordContacts({2, 3, 4, 7}, start + 16s);
  CHECK_EQUAL(1, outgoingCount(*nextChange(cell, start + 16s)));
}

/// Guards against the removal of a voter that a new leader has not asked yet.
TEST(MembershipPolicyTest, aNewLeaderGivesSilentVotersTimeToAnswer) {
  Membership cell = voters({1, 2, 3, 4, 5});
  cell.members.push_back(member(6, MemberRole::learner, 6));
  MembershipPolicy fresh{MembershipPolicyOptions{}, start + 5s, start};
  for (const std::uint64_t id : {2, 3, 4, 6}) {
    fresh.recordContact({id}, start + 5s);
  }
  CHECK_FALSE(fresh.nextChange(cell, {1}, method, start + 5100ms).has_value());
  CHECK_TRUE(fresh.nextChange(cell, {1}, method, start + 5300ms).has_value());
}

TEST(MembershipPolicyTest, aLostDiskIsReplacedBeforeASilentVoter) {
  Membership cell = voters({1, 2, 3, 4, 5});
  policy.addJoinRequest(member(15, MemberRole::voter, 5), cell, start + 10s);
  cell = *nextChange(cell, start + 10s);
  recordContacts({2, 3, 5, 15}, start + 10s);
  const Membership next = *nextChange(cell, start + 10s);
  for (const Member& one : next.members) {
    CHECK_EQUAL(one.id.value == 5, one.role == MemberRole::outgoing);
  }
}

TEST(MembershipPolicyTest, aJoinRequestExpires) {
  const Membership cell = voters({1, 2, 3});
  policy.addJoinRequest(member(4, MemberRole::voter, 4), cell, start);
  CHECK_FALSE(nextChange(cell, start + 10s).has_value());
}

TEST(MembershipPolicyTest, aMajorityMustExceedTheTolerableLosses) {
  CHECK_FALSE(majorityExceedsLosses(voters({1, 2, 3}), 2));
  CHECK_TRUE(majorityExceedsLosses(voters({1, 2, 3, 4}), 2));
  CHECK_TRUE(majorityExceedsLosses(voters({1, 2, 3}), 1));
  CHECK_TRUE(majorityExceedsLosses(voters({1}), 0));
}
