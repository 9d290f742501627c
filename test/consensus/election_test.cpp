#include "consensus/election.h"

#include <CppUTest/TestHarness.h>

#include "consensus/test_server.h"

using namespace walnut;
using namespace walnut::consensus;
using namespace walnut::consensus::test;

TEST_GROUP(ElectionTest){};

TEST(ElectionTest, singleVoterElectsItselfAndCommits) {
  TestServer server(1, makeMembership(1));
  server.advanceToWakeup();
  CHECK_TRUE(server.status().role == Role::leader);
  const auto index = server.raft().propose(server.now(), "one");
  CHECK_TRUE(index.has_value());
  server.drain();
  CHECK_EQUAL(index.value(), server.status().commitIndex);
  STRCMP_EQUAL("one", server.applied().back().payload.c_str());
  CHECK_TRUE(server.raft().leaseValid(server.now()));
}

TEST(ElectionTest, preVoteLeavesTermUntilMajorityAnswers) {
  TestServer server(1, makeMembership(3));
  const Term term = server.status().term;
  server.advanceToWakeup();
  CHECK_TRUE(server.status().role == Role::preCandidate);
  CHECK_EQUAL(term, server.status().term);
  const auto requests = server.takeSentBodies<VoteRequest>();
  CHECK_EQUAL(2U, requests.size());
  CHECK_TRUE(requests[0].preVote);
  CHECK_EQUAL(term + 1, requests[0].term);

  server.receive(2, VoteReply{term + 1, true, true});
  CHECK_TRUE(server.status().role == Role::candidate);
  CHECK_EQUAL(term + 1, server.status().term);
  CHECK_EQUAL(term + 1, server.disk().state().hardState.term);
  CHECK_EQUAL(1U, server.disk().state().hardState.votedFor.value);

  server.receive(3, VoteReply{term + 1, false, true});
  CHECK_TRUE(server.status().role == Role::leader);
}

TEST(ElectionTest, restartKeepsVoteAndMembership) {
  TestServer server(1, makeMembership(3));
  server.elect();
  const Term term = server.status().term;
  server.restart();
  CHECK_TRUE(server.status().role == Role::follower);
  CHECK_EQUAL(term, server.status().term);
  CHECK_TRUE(server.status().membership == makeMembership(3));
  CHECK_EQUAL(1U, server.status().membershipIndex);
}
