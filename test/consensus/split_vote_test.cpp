/// @file
/// Tests of servers that could stand for election at the same time, and of leaders whose followers
/// are held up.

#include "consensus/test_messages.h"
#include "consensus/test_server.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::consensus;
using namespace walnut::consensus::test;
using namespace std::chrono_literals;

namespace {

/// Position of the bootstrap entry.
constexpr LogPosition kBootstrap{1, 1};

VoteReply onlyReply(TestServer& server) {
  const auto replies = server.takeSentBodies<VoteReply>();
  CHECK_EQUAL(1U, replies.size());
  return replies.front();
}

}  // namespace

TEST_GROUP(SplitVoteTest){};

/// The other one stood first: it gets the vote.
TEST(SplitVoteTest, ofTwoPreCandidatesTheOneWithTheGreaterIdVotesForTheOther) {
  TestServer server(2, makeMembership(5));
  server.advanceToWakeup();
  VoteRequest request = makeVoteRequest(2, kBootstrap);
  request.preVote = true;
  server.receive(3, request);
  server.receive(1, request);
  server.takeSent();
  CHECK_TRUE(server.status().role == Role::preCandidate);
  request.preVote = false;
  server.receive(1, request);
  CHECK_TRUE(onlyReply(server).granted);
  CHECK_TRUE(server.status().role == Role::follower);
}

/// Guards against votes that are split with a server that asked before this one did (RECOVER).
TEST(SplitVoteTest, aServerThatHasGrantedAPreVoteLetsTheOtherStandFirst) {
  TestServer server(2, makeMembership(5));
  VoteRequest request = makeVoteRequest(2, kBootstrap);
  request.preVote = true;
  const base::TimePoint wakeup = server.raft().nextWakeup();
  server.advance(wakeup - server.now() - 1ms);
  server.receive(1, request);
  CHECK_TRUE(onlyReply(server).granted);
  const base::TimePoint yielded = server.now();
  server.advanceToWakeup();
  VoteReply reply;
  reply.term = 2;
  reply.preVote = true;
  reply.granted = true;
  server.receive(3, reply);
  server.receive(4, reply);
  CHECK_TRUE(server.status().role == Role::preCandidate);
  server.advanceToWakeup();
  CHECK_TRUE(server.now() >= yielded + 100ms);
  CHECK_TRUE(server.status().role == Role::candidate);
}

// Guards against leaders that resign as soon as they go on after a hold-up, before servers that are
// held up in their turn could answer (RECOVER).
TEST(SplitVoteTest, aLeaderWaitsForAnswersForAsLongAsItWasHeldUp) {
  TestServer server(1, makeMembership(3));
  server.elect();
  server.acknowledge(2);
  const base::TimePoint resumed = server.now() + 2s;
  server.raft().heldUp(resumed, 2s);
  server.raft().tick(resumed);
  server.raft().tick(resumed + 1900ms);
  CHECK_TRUE(server.status().role == Role::leader);
  CHECK_FALSE(server.raft().leaseValid(resumed + 1900ms));
  server.raft().tick(resumed + 2100ms);
  CHECK_TRUE(server.status().role == Role::follower);
}
