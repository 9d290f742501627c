/// @file
/// Tests how a follower handles AppendRequest and a leader handles AppendReply.

#include "consensus/test_messages.h"
#include "consensus/test_server.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::consensus;
using namespace walnut::consensus::test;
using namespace std::chrono_literals;

namespace {

constexpr LogPosition kBootstrap{1, 1};

/// Follower whose log holds entry 1 of term 1, entries 2 to 4 of term 2 and 5 to 7 of term 3.
TestServer makeFollower(LogIndex commitIndex = 0) {
  TestServer server(1, makeMembership(3));
  server.receive(2, makeAppend(2, kBootstrap, makeEntries(2, 2, 4)));
  server.receive(2, makeAppend(3, {4, 2}, makeEntries(3, 5, 7), commitIndex));
  CHECK_EQUAL(7U, server.status().lastIndex);
  CHECK_EQUAL(commitIndex, server.status().commitIndex);
  server.takeSent();
  return server;
}

AppendReply onlyReply(TestServer& server) {
  const auto replies = server.takeSentBodies<AppendReply>();
  CHECK_EQUAL(1U, replies.size());
  return replies.front();
}

Term termOnDisk(TestServer& server, LogIndex index) {
  return server.disk().state().entries.at(index - 1).term;
}

}  // namespace

TEST_GROUP(FollowerTest){};

TEST(FollowerTest, entriesAreDurableBeforeTheReply) {
  TestServer server(1, makeMembership(3));
  const AppendRequest request = makeAppend(2, kBootstrap, makeEntries(2, 2, 3), 3);
  server.raft().receive(server.now(), {base::ServerId{2}, base::ServerId{1}, request});
  const RaftOutputs outputs = server.raft().takeOutputs();
  CHECK_TRUE(outputs.persist.entries == request.entries);
  CHECK_TRUE(outputs.persist.hardState == (HardState{2, base::ServerId{}}));
  CHECK_EQUAL_TEXT(0U, outputs.messages.size(), "neither entries nor term are durable");
  CHECK_EQUAL(3U, outputs.committed.size());
  server.raft().onPersisted(server.now());
  const RaftOutputs synced = server.raft().takeOutputs();
  CHECK_EQUAL(1U, synced.messages.size());
  CHECK_EQUAL(3U, std::get<AppendReply>(synced.messages.front().body).matchIndex);
}

TEST(FollowerTest, whileABatchIsBeingSyncedOnlyWhatIsDurableIsConfirmed) {
  TestServer server(1, makeMembership(3));
  server.receive(2, makeAppend(2, kBootstrap, {}));
  const auto receive = [&](LogIndex index) {
    const LogPosition previous{index - 1, index == 2 ? 1U : 2U};
    const AppendRequest request = makeAppend(2, previous, makeEntries(2, index, index), index);
    server.raft().receive(server.now(), {base::ServerId{2}, base::ServerId{1}, request});
  };
  receive(2);
  CHECK_FALSE(server.raft().takeOutputs().persist.empty());
  receive(3);
  receive(4);
  const RaftOutputs blocked = server.raft().takeOutputs();
  CHECK_TRUE(blocked.persist.empty());
  CHECK_TRUE(blocked.committed.empty());
  CHECK_EQUAL(2U, blocked.messages.size());
  for (const Message& message : blocked.messages) {
    CHECK_EQUAL(1U, std::get<AppendReply>(message.body).matchIndex);
  }
  server.raft().onPersisted(server.now());
  const RaftOutputs next = server.raft().takeOutputs();
  CHECK_EQUAL_TEXT(2U, next.persist.entries.size(), "inputs during a sync share the next one");
  CHECK_EQUAL(1U, next.messages.size());
  CHECK_EQUAL(2U, std::get<AppendReply>(next.messages.front().body).matchIndex);
  CHECK_EQUAL(2U, next.committed.size());
  server.raft().onPersisted(server.now());
  const RaftOutputs last = server.raft().takeOutputs();
  CHECK_EQUAL(2U, last.messages.size());
  CHECK_EQUAL(4U, std::get<AppendReply>(last.messages.back().body).matchIndex);
}

