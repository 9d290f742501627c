#include "control/controller_cell.h"

using namespace walnut;
using control::ClaimOutcome;
using control::ControllerCell;
using control::declare;
using control::FakeEngine;
using resource::Kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const resource::Servable kModel{"m", "v1", ""};

std::size_t otherThan(std::size_t server) { return server == 0 ? 1 : 0; }

control::PutResource putDrain(const std::string& requestId, const std::string& reason) {
  return {requestId, std::nullopt, declare(Kind::drain, "e", resource::DrainSpec{reason})};
}

bool hasError(const protocol::ApiReply& reply, base::ErrorCode code) {
  return reply.error && reply.error->code == code;
}

/// Three servers, one engine `e1`, and model `m` with a limit of one replica, for which a router
/// has just reported demand.
struct RequestedModelCell {
  RequestedModelCell() {
    cell.declareModel(leader, 1);
    cell.run(seconds(2));
    cell.demand(1, 1);
  }

  ControllerCell cell{3};
  FakeEngine& engine = cell.addEngine("e1");
  const std::size_t leader = cell.awaitLeader();
};

}  // namespace

TEST_GROUP(Controller){};

TEST(Controller, aFollowerForwardsWritesAndReadsToTheLeader) {
  ControllerCell cell(3);
  const std::size_t follower = otherThan(cell.awaitLeader());
  const auto written = cell.call(follower, putDrain("r1", "repair"));
  CHECK_FALSE(written.error.has_value());
  const auto read = cell.call(follower, protocol::GetResource{{Kind::drain, "e"}});
  CHECK_EQUAL(1, read.resources.size());
  CHECK_EQUAL(written.version, read.resources.front().version);
  CHECK_TRUE(hasError(cell.call(follower, protocol::GetResource{{Kind::drain, "f"}}),
                      base::ErrorCode::notFound));
}

TEST(Controller, aLostForwardedRequestIsForwardedAgain) {
  ControllerCell cell(3);
  const std::size_t leader = cell.awaitLeader();
  const std::size_t follower = otherThan(leader);
  cell.run(seconds(1));  // Time for the follower to learn of the leader.
  cell.setPartitioned(follower, true);
  const std::uint64_t call = cell.beginCall(follower, putDrain("r1", "x"));
  cell.setPartitioned(follower, false);
  CHECK_FALSE(cell.awaitReply(call).error.has_value());
  CHECK_TRUE(cell.leader() == leader);
}

TEST(Controller, aResendToALaterLeaderGetsTheFirstAnswer) {
  ControllerCell cell(3);
  const std::size_t previousLeader = cell.awaitLeader();
  const auto first = cell.call(previousLeader, putDrain("r1", "repair"));
  cell.call(previousLeader, putDrain("r2", "other"));
  cell.setDown(previousLeader, true);
  const std::size_t next = cell.awaitLeader();
  CHECK_TRUE(next != previousLeader);
  const auto again = cell.call(next, putDrain("r1", "repair"));
  CHECK_EQUAL(first.version, again.version);
  CHECK_TRUE(
      hasError(cell.call(next, putDrain("r1", "different")), base::ErrorCode::requestIdReused));
}

TEST(Controller, refusesAMalformedWriteImmediately) {
  ControllerCell cell(3);
  cell.setPartitioned(0, true);
  CHECK_TRUE(hasError(cell.call(0, putDrain("", "x")), base::ErrorCode::missingField));
}

TEST(Controller, withoutAQuorumOnlyAWriteThatMayBeInALogHasAnUnknownOutcome) {
  ControllerCell cell(3);
  const std::size_t leader = cell.awaitLeader();
  const std::size_t follower = otherThan(leader);
  for (std::size_t server = 0; server < 3; ++server) {
    cell.setPartitioned(server, true);
  }
  const std::uint64_t proposed = cell.beginCall(leader, putDrain("r1", "x"));
  cell.run(seconds(2));  // The follower no longer knows a leader.
  const std::uint64_t notProposed = cell.beginCall(follower, putDrain("r2", "x"));
  const std::uint64_t read = cell.beginCall(follower, protocol::ListResources{});
  CHECK_TRUE(hasError(cell.awaitReply(proposed), base::ErrorCode::outcomeUnknown));
  CHECK_TRUE(hasError(cell.awaitReply(notProposed), base::ErrorCode::noQuorum));
  CHECK_TRUE(hasError(cell.awaitReply(read), base::ErrorCode::noQuorum));
}

