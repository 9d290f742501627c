/// Tests of servers that stand still for a while again and again.

#include <algorithm>

#include "consensus/election.h"
#include "consensus/host_pace.h"
#include "consensus/test_messages.h"
#include "consensus/test_server.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::consensus;
using namespace walnut::consensus::test;
using namespace std::chrono_literals;

TEST_GROUP(LeaderPatienceTest) {
  const RaftOptions options;
  const base::TimePoint begin{1000s};
  LeaderPatience patience{options, begin};
};

TEST(LeaderPatienceTest, aSingleLossChangesNothing) {
  patience.leaderLost(begin);
  CHECK_TRUE(patience.allowance(begin) == 0s);
  CHECK_TRUE(patience.allowance(begin + 2 * options.electionTimeoutMax) == 0s);
}

// Guards against elections without end among servers that are held up for longer than any bound of
// the time that they wait (RECOVER).
TEST(LeaderPatienceTest, itGrowsWithoutABoundWhileLeadersAreLostOneAfterTheOther) {
  base::Duration former{-1s};
  for (int loss = 0; loss < 30; ++loss) {
    const base::TimePoint now = begin + loss * 2s;
    patience.leaderFound(now - 1s);
    patience.leaderLost(now);
    CHECK_TRUE(patience.allowance(now) >= former);
    former = patience.allowance(now);
  }
  CHECK_TRUE(former > 15s);
}

TEST(LeaderPatienceTest, itIsABoundedPartOfTheTimeWithoutASteadyLeader) {
  for (int loss = 0; loss < 30; ++loss) {
    const base::TimePoint now = begin + loss * 1s;
    patience.leaderFound(now - 500ms);
    patience.leaderLost(now);
    CHECK_TRUE(patience.allowance(now) <= std::max<base::Duration>(1500ms, (now - begin) / 3));
  }
}

TEST(LeaderPatienceTest, itGrowsWhileNoElectionEnds) {
  CHECK_TRUE(patience.allowance(begin + 30s) > 5s);
  patience.leaderLost(begin);
  CHECK_TRUE(patience.allowance(begin + 30s) > 5s);
}

TEST(LeaderPatienceTest, twoLossesOneAfterTheOtherDoubleTheTime) {
  patience.leaderLost(begin);
  patience.leaderFound(begin + 1s);
  patience.leaderLost(begin + 2s);
  CHECK_TRUE(patience.allowance(begin + 2s) == options.checkQuorumTimeout);
}

TEST(LeaderPatienceTest, aLossAfterASteadyLeadershipCountsAsTheFirst) {
  patience.leaderLost(begin);
  patience.leaderLost(begin + 2s);
  CHECK_TRUE(patience.allowance(begin + 2s) == options.checkQuorumTimeout);
  patience.leaderLost(begin + 20s);
  CHECK_TRUE(patience.allowance(begin + 20s) == 0s);
}

TEST(LeaderPatienceTest, aSteadyLeaderIsWaitedForAsBefore) {
  for (int loss = 0; loss < 10; ++loss) {
    patience.leaderLost(begin + loss * 2s);
  }
  patience.leaderFound(begin + 20s);
  CHECK_TRUE(patience.allowance(begin + 25s) > 0s);
  CHECK_TRUE(patience.allowance(begin + 30s) == 0s);
}

TEST_GROUP(HostPaceTest) {
  const base::TimePoint begin{1000s};
  HostPace pace;
};

TEST(HostPaceTest, aSingleHoldUpChangesNothing) {
  pace.heldUp(begin, 5s);
  CHECK_TRUE(pace.exchangeTime(begin) == 0s);
}

TEST(HostPaceTest, holdUpsCountForSomeSeconds) {
  pace.heldUp(begin, 2s);
  pace.heldUp(begin + 3s, 1s);
  CHECK_TRUE(pace.exchangeTime(begin + 4s) >= 2s);
  CHECK_TRUE(pace.exchangeTime(begin + 20s) == 0s);
}

TEST(HostPaceTest, slowSyncsCount) {
  for (std::uint64_t batch = 1; batch <= 2; ++batch) {
    pace.batchTaken(begin, batch);
  }
  pace.batchSynced(begin + 1s, 2);
  CHECK_TRUE(pace.exchangeTime(begin + 1s) >= 1s);
}

TEST_GROUP(HeldUpTest){};

// Guards against a leader that resigns before it has read the replies that came while it stood
// still.
TEST(HeldUpTest, aLeaderReadsWhatCameBeforeItResigns) {
  TestServer server(1, makeMembership(3));
  server.elect();
  server.acknowledge(2);
  server.advance(100ms);
  server.advance(600ms);
  CHECK_TRUE(server.status().role == Role::leader);
  CHECK_FALSE(server.raft().leaseValid(server.now()));
  server.acknowledge(2);
  server.advance(300ms);
  CHECK_TRUE(server.status().role == Role::leader);
}

