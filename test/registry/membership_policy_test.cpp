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

}  // namespace

TEST_GROUP(MembershipPolicyTest) {
  const base::TimePoint start = base::TimePoint(100s);
  MembershipPolicy policy{MembershipPolicyOptions{}, start};

  void recordContacts(std::initializer_list<std::uint64_t> ids, base::TimePoint now) {
    for (const std::uint64_t id : ids) {
      policy.recordContact({id}, now);
    }
  }
};

TEST(MembershipPolicyTest, aCompleteCellIsNotChanged) {
  const Membership cell = voters({1, 2, 3, 4, 5});
  recordContacts({2, 3, 4, 5}, start + 10s);
  CHECK_FALSE(policy.nextChange(cell, {1}, start + 10s).has_value());
}

TEST(MembershipPolicyTest, anApplicantIsAdmittedAsLearnerThenPromoted) {
  Membership cell = voters({1, 2, 3});
  policy.addJoinRequest(member(4, MemberRole::voter, 4), cell, start);
  cell = *policy.nextChange(cell, {1}, start);
  CHECK_EQUAL(4, cell.members.size());
  CHECK_EQUAL(3, voterCount(cell));
  recordContacts({2, 3, 4}, start + 100ms);
  cell = *policy.nextChange(cell, {1}, start + 100ms);
  CHECK_EQUAL(4, voterCount(cell));
}

TEST(MembershipPolicyTest, anUnresponsiveVoterStaysWithoutAReplacement) {
  const Membership cell = voters({1, 2, 3, 4, 5});
  recordContacts({2, 3, 4}, start + 60s);
  CHECK_FALSE(policy.nextChange(cell, {1}, start + 60s).has_value());
}

TEST(MembershipPolicyTest, twoLostDisksAreReplacedOneAfterTheOther) {
  Membership cell = voters({1, 2, 3, 4, 5});
  policy.addJoinRequest(member(14, MemberRole::voter, 4), cell, start);
  policy.addJoinRequest(member(15, MemberRole::voter, 5), cell, start);
  std::size_t fewest = voterCount(cell);
  base::TimePoint now = start;
  for (int step = 0; step < 20; ++step) {
    now += 50ms;
    recordContacts({2, 3, 14, 15}, now);
    const auto next = policy.nextChange(cell, {1}, now);
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

TEST(MembershipPolicyTest, aJoinRequestExpires) {
  const Membership cell = voters({1, 2, 3});
  policy.addJoinRequest(member(4, MemberRole::voter, 4), cell, start);
  CHECK_FALSE(policy.nextChange(cell, {1}, start + 10s).has_value());
}

TEST(MembershipPolicyTest, aMajorityMustExceedTheTolerableLosses) {
  CHECK_FALSE(majorityExceedsLosses(voters({1, 2, 3}), 2));
  CHECK_TRUE(majorityExceedsLosses(voters({1, 2, 3, 4}), 2));
  CHECK_TRUE(majorityExceedsLosses(voters({1, 2, 3}), 1));
  CHECK_TRUE(majorityExceedsLosses(voters({1}), 0));
}
