/// @file
/// Tests how VoteRequest and VoteReply are handled, and whether votes survive a crash.

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
/// Delay after which the lease is over but the server's own election timeout is not reached yet.
constexpr base::Duration kLeaseOver = 500ms;

/// Makes a server in a cell of three that has no contact to others, at a time after the lease and
/// before its own election.
TestServer makeIdleServer() {
  RaftOptions options;
  options.electionTimeoutMax = 10s;
  TestServer server(1, makeMembership(3), options);
  server.advance(kLeaseOver);
  CHECK_TRUE(server.status().role == Role::follower);
  return server;
}

VoteReply onlyReply(TestServer& server) {
  const auto replies = server.takeSentBodies<VoteReply>();
  CHECK_EQUAL(1U, replies.size());
  return replies.front();
}

}  // namespace

TEST_GROUP(VoteTest){};

TEST(VoteTest, voteIsDurableBeforeTheReply) {
  TestServer server = makeIdleServer();
  server.raft().receive(server.now(),
                        {base::ServerId{2}, base::ServerId{1}, makeVoteRequest(2, kBootstrap)});
  const RaftOutputs outputs = server.raft().takeOutputs();
  CHECK_TRUE(outputs.persist.hardState == (HardState{2, base::ServerId{2}}));
  CHECK_EQUAL(0U, outputs.messages.size());
  server.raft().onPersisted(server.now());
  const RaftOutputs synced = server.raft().takeOutputs();
  CHECK_EQUAL(1U, synced.messages.size());
  CHECK_TRUE(std::get<VoteReply>(synced.messages.front().body).granted);
}

/// Guards against a vote that is counted after a restart with a shorter log than the candidate had.
TEST(VoteTest, anAnnouncedVoteIsWrittenAndNotAnswered) {
  TestServer server = makeIdleServer();
  server.receive(2, VoteAnnouncement{2, 1, 1, false});
  CHECK_EQUAL(0U, server.takeSent().size());
  CHECK_TRUE(server.disk().state().hardState == (HardState{2, base::ServerId{2}}));
  server.receive(2, makeVoteRequest(2, {0, 0}));
  CHECK_FALSE_TEXT(onlyReply(server).granted, "the candidate has lost its log");
  server.receive(2, makeVoteRequest(2, kBootstrap));
  CHECK_TRUE(onlyReply(server).granted);
}

/// Guards against an election after a restart that takes two syncs, one after the other.
TEST(VoteTest, aCandidateAnnouncesItsVotesUntilItsLogIsDurable) {
  RaftOptions options;
  options.announcesVotes = true;
  RecoveredState recovered = makeIdleServer().disk().recover();
  recovered.needsSync = true;
  const auto raft = makeRaft(options, recovered, {}, 1, kStart);
  raft->tick(raft->nextWakeup());
  RaftOutputs outputs = raft->takeOutputs();
  CHECK_TRUE_TEXT(outputs.persist.empty(), "pre-votes promise nothing");
  CHECK_EQUAL(2U, outputs.messages.size());
  VoteReply preVote;
  preVote.term = 2;
  preVote.preVote = true;
  preVote.granted = true;
  raft->receive(kStart + 2s, {base::ServerId{2}, base::ServerId{1}, preVote});
  outputs = raft->takeOutputs();
  CHECK_TRUE(outputs.persist.syncsRecovered);
  CHECK_TRUE(outputs.persist.hardState == (HardState{2, base::ServerId{1}}));
  CHECK_EQUAL(2U, outputs.messages.size());
  CHECK_TRUE(std::holds_alternative<VoteAnnouncement>(outputs.messages.front().body));
  raft->onPersisted(kStart + 2s);
  outputs = raft->takeOutputs();
  CHECK_EQUAL(2U, outputs.messages.size());
  CHECK_TRUE(std::holds_alternative<VoteRequest>(outputs.messages.front().body));
}

TEST(VoteTest, oneVoteATerm) {
  TestServer server = makeIdleServer();
  server.receive(2, makeVoteRequest(2, kBootstrap));
  CHECK_TRUE(onlyReply(server).granted);
  server.receive(3, makeVoteRequest(2, kBootstrap));
  CHECK_FALSE(onlyReply(server).granted);
  server.receive(2, makeVoteRequest(2, kBootstrap));
  CHECK_TRUE_TEXT(onlyReply(server).granted, "a repeated request gets the same answer");
  server.receive(3, makeVoteRequest(3, kBootstrap));
  CHECK_TRUE_TEXT(onlyReply(server).granted, "a later term is a new vote");
}