TEST(FollowerTest, aLeaderIsConfirmedWhileASyncLasts) {
  TestServer server(1, makeMembership(3));
  server.receive(2, makeAppend(2, kBootstrap, makeEntries(2, 2, 2)));
  server.takeSent();
  server.raft().receive(server.now(), {base::ServerId{2}, base::ServerId{1},
                                       makeAppend(2, {2, 2}, makeEntries(2, 3, 3))});
  CHECK_FALSE(server.raft().takeOutputs().persist.empty());
  AppendRequest heartbeat = makeAppend(2, {3, 2}, {});
  heartbeat.round = 7;
  server.raft().receive(server.now(), {base::ServerId{2}, base::ServerId{1}, heartbeat});
  const RaftOutputs outputs = server.raft().takeOutputs();
  CHECK_EQUAL(1U, outputs.messages.size());
  const auto& reply = std::get<AppendReply>(outputs.messages.front().body);
  CHECK_TRUE(reply.accepted);
  CHECK_EQUAL(7U, reply.round);
  CHECK_EQUAL_TEXT(2U, reply.matchIndex, "the entry is not durable");
}

/// Guards against a server that joins and gets no entries until its term is written, and against a
/// lease that counts on a term which a crash may undo.
TEST(FollowerTest, beforeTheTermIsDurableARefusalAsksForEntriesAndConfirmsNothing) {
  TestServer server(1, makeMembership(3));
  AppendRequest request = makeAppend(2, {9, 2}, {});
  request.round = 7;
  server.raft().receive(server.now(), {base::ServerId{2}, base::ServerId{1}, request});
  const RaftOutputs outputs = server.raft().takeOutputs();
  CHECK_TRUE(outputs.persist.hardState == (HardState{2, base::ServerId{}}));
  CHECK_EQUAL(1U, outputs.messages.size());
  const auto& reply = std::get<AppendReply>(outputs.messages.front().body);
  CHECK_FALSE(reply.accepted);
  CHECK_EQUAL(2U, reply.hintIndex);
  CHECK_EQUAL(0U, reply.round);
  server.raft().onPersisted(server.now());
  CHECK_EQUAL(0U, server.raft().takeOutputs().messages.size());
  server.receive(2, request);
  CHECK_EQUAL(7U, server.takeSentBodies<AppendReply>().back().round);
}

TEST(FollowerTest, refusalsHintWhereToTryNext) {
  struct Case {
    LogPosition previous;
    LogIndex commitIndex;
    LogIndex hint;
  };
  const Case cases[] = {
      {{20, 4}, 0, 8},                  // Past the end: hints at the first missing index.
      {{8, 3}, 0, 8},  {{7, 4}, 0, 5},  // Conflict: the whole term is skipped.
      {{6, 2}, 0, 5},  {{4, 3}, 0, 2}, {{7, 4}, 6, 7},  // Never below the commit index.
  };
  for (const Case& each : cases) {
    TestServer server = makeFollower(each.commitIndex);
    server.receive(3, makeAppend(5, each.previous, {}));
    const AppendReply reply = onlyReply(server);
    CHECK_FALSE(reply.accepted);
    CHECK_EQUAL(each.hint, reply.hintIndex);
    CHECK_EQUAL(7U, server.status().lastIndex);
    CHECK_EQUAL(5U, reply.term);
  }
}

TEST(FollowerTest, aConflictReplacesTheRestOfTheLog) {
  TestServer server = makeFollower();
  server.receive(3, makeAppend(4, {5, 3}, makeEntries(4, 6, 6)));
  CHECK_EQUAL(6U, onlyReply(server).matchIndex);
  CHECK_EQUAL(6U, server.status().lastIndex);
  CHECK_EQUAL(6U, server.disk().lastIndex());
  CHECK_EQUAL(4U, termOnDisk(server, 6));
  CHECK_EQUAL(3U, termOnDisk(server, 5));
}

TEST(FollowerTest, anOldMessageDoesNotShortenTheLog) {
  TestServer server = makeFollower();
  server.receive(2, makeAppend(3, {4, 2}, makeEntries(3, 5, 5)));
  CHECK_EQUAL(5U, onlyReply(server).matchIndex);
  CHECK_EQUAL(7U, server.status().lastIndex);
  CHECK_EQUAL(7U, server.disk().lastIndex());
}

