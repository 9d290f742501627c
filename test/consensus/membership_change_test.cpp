/// @file
/// Tests of membership changes on a leader and on a follower.

#include <algorithm>

#include "consensus/membership.h"
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
      initial,                                  // No difference.
      with(initial, 4, MemberRole::voter),      // A new member as voter.
      with(initial, 4, MemberRole::incoming),   // A new member as voter of the next set.
      with(withLearner, 5, MemberRole::voter),  // Two changes.
      without(withLearner, 2),                  // Two changes.
      without(without(initial, 2), 3),          // Two voters removed.
      with(initial, 2, MemberRole::learner),    // Demotion of a voter.
      with(initial, 2, MemberRole::outgoing),   // A voter ends without a successor.
      moved,                                    // Changed address.
      twice,                                    // Duplicate member.
      with(initial, 0, MemberRole::learner),    // Member without id.
      Membership{},                             // No voter left.
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

TEST(MembershipChangeTest, learnersAreAddedWhileAnotherChangeIsPending) {
  CHECK_TRUE(change(without(initial, 3)).has_value());
  const Membership two =
      with(with(server.status().membership, 4, MemberRole::learner), 5, MemberRole::learner);
  CHECK_TRUE(change(two).has_value());
  CHECK_TRUE(sentTo(5));
  CHECK_TRUE(change(without(two, 4)).has_value());
}

TEST_GROUP_BASE(ReplacementTest, TEST_GROUP_CppUTestGroupMembershipChangeTest){
    /// Voters 2 and 3 are replaced by the learners 4 and 5.
    Membership joint(const Membership& from){Membership next = from;
for (Member& member : next.members) {
  if (member.id.value == 2 || member.id.value == 3) {
    member.role = MemberRole::outgoing;
  } else if (member.id.value == 4 || member.id.value == 5) {
    member.role = MemberRole::incoming;
  }
}
return next;
}

LogIndex beginReplacement() {
  const Membership learners = with(with(initial, 4, MemberRole::learner), 5, MemberRole::learner);
  CHECK_TRUE(change(learners).has_value());
  return change(joint(learners)).value();
}

void accept(std::uint64_t id, LogIndex index) { server.receive(id, makeAccepted(term, index)); }

std::size_t voterCount() { return votersOf(server.status().membership).size(); }
}
;

/// Guards against a replacement in one plain step, of whose two memberships the majorities may have
/// no member in common.
TEST(ReplacementTest, isCommittedByAMajorityOfBothSetsOfVoters) {
  const LogIndex index = beginReplacement();
  accept(2, index);
  accept(3, index);
  CHECK_TRUE_TEXT(server.status().commitIndex < index, "a majority of the former set");
  accept(4, index);
  CHECK_TRUE(server.status().commitIndex >= index);
}

TEST(ReplacementTest, isNotCommittedByTheNextSetAlone) {
  const LogIndex index = beginReplacement();
  accept(4, index);
  accept(5, index);
  CHECK_TRUE(server.status().commitIndex < index);
}

TEST(ReplacementTest, theLeaderEndsItOnceItIsCommitted) {
  const LogIndex index = beginReplacement();
  accept(2, index);
  CHECK_TRUE(isJoint(server.status().membership));
  accept(4, index);
  CHECK_FALSE(isJoint(server.status().membership));
  CHECK_EQUAL(3U, voterCount());
  CHECK_TRUE(findMember(server.status().membership, base::ServerId{2}) == nullptr);
  // The next set alone commits its end; the former voters are told.
  const LogIndex end = server.status().membershipIndex;
  server.takeSent();
  accept(4, end);
  CHECK_EQUAL(end, server.status().commitIndex);
  server.takeSent();
  server.advance(RaftOptions{}.heartbeatInterval);
  CHECK_FALSE(sentTo(2));
}

TEST(ReplacementTest, anElectionNeedsAMajorityOfBothSets) {
  const Membership learners = with(with(initial, 4, MemberRole::learner), 5, MemberRole::learner);
  TestServer candidate(1, joint(learners));
  candidate.advanceToWakeup();
  const auto vote = [&](std::uint64_t from, bool preVote) {
    VoteReply reply;
    reply.term = candidate.status().term + (preVote ? 1 : 0);
    reply.preVote = preVote;
    reply.granted = true;
    candidate.receive(from, reply);
  };
  vote(2, true);
  vote(3, true);
  CHECK_TRUE_TEXT(candidate.status().role == Role::preCandidate, "the former set alone");
  vote(4, true);
  CHECK_TRUE(candidate.status().role == Role::candidate);
  vote(4, false);
  vote(5, false);
  CHECK_TRUE_TEXT(candidate.status().role == Role::candidate, "the next set alone");
  vote(3, false);
  CHECK_TRUE(candidate.status().role == Role::leader);
}

