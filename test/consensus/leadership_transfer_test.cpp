/// @file
/// Tests of leadership transfer (TimeoutNow) and read indexes.

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

}  // namespace

TEST_GROUP(LeadershipTransferTest) {
  TestServer server{1, makeMembership(3)};
  Term term = 0;
  std::uint64_t round = 1;  // Latest heartbeat round.

  void setup() override {
    server.elect();
    term = server.status().term;
  }

  void acceptAll(std::uint64_t follower) {
    server.receive(follower, makeAccepted(term, server.status().lastIndex, round));
  }

  /// @return the server to which TimeoutNow was sent since the last call; zero if there is none.
  std::uint64_t timeoutNowTarget() {
    for (const Message& message : server.takeSent()) {
      if (std::holds_alternative<TimeoutNow>(message.body)) {
        return message.to.value;
      }
    }
    return 0;
  }

  void transfer() {
    server.raft().transferLeadership(server.now());
    server.drain();
  }
};

TEST(LeadershipTransferTest, goesToTheMostUpToDateResponsiveVoter) {
  server.receive(2, makeAccepted(term, 1, round));
  acceptAll(3);
  transfer();
  CHECK_EQUAL(3U, timeoutNowTarget());
}

TEST(LeadershipTransferTest, waitsUntilTheTargetHasTheWholeLog) {
  server.receive(2, makeAccepted(term, 1, round));
  transfer();
  CHECK_EQUAL(0U, timeoutNowTarget());
  CHECK_TRUE(server.raft().leaseValid(server.now()));
  acceptAll(2);
  CHECK_EQUAL(2U, timeoutNowTarget());
}

TEST(LeadershipTransferTest, takesNoProposalsMeanwhile) {
  acceptAll(2);
  transfer();
  CHECK_TRUE(server.raft().propose(server.now(), "x").error().code == base::ErrorCode::notLeader);
  const auto change = server.raft().changeMembership(server.now(), makeMembership(2));
  CHECK_TRUE(change.error().code == base::ErrorCode::notLeader);
}

TEST(LeadershipTransferTest, theLeaseEndsWithTimeoutNow) {
  acceptAll(2);
  CHECK_TRUE(server.raft().leaseValid(server.now()));
  transfer();
  CHECK_FALSE(server.raft().leaseValid(server.now()));
}

TEST(LeadershipTransferTest, isNotStartedWithoutAResponsiveVoter) {
  transfer();
  CHECK_EQUAL(0U, timeoutNowTarget());
  CHECK_TRUE(server.raft().propose(server.now(), "x").has_value());
}

TEST(LeadershipTransferTest, isAbandonedIfTheTargetNeverCatchesUp) {
  server.receive(2, makeAccepted(term, 1, round));
  server.receive(3, makeAccepted(term, 1, round));
  transfer();
  const base::TimePoint begun = server.now();
  while (server.now() < begun + RaftOptions{}.electionTimeoutMax) {
    server.advance(RaftOptions{}.heartbeatInterval);
    ++round;
    server.receive(3, makeAccepted(term, 1, round));
  }
  CHECK_TRUE(server.status().role == Role::leader);
  CHECK_EQUAL(term, server.status().term);
  CHECK_TRUE(server.raft().propose(server.now(), "x").has_value());
}

TEST(LeadershipTransferTest, afterTimeoutNowTheTermIsNotTrustedAgain) {
  acceptAll(2);
  transfer();
  const base::TimePoint begun = server.now();
  while (server.now() < begun + RaftOptions{}.electionTimeoutMax) {
    server.advance(RaftOptions{}.heartbeatInterval);
    ++round;
    acceptAll(3);
  }
  CHECK_TRUE(server.status().role == Role::candidate);
  CHECK_EQUAL(term + 1, server.status().term);
}

TEST(LeadershipTransferTest, theTargetStartsAnElectionAtOnceDespiteTheLease) {
  TestServer target(1, makeMembership(3));
  target.receive(2, makeAppend(2, kBootstrap, {}));
  target.takeSent();
  target.receive(2, TimeoutNow{2});
  CHECK_TRUE(target.status().role == Role::candidate);
  CHECK_EQUAL(3U, target.status().term);
  const auto requests = target.takeSentBodies<VoteRequest>();
  CHECK_EQUAL(2U, requests.size());
  CHECK_TRUE(requests.front().leadershipTransfer);
  CHECK_FALSE(requests.front().preVote);
}