TEST(VoteTest, voteIsKeptOverARestart) {
  TestServer server = makeIdleServer();
  server.receive(2, makeVoteRequest(2, kBootstrap));
  server.restart();
  server.advance(kLeaseOver);
  server.takeSent();
  server.receive(3, makeVoteRequest(2, kBootstrap));
  CHECK_FALSE(onlyReply(server).granted);
}

TEST(VoteTest, aVoteThatWasLostWithItsReplyIsFree) {
  TestServer server = makeIdleServer();
  server.raft().receive(server.now(),
                        {base::ServerId{2}, base::ServerId{1}, makeVoteRequest(2, kBootstrap)});
  const RaftOutputs lost = server.raft().takeOutputs();
  CHECK_FALSE(lost.persist.empty());
  server.restart();
  server.advance(kLeaseOver);
  server.takeSent();
  server.receive(3, makeVoteRequest(2, kBootstrap));
  CHECK_TRUE(onlyReply(server).granted);
}

TEST(VoteTest, olderLogsAreRefused) {
  struct Case {
    LogPosition last;
    bool granted;
  };
  const Case cases[] = {{{3, 2}, true},  {{2, 3}, true},  {{9, 3}, true},
                        {{2, 2}, false}, {{9, 1}, false}, {{0, 0}, false}};
  for (const Case& each : cases) {
    TestServer server = makeIdleServer();
    server.receive(2, makeAppend(2, kBootstrap, makeEntries(2, 2, 3)));
    server.advance(kLeaseOver);
    server.takeSent();
    server.receive(3, makeVoteRequest(4, each.last));
    CHECK_EQUAL(each.granted, onlyReply(server).granted);
    CHECK_EQUAL_TEXT(4U, server.status().term, "a refused request still tells the term");
  }
}

TEST(VoteTest, aLaterTermIsEnteredOnlyOnceTheLeaseIsOver) {
  TestServer server = makeIdleServer();
  server.receive(2, makeAppend(2, kBootstrap, {}));
  server.advance(kLeaseOver - 1us);
  server.takeSent();
  server.receive(3, makeVoteRequest(5, {9, 4}));
  CHECK_FALSE(onlyReply(server).granted);
  CHECK_EQUAL(2U, server.status().term);
  server.advance(1us);
  server.receive(3, makeVoteRequest(5, {9, 4}));
  CHECK_TRUE(onlyReply(server).granted);
  CHECK_EQUAL(5U, server.status().term);
}

TEST(VoteTest, aLeadershipTransferBypassesTheLease) {
  TestServer server = makeIdleServer();
  server.receive(2, makeAppend(2, kBootstrap, {}));
  server.takeSent();
  VoteRequest request = makeVoteRequest(3, kBootstrap);
  request.leadershipTransfer = true;
  server.receive(3, request);
  CHECK_TRUE(onlyReply(server).granted);
}

TEST(VoteTest, aRestartedVoterRespectsALeaseThatItMayHaveGranted) {
  TestServer server = makeIdleServer();
  server.restart();
  server.takeSent();
  server.receive(3, makeVoteRequest(5, {9, 4}));
  CHECK_FALSE(onlyReply(server).granted);
}

TEST(VoteTest, preVotesChangeNothing) {
  TestServer server = makeIdleServer();
  for (const std::uint64_t candidate : {2U, 3U}) {
    VoteRequest request = makeVoteRequest(2, kBootstrap);
    request.preVote = true;
    server.receive(candidate, request);
    const VoteReply reply = onlyReply(server);
    CHECK_TRUE(reply.granted);
    CHECK_TRUE(reply.preVote);
    CHECK_EQUAL(2U, reply.term);
  }
  CHECK_EQUAL(1U, server.status().term);
  CHECK_TRUE(server.disk().state().hardState == (HardState{1, base::ServerId{}}));
}

TEST(VoteTest, aPreVoteForThePresentTermIsRefused) {
  TestServer server = makeIdleServer();
  VoteRequest request = makeVoteRequest(1, kBootstrap);
  request.preVote = true;
  server.receive(2, request);
  CHECK_FALSE(onlyReply(server).granted);
}

TEST(VoteTest, aLeaderRefusesVotesWhileItLeads) {
  TestServer server(1, makeMembership(3));
  server.elect();
  CHECK_TRUE(server.status().role == Role::leader);
  const Term term = server.status().term;
  server.takeSent();
  server.receive(3, makeVoteRequest(term + 1, {99, term}));
  CHECK_FALSE(onlyReply(server).granted);
  CHECK_TRUE(server.status().role == Role::leader);
  CHECK_EQUAL(term, server.status().term);
}