TEST(HeldUpTest, withoutRepliesALeaderResignsSoonAfterItGoesOn) {
  TestServer server(1, makeMembership(3));
  server.elect();
  server.acknowledge(2);
  server.advance(700ms);
  server.advance(100ms);
  CHECK_TRUE(server.status().role == Role::follower);
}

TEST(HeldUpTest, aFollowerReadsWhatCameBeforeItAsksForVotes) {
  TestServer server(1, makeMembership(3));
  server.advance(server.raft().nextWakeup() - server.now() + 500ms);
  CHECK_TRUE(server.status().role == Role::follower);
  server.advanceToWakeup();
  CHECK_TRUE(server.status().role == Role::preCandidate);
}

// Guards against elections without end: the replies of servers that are held up in turn come one
// after the other.
TEST(HeldUpTest, preVotesOfFormerRoundsCountForAWhile) {
  TestServer server(1, makeMembership(5));
  server.advanceToWakeup();
  const Term next = server.status().term + 1;
  server.receive(2, VoteReply{next, true, true});
  server.advanceToWakeup();
  CHECK_TRUE(server.status().role == Role::preCandidate);
  server.receive(3, VoteReply{next, true, true});
  CHECK_TRUE(server.status().role == Role::candidate);
}

TEST(HeldUpTest, oldPreVotesDoNotCount) {
  TestServer server(1, makeMembership(5));
  server.advanceToWakeup();
  const Term next = server.status().term + 1;
  server.receive(2, VoteReply{next, true, true});
  const base::TimePoint begin = server.now();
  while (server.now() < begin + 5s) {
    server.advanceToWakeup();
  }
  server.receive(3, VoteReply{next, true, true});
  CHECK_TRUE(server.status().role == Role::preCandidate);
}

// Guards against votes that are split because the request of another candidate lies unread
// (RECOVER).
TEST(HeldUpTest, aServerReadsWhatCameBeforeItStandsForElection) {
  TestServer server(1, makeMembership(3));
  server.advanceToWakeup();
  const Term next = server.status().term + 1;
  server.raft().heldUp(server.now(), 1s);
  server.receive(2, VoteReply{next, true, true});
  CHECK_TRUE(server.status().role == Role::preCandidate);
  server.receive(3, VoteRequest{next, 1, 1, false, false});
  CHECK_TRUE(server.status().role == Role::follower);
  CHECK_EQUAL(next, server.status().term);
}

TEST(HeldUpTest, aServerStandsForElectionOnceItHasRead) {
  TestServer server(1, makeMembership(3));
  server.advanceToWakeup();
  const Term next = server.status().term + 1;
  server.raft().heldUp(server.now(), 1s);
  server.receive(2, VoteReply{next, true, true});
  server.advance(100ms);
  CHECK_TRUE(server.status().role == Role::candidate);
}

// Guards against leaders that resign before they have committed anything, as all servers are held
// up for longer than they wait (RECOVER).
TEST(HeldUpTest, aLeaderThatIsHeldUpAgainAndAgainWaitsLongerForReplies) {
  TestServer server(1, makeMembership(3));
  server.elect();
  server.acknowledge(2);
  for (int holdUp = 0; holdUp < 2; ++holdUp) {
    server.raft().heldUp(server.now(), 1s);
  }
  for (int step = 0; step < 25; ++step) {
    server.advance(100ms);
  }
  CHECK_TRUE(server.status().role == Role::leader);
  CHECK_FALSE(server.raft().leaseValid(server.now()));
}

// Guards against split votes that are waited for until the election timeout, which on slow servers
// is seconds (RECOVER).
TEST(HeldUpTest, ofTwoCandidatesTheOneWithTheLowerIdStandsAgain) {
  for (const std::uint64_t rival : {1, 3}) {
    RaftOptions options;
    options.electionTimeoutMax = 60s;
    TestServer server(2, makeMembership(3), options);
    server.advanceToWakeup();
    VoteReply granted;
    granted.term = 2;
    granted.preVote = true;
    granted.granted = true;
    server.receive(rival, granted);
    CHECK_TRUE(server.status().role == Role::candidate);
    server.receive(rival, makeVoteRequest(2, {1, 1}));
    CHECK_EQUAL(2U, server.status().term);
    server.advance(options.electionTimeoutMin);
    CHECK_EQUAL(rival == 3 ? 3U : 2U, server.status().term);
  }
}
