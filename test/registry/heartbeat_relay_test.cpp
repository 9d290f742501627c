/// Tests of HeartbeatRelay: any server acknowledges heartbeats, as the leader of a cell with
/// thousands of workers can't parse all of them.

#include "registry/heartbeat_relay.h"

#include "registry/cluster.h"
#include "walnut/registry/view_codec.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;
using namespace std::chrono_literals;

TEST_GROUP(HeartbeatRelayTest) {
  CellState state;
  HeartbeatRelay relay;
  base::TimePoint now = base::TimePoint(100s);

  static Heartbeat makeHeartbeat(const char* id, std::uint64_t sequence, const char* model = "m") {
    return Cluster::alive(id, sequence, false, {model}).heartbeat;
  }
  /// @return the batch for the leader; empty if none is due.
  HeartbeatBatch batch() { return relay.takeBatch(now).value_or(HeartbeatBatch{}); }
  void setup() override { state.apply(StoreWorker{makeHeartbeat("w", 1).worker}); }
};

TEST(HeartbeatRelayTest, aHeartbeatThatChangesTheRecordIsLeftToTheLeader) {
  CHECK_FALSE(relay.take(makeHeartbeat("unknown", 1), state));
  Heartbeat leaving = makeHeartbeat("w", 2);
  leaving.worker.leaving = true;
  CHECK_FALSE(relay.take(leaving, state));
  Heartbeat elsewhere = makeHeartbeat("w", 3);
  elsewhere.worker.endpoint.port = 81;
  CHECK_FALSE(relay.take(elsewhere, state));
  CHECK_TRUE(relay.takeBatch(now) == std::nullopt);
}

/// The leader stores the version once; the heartbeats after that change nothing.
TEST(HeartbeatRelayTest, aNewSoftwareVersionIsLeftToTheLeaderOnce) {
  Heartbeat versioned = makeHeartbeat("w", 2);
  versioned.worker.softwareVersion = "v1";
  CHECK_FALSE(relay.take(versioned, state));
  state.apply(StoreWorker{versioned.worker});
  versioned.sequence = 3;
  CHECK_TRUE(relay.take(versioned, state));
  STRCMP_EQUAL("v1", batch().changed.at(0).worker.softwareVersion.c_str());
}

/// A server that lags behind the log removes versions from heartbeats.
TEST(HeartbeatRelayTest, aHeartbeatWithoutTheKnownVersionChangesNothing) {
  Heartbeat versioned = makeHeartbeat("w", 2);
  versioned.worker.softwareVersion = "v1";
  state.apply(StoreWorker{versioned.worker});
  CHECK_TRUE(relay.take(makeHeartbeat("w", 3), state));
}

TEST(HeartbeatRelayTest, anUnchangedHeartbeatIsReportedAsContactOnly) {
  CHECK_TRUE(relay.take(makeHeartbeat("w", 1), state));
  CHECK_EQUAL(1, batch().changed.size());
  CHECK_TRUE(relay.take(makeHeartbeat("w", 2), state));
  CHECK_TRUE(batch().contacts.empty());
  now += HeartbeatRelay::kBatchInterval;
  const HeartbeatBatch again = batch();
  CHECK_TRUE(again.changed.empty());
  CHECK_EQUAL(1, again.contacts.size());
  CHECK_EQUAL(2, again.contacts.front().sequence);
}

TEST(HeartbeatRelayTest, aChangedModelIsReportedAfterTheChangeSpacing) {
  relay.take(makeHeartbeat("w", 1), state);
  (void)batch();
  now += HeartbeatRelay::kChangeSpacing;
  relay.take(makeHeartbeat("w", 2, "other"), state);
  CHECK_EQUAL(1, batch().changed.size());
}

TEST(HeartbeatRelayTest, aLateHeartbeatWithALowerSequenceIsIgnored) {
  relay.take(makeHeartbeat("w", 5), state);
  (void)batch();
  CHECK_TRUE(relay.take(makeHeartbeat("w", 4, "other"), state));
  now += HeartbeatRelay::kBatchInterval;
  CHECK_TRUE(batch().changed.empty());
}

TEST(HeartbeatRelayTest, aNewLeaderIsSentFullHeartbeats) {
  relay.take(makeHeartbeat("w", 1), state);
  (void)batch();
  relay.leaderChanged();
  relay.take(makeHeartbeat("w", 2), state);
  now += HeartbeatRelay::kBatchInterval;
  CHECK_EQUAL(1, batch().changed.size());
}

TEST(HeartbeatRelayTest, requestedWorkersAreReportedInFull) {
  relay.take(makeHeartbeat("w", 1), state);
  (void)batch();
  relay.requestFull({{{"w"}, {"gone"}}});
  now += HeartbeatRelay::kChangeSpacing;
  CHECK_EQUAL(1, batch().changed.size());
}

TEST(HeartbeatRelayTest, aForgottenWorkerIsNotReported) {
  relay.take(makeHeartbeat("w", 1), state);
  state.apply(ForgetWorker{{"w"}});
  CHECK_FALSE(relay.take(makeHeartbeat("w", 2), state));
  CHECK_EQUAL(0, relay.workerCount());
  CHECK_TRUE(relay.takeBatch(now) == std::nullopt);
}