TEST(VoteTest, aCandidateDoesNotCountItsOwnVoteBeforeItIsDurable) {
  TestServer server(1, makeMembership(3));
  server.advanceToWakeup();
  const Term next = server.status().term + 1;
  server.raft().receive(server.now(),
                        {base::ServerId{2}, base::ServerId{1}, VoteReply{next, true, true}});
  const RaftOutputs outputs = server.raft().takeOutputs();
  CHECK_TRUE(outputs.persist.hardState == (HardState{next, base::ServerId{1}}));
  server.raft().receive(server.now(),
                        {base::ServerId{2}, base::ServerId{1}, VoteReply{next, false, true}});
  CHECK_TRUE(server.status().role == Role::candidate);
  server.raft().onPersisted(server.now());
  CHECK_TRUE(server.status().role == Role::leader);
}

TEST(VoteTest, votesAreAskedForWhileTheOwnOneIsWritten) {
  TestServer server(1, makeMembership(3));
  server.advanceToWakeup();
  server.takeSent();
  const Term next = server.status().term + 1;
  server.raft().receive(server.now(),
                        {base::ServerId{2}, base::ServerId{1}, VoteReply{next, true, true}});
  const RaftOutputs outputs = server.raft().takeOutputs();
  CHECK_FALSE(outputs.persist.empty());
  CHECK_EQUAL(2U, outputs.messages.size());
  CHECK_FALSE(std::get<VoteRequest>(outputs.messages.front().body).preVote);
}

/// Guards against a candidate that states a log which it loses in a crash, and is elected by these
/// votes afterwards, in the same term.
TEST(VoteTest, aCandidateWhoseLogIsNotDurableAsksForVotesOnceItIs) {
  TestServer server = makeIdleServer();
  const auto receive = [&](MessageBody body) {
    server.raft().receive(server.now(), {base::ServerId{2}, base::ServerId{1}, std::move(body)});
  };
  receive(makeAppend(2, kBootstrap, makeEntries(2, 2, 2)));
  CHECK_FALSE(server.raft().takeOutputs().persist.empty());
  receive(TimeoutNow{2});
  CHECK_TRUE(server.status().role == Role::candidate);
  for (const Message& message : server.raft().takeOutputs().messages) {
    CHECK_FALSE(std::holds_alternative<VoteRequest>(message.body));
  }
  server.raft().onPersisted(server.now());
  CHECK_FALSE(server.raft().takeOutputs().persist.empty());
  server.raft().onPersisted(server.now());
  const RaftOutputs outputs = server.raft().takeOutputs();
  CHECK_EQUAL(2U, outputs.messages.size());
  CHECK_EQUAL(2U, std::get<VoteRequest>(outputs.messages.front().body).lastLogIndex);
}

TEST(VoteTest, votesOfOthersAloneElectNobody) {
  TestServer server(1, makeMembership(5));
  server.advanceToWakeup();
  const Term next = server.status().term + 1;
  server.receive(2, VoteReply{next, true, true});
  server.raft().receive(server.now(),
                        {base::ServerId{3}, base::ServerId{1}, VoteReply{next, true, true}});
  CHECK_FALSE(server.raft().takeOutputs().persist.empty());
  for (const std::uint64_t voter : {2U, 3U, 4U, 5U}) {
    server.raft().receive(server.now(),
                          {base::ServerId{voter}, base::ServerId{1}, VoteReply{next, false, true}});
  }
  CHECK_TRUE(server.status().role == Role::candidate);
  server.raft().onPersisted(server.now());
  CHECK_TRUE(server.status().role == Role::leader);
}

/// Guards against elections that end each other while votes are written, and never settle.
TEST(VoteTest, noPreVoteIsGrantedWhileAVoteIsWrittenAndShortlyAfter) {
  RaftOptions options;
  options.electionTimeoutMax = 60s;
  TestServer server(1, makeMembership(3), options);
  server.advance(kLeaseOver);
  server.raft().receive(server.now(),
                        {base::ServerId{2}, base::ServerId{1}, makeVoteRequest(2, kBootstrap)});
  CHECK_FALSE(server.raft().takeOutputs().persist.empty());
  VoteRequest request = makeVoteRequest(3, kBootstrap);
  request.preVote = true;
  const auto isGranted = [&](base::TimePoint now) {
    server.raft().receive(now, {base::ServerId{3}, base::ServerId{1}, request});
    const std::vector<Message> messages = server.raft().takeOutputs().messages;
    return std::get<VoteReply>(messages.back().body).granted;
  };
  const base::TimePoint voted = server.now();
  CHECK_FALSE(isGranted(voted + 3s));
  server.raft().onPersisted(voted + 4s);
  CHECK_FALSE_TEXT(isGranted(voted + 8s), "other disks may be as slow as its own");
  CHECK_TRUE(isGranted(voted + 8s + kLeaseOver));
}