TEST(LeadershipTransferTest, invalidTimeoutNowIsIgnored) {
  struct Case {
    std::uint64_t from;
    Term term;
  };
  for (const Case& each : {Case{2, 1}, Case{2, 3}, Case{3, 2}}) {
    TestServer target(1, makeMembership(3));
    target.receive(2, makeAppend(2, kBootstrap, {}));
    target.receive(each.from, TimeoutNow{each.term});
    CHECK_TRUE(target.status().role == Role::follower);
    CHECK_EQUAL(2U, target.status().term);
  }
}

TEST(LeadershipTransferTest, aLearnerIgnoresTimeoutNow) {
  Membership membership = makeMembership(2);
  membership.members.push_back(makeMember(3, MemberRole::learner));
  TestServer target(3, membership);
  target.receive(2, makeAppend(2, kBootstrap, {}));
  target.receive(2, TimeoutNow{2});
  CHECK_TRUE(target.status().role == Role::follower);
}

TEST_GROUP(ReadIndexTest) {
  TestServer server{1, makeMembership(3)};
  Term term = 0;

  void setup() override {
    server.elect();
    term = server.status().term;
  }

  std::uint64_t beginRead() {
    const auto token = server.raft().beginRead(server.now());
    CHECK_TRUE(token.has_value());
    server.drain();
    return token.value();
  }

  /// @return the read index; zero while leadership is unconfirmed.
  LogIndex ready(std::uint64_t token) {
    const auto index = server.raft().readReady(token);
    CHECK_TRUE(index.has_value());
    return index.value().value_or(0);
  }
};

TEST(ReadIndexTest, needsARoundThatBeganAfterIt) {
  server.receive(2, makeAccepted(term, 2, 1));
  CHECK_EQUAL(2U, server.status().commitIndex);
  server.takeSent();
  const std::uint64_t token = beginRead();
  const auto requests = server.takeSentBodies<AppendRequest>();
  CHECK_EQUAL_TEXT(2U, requests.size(), "the round goes out at once");
  CHECK_EQUAL(token, requests.front().round);
  CHECK_EQUAL(0U, ready(token));
  server.receive(2, makeAccepted(term, 2, token - 1));
  CHECK_EQUAL_TEXT(0U, ready(token), "an answer to an earlier round");
  server.receive(3, makeAccepted(term, 1, token));
  CHECK_EQUAL(2U, ready(token));
}

TEST(ReadIndexTest, aRefusedAppendConfirmsLeadershipToo) {
  server.receive(2, makeAccepted(term, 2, 1));
  const std::uint64_t token = beginRead();
  AppendReply reply = makeRefused(term, 1);
  reply.round = token;
  server.receive(3, reply);
  CHECK_EQUAL(2U, ready(token));
}

TEST(ReadIndexTest, waitsForAnEntryOfTheOwnTerm) {
  const std::uint64_t token = beginRead();
  server.receive(2, makeAccepted(term, 1, token));
  CHECK_EQUAL(0U, ready(token));
  server.receive(2, makeAccepted(term, 2, token));
  CHECK_EQUAL(2U, ready(token));
}

TEST(ReadIndexTest, readsOfOneMomentShareARound) {
  server.takeSent();
  const auto first = server.raft().beginRead(server.now());
  const auto second = server.raft().beginRead(server.now());
  CHECK_EQUAL(first.value(), second.value());
  server.drain();
  CHECK_EQUAL(2U, server.takeSentBodies<AppendRequest>().size());
}

TEST(ReadIndexTest, endsWithTheLeadership) {
  const std::uint64_t token = beginRead();
  server.receive(2, makeRefused(term + 1, 0));
  CHECK_TRUE(server.raft().readReady(token).error().code == base::ErrorCode::notLeader);
  CHECK_TRUE(server.raft().beginRead(server.now()).error().code == base::ErrorCode::notLeader);
  server.advance(1s);
  server.elect();
  CHECK_TRUE(server.status().role == Role::leader);
  CHECK_TRUE(server.raft().readReady(token).error().code == base::ErrorCode::notLeader);
}

TEST(ReadIndexTest, aSingleVoterConfirmsItself) {
  TestServer single(1, makeMembership(1));
  single.advanceToWakeup();
  const auto token = single.raft().beginRead(single.now());
  CHECK_EQUAL(2U, single.raft().readReady(token.value()).value().value());
}