TEST(Controller, aWriteSentToAPartitionedLeaderIsAnsweredByTheNextLeader) {
  ControllerCell cell(3);
  const std::size_t previousLeader = cell.awaitLeader();
  cell.setPartitioned(previousLeader, true);
  const std::uint64_t call = cell.beginCall(previousLeader, putDrain("r1", "x"));
  cell.run(seconds(2));
  cell.setPartitioned(previousLeader, false);
  CHECK_FALSE(cell.awaitReply(call).error.has_value());
}

TEST(Controller, aPartitionedLeaderAnswersNoReadFromOldState) {
  ControllerCell cell(3);
  const std::size_t previousLeader = cell.awaitLeader();
  cell.call(previousLeader, putDrain("r1", "x"));
  cell.setPartitioned(previousLeader, true);
  const std::uint64_t read =
      cell.beginCall(previousLeader, protocol::GetResource{{Kind::drain, "e"}});
  CHECK_TRUE(hasError(cell.awaitReply(read), base::ErrorCode::noQuorum));
}

TEST(Controller, claimsAKeyForOneRequestOnly) {
  ControllerCell cell(3);
  const std::size_t leader = cell.awaitLeader();
  const auto connection = cell.connectRouter(leader, 1);
  const auto sendClaim = [&](std::size_t server, std::uint64_t sequence, const char* request) {
    protocol::ClaimRequest claim;
    claim.sequence = sequence;
    claim.claim = {"key", base::RequestId{request}, cell.now};
    cell.send(server, connection, claim);
  };
  sendClaim(leader, 1, "first");
  sendClaim(leader, 2, "second");
  sendClaim(leader, 3, "first");
  cell.run(milliseconds(100));
  const std::vector<ClaimOutcome> expected{ClaimOutcome::granted, ClaimOutcome::duplicate,
                                           ClaimOutcome::granted};
  for (std::size_t number = 0; number < expected.size(); ++number) {
    const auto& reply = std::get<protocol::ClaimReply>(cell.toRouters.at(number).second);
    CHECK_EQUAL(number + 1, reply.sequence);
    CHECK_TRUE(reply.outcome == expected[number]);
  }
  cell.toRouters.clear();
  const std::size_t follower = otherThan(leader);
  cell.connectRouter(follower, 1);
  sendClaim(follower, 4, "third");
  const auto& refused = std::get<protocol::ClaimReply>(cell.toRouters.at(0).second);
  CHECK_TRUE(refused.outcome == ClaimOutcome::unavailable);
}

TEST(Controller, aClaimThatMayBeInALogIsNotAnsweredUnavailable) {
  ControllerCell cell(3);
  const std::size_t leader = cell.awaitLeader();
  const auto connection = cell.connectRouter(leader, 1);
  cell.setPartitioned(leader, true);
  protocol::ClaimRequest claim;
  claim.claim = {"key", base::RequestId{"r"}, cell.now};
  cell.send(leader, connection, claim);
  cell.run(seconds(2));
  CHECK_TRUE(cell.toRouters.empty());
  cell.setPartitioned(leader, false);  // The next leader's entry now replaces its entry.
  cell.run(seconds(2));
  const auto& reply = std::get<protocol::ClaimReply>(cell.toRouters.at(0).second);
  CHECK_TRUE(reply.outcome == ClaimOutcome::unavailable);
}

TEST(Controller, anyServerAnswersProbes) {
  ControllerCell cell(3);
  const std::size_t follower = otherThan(cell.awaitLeader());
  const auto connection = cell.connectRouter(follower, 1);
  cell.send(follower, connection, protocol::ProbeRequest{77});
  const auto& reply = std::get<protocol::ProbeReply>(cell.toRouters.at(0).second);
  CHECK_EQUAL(77, reply.sequence);
  CHECK_EQUAL(follower + 1, reply.server.value);
  CHECK_EQUAL(cell.status(follower).lastIndex, reply.lastLogIndex);
}

TEST(Controller, aBurstAtManyRoutersLoadsNoMoreThanTheLimit) {
  ControllerCell cell(3);
  FakeEngine& one = cell.addEngine("e1");
  FakeEngine& other = cell.addEngine("e2");
  cell.declareModel(cell.awaitLeader(), 1);
  for (int round = 0; round < 10; ++round) {
    for (std::uint64_t router = 1; router <= 20; ++router) {
      cell.demand(router, 10);
    }
    cell.run(milliseconds(300));
  }
  CHECK_EQUAL(1, one.loadsStarted + other.loadsStarted);
  const auto status = cell.cellStatus(0);
  CHECK_EQUAL(1, status.replicas.size());
  CHECK_TRUE(status.replicas.front().state == resource::ReplicaState::ready);
}