TEST(ReplacementTest, aNewLeaderEndsItOnceItIsCommitted) {
  const Membership learners = with(with(initial, 4, MemberRole::learner), 5, MemberRole::learner);
  std::vector<LogEntry> entries = makeEntries(2, 2, 2);
  entries[0].type = EntryType::membership;
  entries[0].payload = encodeMembership(joint(learners));
  TestServer next(1, initial);
  next.receive(2, makeAppend(2, kBootstrap, entries));
  next.advanceToWakeup();
  for (const bool preVote : {true, false}) {
    for (const std::uint64_t from : {3U, 4U}) {
      VoteReply reply;
      reply.term = next.status().term + (preVote ? 1 : 0);
      reply.preVote = preVote;
      reply.granted = true;
      next.receive(from, reply);
    }
  }
  CHECK_TRUE(next.status().role == Role::leader);
  CHECK_TRUE_TEXT(isJoint(next.status().membership), "not committed yet");
  const LogIndex own = next.status().lastIndex;
  next.receive(3, makeAccepted(next.status().term, own));
  next.receive(5, makeAccepted(next.status().term, own));
  CHECK_FALSE(isJoint(next.status().membership));
}

/// A change of one voter that is not committed may be cut off; its majorities need not overlap with
/// those of a replacement that begins from it.
TEST(ReplacementTest, doesNotBeginFromVotersThatAreNotCommitted) {
  changeAndCommit(with(initial, 4, MemberRole::learner));
  CHECK_TRUE(change(without(server.status().membership, 3)).has_value());
  Membership next = server.status().membership;
  for (Member& member : next.members) {
    if (member.id.value == 2) {
      member.role = MemberRole::outgoing;
    } else if (member.id.value == 4) {
      member.role = MemberRole::incoming;
    }
  }
  CHECK_TRUE(change(next).error().code == base::ErrorCode::membershipChangePending);
  server.receive(2, makeAccepted(term, server.status().lastIndex));
  CHECK_TRUE(change(next).has_value());
}

TEST(ReplacementTest, noOtherChangeOfVotersBeginsMeanwhile) {
  beginReplacement();
  const Membership present = server.status().membership;
  CHECK_TRUE(change(without(present, 3)).error().code == base::ErrorCode::membershipChangePending);
  CHECK_TRUE(change(with(present, 6, MemberRole::learner)).has_value());
}

/// A replacement needs a majority of the committed voters, so it may follow on them at once, unlike
/// a change of one voter.
TEST(ReplacementTest, aNewLeaderBeginsItBeforeAnEntryOfItsOwnTermIsCommitted) {
  TestServer fresh(1, initial);
  fresh.receive(2, makeAppend(2, kBootstrap, {}, 1));
  fresh.elect();
  const Membership learners = with(with(initial, 4, MemberRole::learner), 5, MemberRole::learner);
  CHECK_TRUE(fresh.raft().changeMembership(fresh.now(), learners).has_value());
  CHECK_TRUE(fresh.raft().changeMembership(fresh.now(), joint(learners)).has_value());
}

/// Two servers that are replaced shortly one after the other take three entries, not four.
TEST(ReplacementTest, anotherOneFollowsOnceItIsCommitted) {
  beginReplacement();
  CHECK_TRUE(change(with(server.status().membership, 6, MemberRole::learner)).has_value());
  Membership next = without(without(server.status().membership, 2), 3);
  for (Member& member : next.members) {
    member.role = member.id.value == 4   ? MemberRole::outgoing
                  : member.id.value == 6 ? MemberRole::incoming
                                         : MemberRole::voter;
  }
  CHECK_TRUE(change(next).error().code == base::ErrorCode::membershipChangePending);
  const LogIndex index = server.status().lastIndex;
  server.raft().receive(server.now(),
                        {base::ServerId{2}, base::ServerId{1}, makeAccepted(term, index)});
  server.raft().receive(server.now(),
                        {base::ServerId{4}, base::ServerId{1}, makeAccepted(term, index)});
  CHECK_TRUE(change(next).has_value());
  CHECK_TRUE(server.status().membership == next);
  // It needs a majority of 1, 4, 5 and one of 1, 5, 6.
  const LogIndex last = server.status().lastIndex;
  accept(4, last);
  CHECK_TRUE(server.status().commitIndex < last);
  accept(6, last);
  CHECK_TRUE(server.status().commitIndex >= last);
  CHECK_FALSE(isJoint(server.status().membership));
}

/// Guards against a leader that ends: a server which is added again before its removal is committed
/// is a follower still.
TEST(ReplacementTest, aRemovedServerIsAddedAgainBeforeItsRemovalIsCommitted) {
  const LogIndex index = beginReplacement();
  accept(2, index);
  accept(4, index);
  CHECK_FALSE(isJoint(server.status().membership));
  CHECK_TRUE(change(with(server.status().membership, 3, MemberRole::learner)).has_value());
  accept(4, server.status().lastIndex);
  CHECK_EQUAL(server.status().lastIndex, server.status().commitIndex);
  Membership next = server.status().membership;
  for (Member& member : next.members) {
    if (member.id.value == 5) {
      member.role = MemberRole::outgoing;
    } else if (member.id.value == 3) {
      member.role = MemberRole::incoming;
    }
  }
  CHECK_TRUE(change(next).has_value());
  accept(3, server.status().lastIndex);
  server.takeSent();
  server.advance(RaftOptions{}.heartbeatInterval);
  CHECK_TRUE(sentTo(3));
}