TEST(VoteTest, noElectionBeginsBeforeTheVoteIsDurable) {
  TestServer server = makeIdleServer();
  server.raft().receive(server.now(),
                        {base::ServerId{2}, base::ServerId{1}, makeVoteRequest(2, kBootstrap)});
  CHECK_FALSE(server.raft().takeOutputs().persist.empty());
  CHECK_TRUE(server.raft().nextWakeup() == base::kNever);
  server.raft().tick(server.now() + 30s);
  CHECK_TRUE(server.status().role == Role::follower);
  server.raft().onPersisted(server.now() + 30s);
  CHECK_TRUE(server.raft().nextWakeup() > server.now() + 30s);
}

TEST(VoteTest, votesThatComeAfterTheTimeoutElectWhileTheTermLasts) {
  TestServer server(1, makeMembership(3));
  server.advanceToWakeup();
  const Term next = server.status().term + 1;
  server.receive(2, VoteReply{next, true, true});
  server.advanceToWakeup();
  CHECK_TRUE(server.status().role == Role::preCandidate);
  server.receive(3, VoteReply{next, false, true});
  CHECK_TRUE(server.status().role == Role::leader);
  CHECK_EQUAL(next, server.status().term);
}

TEST(VoteTest, aLeaderThatStepsDownIsNotElectedAgainByItsFormerVotes) {
  TestServer server(1, makeMembership(3));
  server.elect();
  const Term term = server.status().term;
  while (server.status().role == Role::leader) {
    server.advanceToWakeup();
  }
  server.receive(3, VoteReply{term, false, true});
  CHECK_TRUE(server.status().role != Role::leader);
}

TEST(VoteTest, aBatchOfBeforeTheCandidacyDoesNotMakeItsOwnVoteDurable) {
  TestServer server = makeIdleServer();
  const auto receive = [&](MessageBody body) {
    server.raft().receive(server.now(), {base::ServerId{2}, base::ServerId{1}, std::move(body)});
  };
  receive(makeAppend(2, kBootstrap, makeEntries(2, 2, 2)));
  CHECK_FALSE(server.raft().takeOutputs().persist.empty());
  receive(TimeoutNow{2});
  CHECK_TRUE(server.status().role == Role::candidate);
  receive(VoteReply{3, false, true});
  server.raft().onPersisted(server.now());
  CHECK_TRUE(server.status().role == Role::candidate);
  CHECK_TRUE(server.raft().takeOutputs().persist.hardState == (HardState{3, base::ServerId{1}}));
  server.raft().onPersisted(server.now());
  CHECK_TRUE(server.status().role == Role::leader);
}

TEST(VoteTest, invalidVotesAreIgnored) {
  struct Case {
    std::uint64_t from;
    VoteReply reply;
  };
  TestServer server(1, makeMembership(5));
  server.advanceToWakeup();
  const Term next = server.status().term + 1;
  server.receive(2, VoteReply{next, true, true});
  server.receive(3, VoteReply{next, true, true});
  CHECK_TRUE(server.status().role == Role::candidate);
  const Case cases[] = {{2, {next, false, false}},     {3, {next - 1, false, true}},
                        {2, {next, false, true}},      {2, {next, false, true}},
                        {4, {next + 1, true, true}},   {9, {next, false, true}},
                        {9, {next + 5, false, false}}, {5, {next, true, true}}};
  for (const Case& each : cases) {
    server.receive(each.from, each.reply);
    CHECK_TRUE(server.status().role == Role::candidate);
    CHECK_EQUAL(next, server.status().term);
  }
  server.receive(5, VoteReply{next, false, true});
  CHECK_TRUE(server.status().role == Role::leader);
}

TEST(VoteTest, aHigherTermInAReplyEndsTheCandidacy) {
  TestServer server(1, makeMembership(3));
  server.advanceToWakeup();
  server.receive(2, VoteReply{9, true, false});
  CHECK_TRUE(server.status().role == Role::follower);
  CHECK_EQUAL(9U, server.status().term);
  CHECK_EQUAL(9U, server.disk().state().hardState.term);
}