TEST(Controller, aNewLeaderTakesOverALoadInProgress) {
  RequestedModelCell requested;
  auto& [cell, engine, previousLeader] = requested;
  cell.runUntil([&] { return engine.loadsStarted == 1; }, seconds(5));
  cell.setDown(previousLeader, true);
  cell.demand(1, 1);
  cell.run(seconds(4));
  CHECK_EQUAL(1, engine.loadsStarted);
  const auto status = cell.cellStatus(*cell.leader());
  CHECK_EQUAL(1, status.replicas.size());
  CHECK_TRUE(status.replicas.front().state == resource::ReplicaState::ready);
}

TEST(Controller, aLateOrderOfAFrozenLeaderIsRefused) {
  ControllerCell cell(3);
  FakeEngine& engine = cell.addEngine("e1");
  const std::size_t previousLeader = cell.awaitLeader();
  cell.declareModel(previousLeader, 1);
  cell.run(seconds(2));
  cell.orderDelay = seconds(10);
  cell.demand(1, 1);
  cell.run(milliseconds(200));  // The order is in flight.
  cell.orderDelay = base::Duration{0};
  cell.setDown(previousLeader, true);
  cell.run(seconds(4));
  CHECK_EQUAL(1, engine.loadsStarted);  // The load of the next leader.
  cell.run(seconds(10));
  CHECK_EQUAL(1, engine.staleOrders);
  cell.setDown(previousLeader, false);
  cell.run(seconds(3));
  CHECK_EQUAL(1, engine.staleOrders);  // The resumed leader sends no more orders.
  CHECK_EQUAL(1, engine.loadsStarted);
}

TEST(Controller, anEngineThatRestartsDuringALoadGetsANewReplica) {
  RequestedModelCell requested;
  auto& [cell, engine, leader] = requested;
  cell.runUntil([&] { return engine.loadsStarted == 1; }, seconds(5));
  engine.restart();
  cell.run(seconds(3));
  CHECK_EQUAL(2, engine.loadsStarted);
  const auto status = cell.cellStatus(leader);
  CHECK_EQUAL(1, status.replicas.size());
  CHECK_TRUE(status.replicas.front().incarnation == engine.incarnation);
}

TEST(Controller, aDrainedEngineIsEmptied) {
  RequestedModelCell requested;
  auto& [cell, engine, leader] = requested;
  cell.run(seconds(3));
  CHECK_EQUAL(1, engine.held.size());
  cell.put(leader, declare(Kind::drain, "e1", resource::DrainSpec{}));
  cell.run(seconds(3));
  CHECK_TRUE(engine.held.empty());
  CHECK_TRUE(cell.cellStatus(leader).replicas.empty());
}

TEST(Controller, aMissingMachineIsRemovedWithItsReplicasOnceItIsUnresponsive) {
  RequestedModelCell requested;
  auto& [cell, engine, leader] = requested;
  cell.run(seconds(2));
  cell.machines.clear();
  cell.run(seconds(30));
  CHECK_TRUE(cell.cellStatus(leader).engines.at(0).status == resource::EngineStatus::leaving);
  engine.isUnreachable = true;
  cell.run(seconds(8));
  CHECK_EQUAL(1, cell.cellStatus(leader).engines.size());
  cell.run(seconds(4));
  CHECK_TRUE(cell.cellStatus(leader).engines.empty());
  CHECK_TRUE(cell.cellStatus(leader).replicas.empty());
}

TEST(Controller, anUnresponsiveEngineKeepsItsReplicas) {
  RequestedModelCell requested;
  auto& [cell, engine, leader] = requested;
  cell.run(seconds(2));
  engine.isUnreachable = true;
  cell.addEngine("e2");
  for (int round = 0; round < 60; ++round) {
    cell.demand(1, 1);
    cell.run(seconds(1));
  }
  const auto replicas = cell.cellStatus(leader).replicas;
  CHECK_EQUAL(1, replicas.size());
  STRCMP_EQUAL("e1", replicas.front().engine.value.c_str());
}