TEST(FollowerTest, commitIndexNeverExceedsTheMatchingIndex) {
  TestServer server = makeFollower();
  // The follower's entries 6 and 7 may differ from this leader's.
  server.receive(3, makeAppend(4, {5, 3}, {}, 7));
  CHECK_EQUAL(5U, server.status().commitIndex);
  CHECK_EQUAL(5U, server.applied().size());
}

TEST(FollowerTest, commitIndexNeverDecreases) {
  TestServer server = makeFollower(6);
  server.receive(2, makeAppend(3, {7, 3}, {}, 2));
  CHECK_EQUAL(6U, server.status().commitIndex);
  CHECK_EQUAL(6U, server.applied().size());
}

TEST(FollowerTest, aMessageBelowTheCommittedPrefixIsAcceptedAsFarAsCommitted) {
  TestServer server = makeFollower(5);
  server.receive(3, makeAppend(4, {3, 2}, makeEntries(2, 4, 4), 5));
  const AppendReply reply = onlyReply(server);
  CHECK_TRUE(reply.accepted);
  CHECK_EQUAL(5U, reply.matchIndex);
  CHECK_EQUAL(7U, server.status().lastIndex);
}

TEST(FollowerTest, aPreviousLeaderGetsTheCurrentTermAndChangesNothing) {
  TestServer server = makeFollower();
  server.receive(3, makeAppend(2, {4, 2}, makeEntries(2, 5, 9), 9));
  const AppendReply reply = onlyReply(server);
  CHECK_FALSE(reply.accepted);
  CHECK_EQUAL(3U, reply.term);
  CHECK_EQUAL(7U, server.status().lastIndex);
  CHECK_EQUAL(0U, server.status().commitIndex);
  CHECK_EQUAL(2U, server.status().leader.value);
}

TEST(FollowerTest, malformedRequestsAreIgnored) {
  std::vector<AppendRequest> requests;
  requests.push_back(makeAppend(5, {7, 3}, makeEntries(4, 9, 9)));  // Gap in the indexes.
  requests.push_back(makeAppend(5, {7, 3}, makeEntries(6, 8, 8)));  // Term too high.
  requests.push_back(makeAppend(5, {7, 3}, makeEntries(2, 8, 8)));  // Decreasing term.
  requests.push_back(makeAppend(5, {7, 6}, {}));                    // Previous term too high.
  requests.push_back(makeAppend(5, {7, 3}, makeEntries(4, 8, 9)));
  requests.back().entries[1].type = EntryType::membership;  // Payload can't be decoded.
  requests.push_back(makeAppend(5, {7, 3}, makeEntries(4, 8, 8)));
  requests.back().entries[0].type = static_cast<EntryType>(3);  // Unknown type.
  for (const AppendRequest& request : requests) {
    TestServer server = makeFollower();
    server.receive(3, request);
    CHECK_EQUAL(0U, server.takeSent().size());
    CHECK_EQUAL(3U, server.status().term);
    CHECK_EQUAL(7U, server.status().lastIndex);
  }
}

TEST(FollowerTest, aConflictAtTheSnapshotIsAnsweredAndChangesNothing) {
  TestServer server = makeFollower(7);
  server.raft().compact(7, "state", 0);
  server.drain();
  server.restart();  // The in-memory log now begins after the snapshot.
  server.takeSent();
  server.receive(3, makeAppend(5, {7, 4}, {}));
  const AppendReply reply = onlyReply(server);
  CHECK_FALSE(reply.accepted);
  CHECK_EQUAL(8U, reply.hintIndex);
}

TEST(FollowerTest, aMessageForAnotherIdentityIsIgnored) {
  TestServer server = makeFollower();
  const AppendRequest request = makeAppend(9, {7, 3}, {});
  server.raft().receive(server.now(), {base::ServerId{2}, base::ServerId{8}, request});
  server.drain();
  CHECK_EQUAL(3U, server.status().term);
  CHECK_EQUAL(0U, server.takeSent().size());
}

