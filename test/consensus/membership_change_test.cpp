/// @file
/// Tests of membership changes on a leader and on a follower.

#include <algorithm>

#include "consensus/test_messages.h"
#include "consensus/test_server.h"
#include "walnut/consensus/codec.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::consensus;
using namespace walnut::consensus::test;
using namespace std::chrono_literals;

namespace {

constexpr LogPosition kBootstrap{1, 1};

Membership without(Membership membership, std::uint64_t id) {
  std::erase_if(membership.members, [&](const Member& each) { return each.id.value == id; });
  return membership;
}

Membership with(Membership membership, std::uint64_t id, MemberRole role) {
  membership = without(std::move(membership), id);
  membership.members.push_back(makeMember(id, role));
  return membership;
}

}  // namespace

TEST_GROUP(MembershipChangeTest) {
  const Membership initial = makeMembership(3);
  TestServer server{1, initial};
  Term term = 0;

  void setup() override {
    server.elect();
    term = server.status().term;
    commitAll();
  }

  void commitAll() {
    server.receive(2, makeAccepted(term, server.status().lastIndex));
    server.receive(3, makeAccepted(term, server.status().lastIndex));
    CHECK_EQUAL(server.status().lastIndex, server.status().commitIndex);
    server.takeSent();
  }

  base::Result<LogIndex> change(const Membership& next) {
    auto index = server.raft().changeMembership(server.now(), next);
    server.drain();
    return index;
  }

  void changeAndCommit(const Membership& next) {
    CHECK_TRUE(change(next).has_value());
    commitAll();
  }

  bool sentTo(std::uint64_t id) {
    const std::vector<Message> sent = server.takeSent();
    return std::any_of(sent.begin(), sent.end(),
                       [&](const Message& message) { return message.to.value == id; });
  }
};

TEST(MembershipChangeTest, refusedChanges) {
  const Membership withLearner = with(initial, 4, MemberRole::learner);
  Membership moved = initial;
  moved.members[1].peerEndpoint.port = 1;
  Membership twice = withLearner;
  twice.members.push_back(twice.members.back());
  const Membership cases[] = {
      initial,                                    // No difference.
      with(initial, 4, MemberRole::voter),        // A new member as voter.
      with(withLearner, 5, MemberRole::learner),  // Two changes.
      without(withLearner, 2),                    // Two changes.
      without(without(initial, 2), 3),            // Two changes.
      with(initial, 2, MemberRole::learner),      // Demotion of a voter.
      moved,                                      // Changed address.
      twice,                                      // Duplicate member.
      with(initial, 0, MemberRole::learner),      // Member without id.
      Membership{},                               // No voter left.
  };
  for (const Membership& each : cases) {
    CHECK_TRUE(change(each).error().code == base::ErrorCode::outOfRange);
  }
  CHECK_TRUE(server.status().membership == initial);
}

TEST(MembershipChangeTest, onlyTheLeaderChangesIt) {
  TestServer follower(2, initial);
  const auto refused =
      follower.raft().changeMembership(follower.now(), with(initial, 4, MemberRole::learner));
  CHECK_TRUE(refused.error().code == base::ErrorCode::notLeader);
}

TEST(MembershipChangeTest, oneChangeAtATime) {
  CHECK_TRUE(change(with(initial, 4, MemberRole::learner)).has_value());
  const auto second = change(without(server.status().membership, 3));
  CHECK_TRUE(second.error().code == base::ErrorCode::membershipChangePending);
  commitAll();
  CHECK_TRUE(change(without(server.status().membership, 3)).has_value());
}

TEST(MembershipChangeTest, aNewLeaderWaitsForAnEntryOfItsOwnTerm) {
  // An earlier leader committed the current membership (Ongaro, raft-dev, 10 July 2015).
  TestServer fresh(1, initial);
  fresh.receive(2, makeAppend(2, kBootstrap, {}, 1));
  CHECK_EQUAL(1U, fresh.status().commitIndex);
  fresh.elect();
  CHECK_TRUE(fresh.status().role == Role::leader);
  const Membership next = without(initial, 3);
  const auto refused = fresh.raft().changeMembership(fresh.now(), next);
  CHECK_TRUE(refused.has_error());
  CHECK_TRUE(refused.error().code == base::ErrorCode::membershipChangePending);
  fresh.receive(2, makeAccepted(fresh.status().term, fresh.status().lastIndex));
  CHECK_TRUE(fresh.raft().changeMembership(fresh.now(), next).has_value());
}

TEST(MembershipChangeTest, aChangeTakesEffectOnceItIsAppended) {
  const LogIndex index = change(with(initial, 4, MemberRole::learner)).value();
  CHECK_EQUAL(index, server.status().membershipIndex);
  CHECK_TRUE(index > server.status().commitIndex);
  CHECK_TRUE(sentTo(4));
  server.restart();
  CHECK_EQUAL(index, server.status().membershipIndex);
}

TEST(MembershipChangeTest, aLearnerHasNoVoteInCommitment) {
  changeAndCommit(with(initial, 4, MemberRole::learner));
  const LogIndex index = server.raft().propose(server.now(), "x").value();
  server.drain();
  server.receive(4, makeAccepted(term, index));
  CHECK_TRUE(server.status().commitIndex < index);
}

