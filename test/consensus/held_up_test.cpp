/// Tests of servers that stand still for a while again and again.

#include "consensus/election.h"
#include "consensus/test_server.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::consensus;
using namespace walnut::consensus::test;
using namespace std::chrono_literals;

TEST_GROUP(LeaderPatienceTest) {
  const RaftOptions options;
  LeaderPatience patience{options};
  const base::TimePoint begin{1000s};
};

TEST(LeaderPatienceTest, aSingleLossChangesNothing) {
  patience.leaderLost(begin);
  CHECK_TRUE(patience.quorumTimeout() == options.checkQuorumTimeout);
  CHECK_TRUE(patience.followerAllowance() == 0s);
}

TEST(LeaderPatienceTest, itGrowsUpToABoundWhileLeadersAreLostOneAfterTheOther) {
  for (int loss = 0; loss < 10; ++loss) {
    patience.leaderLost(begin + loss * 2s);
    CHECK_TRUE(patience.quorumTimeout() <= patience.longestQuorumTimeout());
  }
  CHECK_TRUE(patience.quorumTimeout() == patience.longestQuorumTimeout());
  CHECK_TRUE(patience.quorumTimeout() == 4 * options.checkQuorumTimeout);
}

TEST(LeaderPatienceTest, aLossAfterASteadyLeadershipCountsAsTheFirst) {
  patience.leaderLost(begin);
  patience.leaderLost(begin + 2s);
  CHECK_TRUE(patience.quorumTimeout() == 2 * options.checkQuorumTimeout);
  patience.leaderLost(begin + 20s);
  CHECK_TRUE(patience.quorumTimeout() == options.checkQuorumTimeout);
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