namespace {

/// Three servers, engines `e1` and `e2`, and model `m` loaded on one of them. That engine fails all
/// requests of three routers from now on but reports that it is healthy.
struct FailingEngineCell {
  explicit FailingEngineCell(std::uint32_t maxReplicas) {
    cell.addEngine("e1");
    cell.addEngine("e2");
    leader = cell.awaitLeader();
    cell.declareModel(leader, maxReplicas);
    cell.run(seconds(2));
    cell.demand(1, 1);
    cell.run(seconds(4));
    failing = cell.cellStatus(leader).replicas.at(0).engine.value;
    for (std::uint64_t router = 1; router <= 3; ++router) {
      cell.outcomes(router, failing, 0, 1);
    }
  }
  /// Continues with waiting requests.
  /// @return the engines that hold the model afterwards.
  std::set<std::string> holders() {
    for (int round = 0; round < 3; ++round) {
      cell.demand(1, 1);
      cell.run(seconds(1));
    }
    std::set<std::string> engines;
    for (const auto& replica : cell.cellStatus(leader).replicas) {
      engines.insert(replica.engine.value);
    }
    return engines;
  }

  ControllerCell cell{3};
  std::size_t leader = 0;
  std::string failing;
};

}  // namespace

TEST(Controller, aModelOfAnEngineThatFailsItsRequestsIsLoadedElsewhere) {
  FailingEngineCell failing(2);
  CHECK_EQUAL(2, failing.holders().size());
}

TEST(Controller, aModelAtItsReplicaLimitMovesAwayFromAFailingEngine) {
  FailingEngineCell failing(1);
  const std::set<std::string> holders = failing.holders();
  CHECK_EQUAL(1, holders.size());
  CHECK_FALSE(holders.contains(failing.failing));
}

TEST(Controller, anAddedServerBecomesAVoterAndARemovedOneLeaves) {
  ControllerCell cell(3, 1);
  const std::size_t leader = cell.awaitLeader();
  const protocol::ChangeMember add{"r1", false, cell.member(3)};
  CHECK_FALSE(cell.call(otherThan(leader), add).error.has_value());
  cell.run(seconds(2));
  const auto members = cell.status(leader).membership.members;
  CHECK_EQUAL(4, members.size());
  CHECK_TRUE(members.back().role == consensus::MemberRole::voter);
  CHECK_FALSE(cell.call(leader, add).error.has_value());  // The request is resent.
  const protocol::ChangeMember remove{"r2", true, cell.member(otherThan(leader))};
  CHECK_FALSE(cell.call(leader, remove).error.has_value());
  CHECK_EQUAL(3, cell.status(leader).membership.members.size());
  protocol::ChangeMember withUsedId{"r3", false, cell.member(3)};
  withUsedId.member.peerEndpoint.port = 1;
  CHECK_TRUE(hasError(cell.call(leader, withUsedId), base::ErrorCode::alreadyExists));
}

TEST(Controller, aServerThatMissedManyChangesCatchesUpBySnapshot) {
  control::ControllerOptions options;
  options.snapshotEveryEntries = 20;
  options.snapshotKeepEntries = 5;
  ControllerCell cell(3, 0, options);
  const std::size_t leader = cell.awaitLeader();
  const std::size_t follower = otherThan(leader);
  cell.setPartitioned(follower, true);
  for (int number = 0; number < 100; ++number) {
    cell.put(leader, declare(Kind::drain, "e" + std::to_string(number), resource::DrainSpec{}));
  }
  CHECK_TRUE(cell.status(leader).firstIndex > 50);
  cell.setPartitioned(follower, false);
  cell.run(seconds(3));
  const auto connection = cell.connectRouter(follower, 1);
  cell.send(follower, connection, protocol::WatchRequest{1});
  cell.run(milliseconds(100));
  const auto& page = std::get<protocol::WatchSnapshotPage>(cell.toRouters.at(0).second);
  CHECK_TRUE(page.last);
  CHECK_EQUAL(101, page.changes.size());  // Includes the membership.
}

TEST(Controller, aPlannedStopTransfersLeadershipAndAnswersPendingRequests) {
  ControllerCell cell(3);
  const std::size_t leader = cell.awaitLeader();
  const std::uint64_t pending = cell.beginCall(leader, putDrain("r1", "x"));
  cell.stop(leader);
  cell.runUntil([&] { return cell.stopped.contains(leader); }, seconds(2));
  CHECK_FALSE(cell.awaitReply(pending).error.has_value());
  CHECK_TRUE(cell.leader() != leader);
  CHECK_TRUE(hasError(cell.call(leader, putDrain("r2", "x")), base::ErrorCode::stopping));
}

TEST(Controller, aPlannedStopWithoutAQuorumEndsInTime) {
  ControllerCell cell(3);
  const std::size_t leader = cell.awaitLeader();
  for (std::size_t server = 0; server < 3; ++server) {
    cell.setPartitioned(server, true);
  }
  cell.beginCall(leader, putDrain("r1", "x"));
  cell.stop(leader);
  cell.runUntil([&] { return cell.stopped.contains(leader); }, seconds(6));
}