TEST(MembershipChangeTest, aLearnerIsPromotedOnceItIsNear) {
  const Membership withLearner = with(initial, 4, MemberRole::learner);
  const Membership promoted = with(initial, 4, MemberRole::voter);
  changeAndCommit(withLearner);
  CHECK_TRUE_TEXT(change(promoted).error().code == base::ErrorCode::outOfRange, "silent");
  for (std::size_t count = 0; count <= RaftOptions{}.maxEntriesPerAppend; ++count) {
    server.raft().propose(server.now(), "x").value();
  }
  server.drain();
  commitAll();
  const std::uint64_t round = 1;  // Latest round, since no heartbeat was due yet.
  server.receive(4, makeAccepted(term, 2, round));
  CHECK_TRUE_TEXT(change(promoted).error().code == base::ErrorCode::outOfRange, "behind");
  server.receive(4, makeAccepted(term, 10, round));
  CHECK_TRUE(change(promoted).has_value());
  const LogIndex index = server.status().lastIndex;
  server.receive(2, makeAccepted(term, index));
  CHECK_TRUE_TEXT(server.status().commitIndex < index, "two of four are no majority");
  server.receive(4, makeAccepted(term, index));
  CHECK_EQUAL(index, server.status().commitIndex);
}

TEST(MembershipChangeTest, anUnresponsiveLearnerIsNotPromoted) {
  changeAndCommit(with(initial, 4, MemberRole::learner));
  server.receive(4, makeAccepted(term, server.status().lastIndex, 1));
  for (std::uint64_t round = 2; round < 8; ++round) {
    server.advance(RaftOptions{}.heartbeatInterval);
    server.receive(2, makeAccepted(term, server.status().lastIndex, round));
  }
  const auto refused = change(with(initial, 4, MemberRole::voter));
  CHECK_TRUE(refused.error().code == base::ErrorCode::outOfRange);
}

TEST(MembershipChangeTest, aRemovedFollowerIsServedUntilItsRemovalIsCommitted) {
  const LogIndex index = change(without(initial, 3)).value();
  CHECK_TRUE(sentTo(3));
  server.receive(2, makeAccepted(term, index));
  CHECK_EQUAL(index, server.status().commitIndex);
  server.takeSent();
  server.advance(RaftOptions{}.heartbeatInterval);
  CHECK_FALSE(sentTo(3));
}

TEST(MembershipChangeTest, aRemovedFollowerHasNoVoteInItsRemoval) {
  const LogIndex index = change(without(initial, 3)).value();
  server.receive(3, makeAccepted(term, index));
  CHECK_TRUE(server.status().commitIndex < index);
}

TEST(MembershipChangeTest, aRemovedLeaderLeadsUntilItsRemovalIsCommittedThenStepsDown) {
  const LogIndex index = change(without(initial, 1)).value();
  CHECK_TRUE(server.status().role == Role::leader);
  server.receive(2, makeAccepted(term, index));
  CHECK_TRUE_TEXT(server.status().commitIndex < index, "it doesn't count itself");
  server.takeSent();
  server.receive(3, makeAccepted(term, index));
  CHECK_EQUAL(index, server.status().commitIndex);
  CHECK_TRUE(server.status().role == Role::follower);
  bool toldCommit = false;
  for (const Message& message : server.takeSent()) {
    const auto* request = std::get_if<AppendRequest>(&message.body);
    toldCommit = toldCommit || (request != nullptr && request->commitIndex == index);
  }
  CHECK_TRUE(toldCommit);
  CHECK_TRUE(server.raft().nextWakeup() == base::kNever);
}

TEST(MembershipChangeTest, aRemovedServerDoesNotDeposeTheLeader) {
  changeAndCommit(without(initial, 3));
  server.receive(3, makeRefused(term + 9, 0));
  server.receive(3, makeVoteRequest(term + 9, {99, term + 8}));
  CHECK_TRUE(server.status().role == Role::leader);
  CHECK_EQUAL(term, server.status().term);
}

TEST(MembershipChangeTest, aFollowerUndoesAMembershipThatIsCutOff) {
  TestServer follower(1, initial);
  std::vector<LogEntry> entries = makeEntries(2, 2, 3);
  entries[0].type = EntryType::membership;
  entries[0].payload = encodeMembership(without(initial, 3));
  follower.receive(2, makeAppend(2, kBootstrap, entries));
  CHECK_EQUAL(2U, follower.status().membershipIndex);
  follower.receive(3, makeAppend(3, kBootstrap, makeEntries(3, 2, 2)));
  CHECK_EQUAL(1U, follower.status().membershipIndex);
  CHECK_TRUE(follower.status().membership == initial);
  follower.restart();
  CHECK_TRUE(follower.status().membership == initial);
}

TEST(MembershipChangeTest, aSnapshotKeepsTheMembershipOfItsIndex) {
  changeAndCommit(with(initial, 4, MemberRole::learner));
  const LogIndex index = server.status().membershipIndex;
  CHECK_TRUE(change(without(server.status().membership, 3)).has_value());
  server.raft().compact(index, "state", 0);
  server.drain();
  const Snapshot& snapshot = *server.disk().state().snapshot;
  CHECK_EQUAL(index, snapshot.membershipIndex);
  CHECK_TRUE(snapshot.membership == with(initial, 4, MemberRole::learner));
  server.restart();
  CHECK_EQUAL(index + 1, server.status().membershipIndex);
}

TEST(MembershipChangeTest, aCellShrinksFromTwoServersToOne) {
  changeAndCommit(without(initial, 3));
  const LogIndex index = change(without(server.status().membership, 2)).value();
  CHECK_EQUAL(index, server.status().commitIndex);
  server.advance(10s);
  CHECK_TRUE(server.status().role == Role::leader);
  CHECK_TRUE(server.raft().leaseValid(server.now()));
}