TEST(FollowerTest, aCrashBetweenEntriesAndTermKeepsTheHigherTerm) {
  const AppendRequest request = makeAppend(4, {7, 3}, makeEntries(4, 8, 9));
  TestServer server = makeFollower();
  server.raft().receive(server.now(), {base::ServerId{3}, base::ServerId{1}, request});
  const PersistBatch batch = server.raft().takeOutputs().persist;
  server.disk().persistPrefix(batch, batch.entries.size());
  server.restart();
  CHECK_EQUAL(9U, server.status().lastIndex);
  CHECK_EQUAL(4U, server.status().term);
  CHECK_EQUAL(4U, server.disk().state().hardState.term);
}

TEST_GROUP(LeaderTest) {
  TestServer server{1, makeMembership(3)};
  Term term = 0;

  void setup() override {
    server.elect();
    term = server.status().term;
    CHECK_TRUE(server.status().role == Role::leader);
  }

  LogIndex propose() {
    const auto index = server.raft().propose(server.now(), "command");
    CHECK_TRUE(index.has_value());
    server.drain();
    return index.value();
  }

  /// @return the last append sent to `follower`.
  AppendRequest lastAppendTo(std::uint64_t follower) {
    std::optional<AppendRequest> found;
    for (const Message& message : server.takeSent()) {
      const auto* request = std::get_if<AppendRequest>(&message.body);
      if (request != nullptr && message.to.value == follower) {
        found = *request;
      }
    }
    CHECK_TRUE(found.has_value());
    return found.value();
  }
};

TEST(LeaderTest, itsTermBeginsWithANoop) {
  CHECK_EQUAL(2U, server.status().lastIndex);
  const AppendRequest request = lastAppendTo(2);
  CHECK_EQUAL(1U, request.entries.size());
  CHECK_TRUE(request.entries.front().type == EntryType::noop);
  CHECK_EQUAL(term, request.entries.front().term);
}

TEST(LeaderTest, anEntryIsCommittedByAMajorityThatHasSyncedIt) {
  const LogIndex index = propose();
  CHECK_EQUAL(0U, server.status().commitIndex);
  server.receive(2, makeAccepted(term, index));
  CHECK_EQUAL(index, server.status().commitIndex);
  CHECK_EQUAL(index, server.applied().back().index);
}

TEST(LeaderTest, itsOwnLogCountsOnceItIsSynced) {
  const auto index = server.raft().propose(server.now(), "command");
  server.raft().receive(server.now(),
                        {base::ServerId{2}, base::ServerId{1}, makeAccepted(term, index.value())});
  CHECK_EQUAL(index.value() - 1, server.status().commitIndex);
  const RaftOutputs outputs = server.raft().takeOutputs();
  CHECK_EQUAL(1U, outputs.persist.entries.size());
  CHECK_EQUAL(index.value() - 1, server.status().commitIndex);
  server.raft().onPersisted(server.now());
  CHECK_EQUAL(index.value(), server.status().commitIndex);
}

TEST(LeaderTest, itsSyncHoldsUpNeitherHeartbeatsNorCommitment) {
  server.receive(2, makeAccepted(term, server.status().lastIndex));
  server.receive(3, makeAccepted(term, server.status().lastIndex));
  const auto index = server.raft().propose(server.now(), "command");
  const RaftOutputs outputs = server.raft().takeOutputs();
  CHECK_FALSE(outputs.persist.empty());
  CHECK_EQUAL_TEXT(2U, outputs.messages.size(), "the entry is sent before it is synced here");
  server.raft().tick(server.now() + RaftOptions{}.heartbeatInterval);
  CHECK_EQUAL(2U, server.raft().takeOutputs().messages.size());
  for (const std::uint64_t follower : {2U, 3U}) {
    server.raft().receive(server.now(), {base::ServerId{follower}, base::ServerId{1},
                                         makeAccepted(term, index.value())});
  }
  CHECK_EQUAL(index.value(), server.status().commitIndex);
  CHECK_EQUAL(index.value(), server.raft().takeOutputs().committed.back().index);
}