/// After a change of leader all workers of a server are reported in full.
TEST(HeartbeatRelayTest, manyFullHeartbeatsAreSentInSeveralBatches) {
  constexpr std::size_t kWorkers = 150;
  for (std::size_t index = 0; index < kWorkers; ++index) {
    Heartbeat one = makeHeartbeat(("w" + std::to_string(index)).c_str(), 1);
    one.worker.endpoint.port = static_cast<std::uint16_t>(1000 + index);
    state.apply(StoreWorker{one.worker});
    CHECK_TRUE(relay.take(one, state));
  }
  std::size_t reportedCount = 0;
  for (int count = 0; count < 3; ++count) {
    const std::size_t changed = batch().changed.size();
    CHECK_TRUE(changed <= HeartbeatRelay::kMaxFullHeartbeats);
    reportedCount += changed;
    now += HeartbeatRelay::kChangeSpacing;
  }
  CHECK_EQUAL(kWorkers, reportedCount);
}

TEST_GROUP(HeartbeatRelayClusterTest) {
  Cluster cluster{2};
  std::uint64_t sequence = 0;
  std::uint16_t leader = 0;
  std::uint16_t other = 0;

  void setup() override {
    const std::vector<std::uint16_t> seeds = {1, 2, 3};
    for (const std::uint16_t port : seeds) {
      cluster.start(port, port, seeds, seeds);
    }
    cluster.start(4, 4, {}, seeds);
    cluster.start(5, 5, {}, seeds);
    cluster.run(5s);
    leader = *cluster.leader();
    other = static_cast<std::uint16_t>(leader % 5 + 1);
    CHECK_TRUE(cluster.callUntilDone(other, Cluster::alive("w", ++sequence, false, {"m"}), 5s));
    cluster.run(100ms);
  }
  ControlAnswer sendHeartbeat(std::uint16_t port) {
    return cluster.call(port, Cluster::alive("w", ++sequence, false, {"m"}));
  }
  /// @return the view of the worker that is sent to a new gateway.
  std::optional<WorkerView> publishedView() {
    ViewDecoder decoder;
    std::optional<WorkerView> view;
    for (const MessageBody& body : cluster.subscribe(*cluster.leader(), 300ms)) {
      if (const auto* packed = std::get_if<PackedView>(&body)) {
        const ViewUpdate update = decoder.decode(packed->bytes).value();
        if (!update.changed.empty()) {
          view = update.changed.front();
        }
      }
    }
    return view;
  }
};

TEST(HeartbeatRelayClusterTest, aFollowerAnswersAtOnceAndKeepsTheWorker) {
  const base::TimePoint before = cluster.now();
  const ControlAnswer answer = sendHeartbeat(other);
  CHECK_TRUE(answer.status == ControlStatus::done);
  CHECK_TRUE(cluster.now() == before);
  CHECK_EQUAL(other, answer.leader->port);
}

TEST(HeartbeatRelayClusterTest, relayedHeartbeatsShowTheLeaderThatTheWorkerIsAlive) {
  for (int count = 0; count < 10; ++count) {
    cluster.run(1s);
    CHECK_TRUE(sendHeartbeat(other).status == ControlStatus::done);
  }
  CHECK_FALSE(publishedView()->silent);
  CHECK_EQUAL(1, publishedView()->models.size());
  cluster.run(6s);
  CHECK_TRUE(publishedView()->silent);
}

/// Such a heartbeat would be acknowledged while the leader considers its worker unresponsive.
TEST(HeartbeatRelayClusterTest, aServerThatIsCutOffTakesNone) {
  cluster.partition(other);
  cluster.run(1s);
  CHECK_TRUE(sendHeartbeat(other).status == ControlStatus::unavailable);
}

TEST(HeartbeatRelayClusterTest, aServerThatWasSuspendedTakesNoneBeforeItHearsTheLeader) {
  cluster.suspend(other);
  cluster.run(3s);
  cluster.resume(other);
  const base::TimePoint before = cluster.now();
  (void)sendHeartbeat(other);
  CHECK_TRUE(cluster.now() > before);
}

TEST(HeartbeatRelayClusterTest, anotherLeaderHearsOfTheWorkerInFull) {
  cluster.partition(leader);
  cluster.run(4s);
  CHECK_TRUE(cluster.leader().has_value());
  const auto third = static_cast<std::uint16_t>(other % 5 + 1);
  for (int count = 0; count < 3; ++count) {
    (void)sendHeartbeat(*cluster.leader() == other ? third : other);
    cluster.run(1s);
  }
  CHECK_FALSE(publishedView()->silent);
  CHECK_EQUAL(1, publishedView()->models.size());
}

/// A leader of an earlier build does not support HeartbeatBatch.
TEST(HeartbeatRelayClusterTest, aLeaderOfAnEarlierBuildIsForwardedEachHeartbeat) {
  Cluster mixed{2};
  const std::vector<std::uint16_t> seeds = {1, 2, 3};
  for (std::uint16_t port = 1; port <= 5; ++port) {
    mixed.setFeatureLevel(port, 0);
  }
  for (const std::uint16_t port : seeds) {
    mixed.start(port, port, seeds, seeds);
  }
  mixed.start(4, 4, {}, seeds);
  mixed.start(5, 5, {}, seeds);
  mixed.run(5s);
  const auto follower = static_cast<std::uint16_t>(*mixed.leader() % 5 + 1);
  CHECK_TRUE(mixed.callUntilDone(follower, Cluster::alive("w", 1, false, {"m"}), 5s));
  const ControlAnswer answer = mixed.call(follower, Cluster::alive("w", 2, false, {"m"}));
  CHECK_TRUE(answer.status == ControlStatus::done);
  CHECK_EQUAL(*mixed.leader(), answer.leader->port);
}