TEST(VoteTest, aCandidateFollowsTheLeaderOfItsTerm) {
  TestServer server(1, makeMembership(3));
  server.advanceToWakeup();
  server.receive(2, VoteReply{2, true, true});
  CHECK_TRUE(server.status().role == Role::candidate);
  server.receive(3, makeAppend(2, kBootstrap, {}));
  CHECK_TRUE(server.status().role == Role::follower);
  CHECK_EQUAL(3U, server.status().leader.value);
  CHECK_TRUE_TEXT(server.disk().state().hardState.votedFor == base::ServerId{1},
                  "the vote for itself stays");
}

TEST(VoteTest, aLearnerDoesNotStartElections) {
  Membership membership = makeMembership(2);
  membership.members.push_back(makeMember(3, MemberRole::learner));
  TestServer server(3, membership);
  CHECK_TRUE(server.raft().nextWakeup() == base::kNever);
  server.advance(10s);
  CHECK_TRUE(server.status().role == Role::follower);
  CHECK_EQUAL(0U, server.takeSent().size());
}

TEST(VoteTest, aLeaderWithoutAMajorityStepsDownWithinTheLeastElectionTimeout) {
  TestServer server(1, makeMembership(3));
  server.elect();
  const base::TimePoint elected = server.now();
  while (server.status().role == Role::leader) {
    server.advanceToWakeup();
  }
  CHECK_TRUE(server.now() - elected <= RaftOptions{}.electionTimeoutMin);
  CHECK_FALSE(server.raft().leaseValid(server.now()));
  CHECK_TRUE(server.raft().propose(server.now(), "x").error().code == base::ErrorCode::notLeader);
}

TEST(VoteTest, aLeaderThatResumesAfterAPauseHasNoLease) {
  TestServer server(1, makeMembership(3));
  server.elect();
  server.acknowledge(2);
  CHECK_TRUE(server.raft().leaseValid(server.now()));
  const base::TimePoint thawed = server.now() + 5min;
  CHECK_FALSE(server.raft().leaseValid(thawed));
  CHECK_TRUE(server.raft().propose(thawed, "x").error().code == base::ErrorCode::notLeader);
  CHECK_TRUE(server.status().role == Role::follower);
}

/// Guards against votes that are split between two servers which ask for them at the same time: on
/// slow disks the next election takes seconds.
TEST(VoteTest, ofTwoPreCandidatesTheOneWithTheGreaterIdWaits) {
  TestServer server(2, makeMembership(5));
  server.advanceToWakeup();
  CHECK_TRUE(server.status().role == Role::preCandidate);
  VoteRequest request = makeVoteRequest(2, kBootstrap);
  request.preVote = true;
  server.takeSent();
  server.receive(3, request);
  CHECK_TRUE(onlyReply(server).granted);
  CHECK_TRUE(server.status().role == Role::preCandidate);
  server.receive(1, request);
  CHECK_TRUE(onlyReply(server).granted);
  CHECK_TRUE(server.status().role == Role::preCandidate);
  VoteReply late;
  late.term = 2;
  late.preVote = true;
  late.granted = true;
  server.receive(3, late);
  CHECK_TRUE(server.status().role == Role::preCandidate);
  const base::TimePoint yielded = server.now();
  server.advanceToWakeup();
  CHECK_TRUE(server.now() >= yielded + 100ms);
  CHECK_TRUE(server.status().role == Role::candidate);
}

/// Guards against pre-votes that are waited for though their voters have asked for one themselves:
/// among servers that are held up that takes seconds (RECOVER).
TEST(VoteTest, aServerThatAsksForAPreVoteCountsAsASupporter) {
  TestServer server(1, makeMembership(5));
  server.advanceToWakeup();
  VoteRequest request = makeVoteRequest(2, kBootstrap);
  request.preVote = true;
  server.receive(2, request);
  CHECK_TRUE(server.status().role == Role::preCandidate);
  server.receive(3, request);
  CHECK_TRUE(server.status().role == Role::candidate);
}

TEST(VoteTest, aServerWithALongerLogIsNoSupporter) {
  TestServer server(1, makeMembership(3));
  server.advanceToWakeup();
  VoteRequest request = makeVoteRequest(2, {2, 1});
  request.preVote = true;
  server.receive(2, request);
  CHECK_TRUE(server.status().role == Role::preCandidate);
}