TEST(LeaderTest, entriesOfEarlierTermsAreNotCommittedByCounting) {
  // Figure 8 of the Raft paper: entries 2 and 3 are in the log from an earlier term.
  TestServer follower(1, makeMembership(3));
  follower.receive(2, makeAppend(2, kBootstrap, makeEntries(2, 2, 3)));
  follower.elect();
  CHECK_TRUE(follower.status().role == Role::leader);
  const Term own = follower.status().term;
  follower.receive(3, makeAccepted(own, 3));
  CHECK_EQUAL(0U, follower.status().commitIndex);
  follower.receive(3, makeAccepted(own, 4));
  CHECK_EQUAL(4U, follower.status().commitIndex);
}

TEST(LeaderTest, aRefusalIsFollowedFromTheHint) {
  for (int count = 0; count < 5; ++count) {
    propose();
  }
  server.takeSent();
  server.receive(2, makeRefused(term, 1));
  const AppendRequest request = lastAppendTo(2);
  CHECK_EQUAL(0U, request.previousIndex);
  CHECK_EQUAL(0U, request.previousTerm);
  CHECK_EQUAL(1U, request.entries.front().index);
}

TEST(LeaderTest, aLateRefusalNeverGoesBelowWhatMatches) {
  const LogIndex index = propose();
  server.receive(2, makeAccepted(term, index));
  server.takeSent();
  server.receive(2, makeRefused(term, 1));
  server.advance(RaftOptions{}.heartbeatInterval);
  CHECK_EQUAL(index, lastAppendTo(2).previousIndex);
}

TEST(LeaderTest, invalidRepliesAreIgnored) {
  const LogIndex index = propose();
  server.receive(2, makeAccepted(term - 1, index));  // Earlier term.
  server.receive(2, makeAccepted(term, index + 1));  // Past the end of the log.
  server.receive(9, makeAccepted(term, index));      // Not a member.
  server.receive(9, makeAccepted(term + 4, index));
  CHECK_EQUAL(0U, server.status().commitIndex);
  CHECK_EQUAL(term, server.status().term);
  CHECK_TRUE(server.status().role == Role::leader);
}

TEST(LeaderTest, aLowerMatchThanKnownChangesNothing) {
  const LogIndex index = propose();
  server.receive(2, makeAccepted(term, index));
  server.receive(2, makeAccepted(term, 1));
  CHECK_EQUAL(index, server.status().commitIndex);
  const LogIndex next = propose();
  server.receive(3, makeAccepted(term, next));
  CHECK_EQUAL(next, server.status().commitIndex);
}

TEST(LeaderTest, aHigherTermInAReplyEndsItsTerm) {
  server.receive(2, makeRefused(term + 3, 0));
  CHECK_TRUE(server.status().role == Role::follower);
  CHECK_EQUAL(term + 3, server.disk().state().hardState.term);
}

TEST(LeaderTest, anotherLeaderOfItsTermIsNeverFollowed) {
  server.takeSent();
  server.receive(2, makeAppend(term, {2, term}, makeEntries(term, 3, 4), 4));
  CHECK_TRUE(server.status().role == Role::leader);
  CHECK_EQUAL(2U, server.status().lastIndex);
  CHECK_FALSE(server.takeSentBodies<AppendReply>().front().accepted);
}

TEST(LeaderTest, appendsToAnUnresponsiveFollowerAreBounded) {
  server.receive(2, makeAccepted(term, 2));
  server.takeSent();
  for (int count = 0; count < 100; ++count) {
    propose();
  }
  std::size_t toSecond = 0;
  for (const Message& message : server.takeSent()) {
    toSecond += message.to.value == 2 ? 1 : 0;
  }
  CHECK_TRUE(toSecond <= 17);
}

TEST(LeaderTest, lostAppendsAreSentAgainAfterAHeartbeat) {
  server.receive(2, makeAccepted(term, 2));
  const LogIndex index = propose();
  server.takeSent();  // Lost.
  server.advance(RaftOptions{}.heartbeatInterval);
  const AppendRequest heartbeat = lastAppendTo(2);
  CHECK_EQUAL(index, heartbeat.previousIndex);
  server.receive(2, makeRefused(term, index));
  CHECK_EQUAL(index, lastAppendTo(2).entries.front().index);
}
