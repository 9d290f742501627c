/// Tests of the software versions of workers: from the heartbeat to the replicated state and to
/// gateways, in cells whose servers and gateways are of different builds.

#include <algorithm>
#include <optional>
#include <string>

#include "registry/cell_state.h"
#include "registry/cluster.h"
#include "walnut/registry/view_codec.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kEarlierLevel = feature::kModelForecasts;

WorkerRecord worker(const char* id, std::uint16_t port, const char* version = "",
                    const char* service = "svc") {
  WorkerRecord record{{id}, service, {"10.0.0.1", port}, {"zone"}, 4, false};
  record.softwareVersion = version;
  return record;
}

}  // namespace

TEST_GROUP(ServiceVersionTest) {
  CellState state;

  void store(const WorkerRecord& record) { state.apply(StoreWorker{record}); }
  void forget(const char* id) { state.apply(ForgetWorker{{id}}); }
  void raise() { state.apply(RaiseFeatureLevel{feature::kSoftwareVersions}); }
  /// @return the only version of the service, also after a restore; "none" if there is none.
  std::string only(const char* service = "svc") {
    CellState restored;
    CHECK_TRUE(restored.restore(state.encode()).has_value());
    CHECK_TRUE(restored.onlyVersionOf(service) == state.onlyVersionOf(service));
    CHECK_TRUE(restored.encode() == state.encode());
    return state.onlyVersionOf(service).value_or("none");
  }
};

TEST(ServiceVersionTest, aServiceThatHadOneVersionOnlyIsKnown) {
  raise();
  CHECK_EQUAL(std::string("none"), only());
  store(worker("w1", 1, "v1"));
  store(worker("w2", 2, "v1"));
  store(worker("x", 3, "v2", "other"));
  CHECK_EQUAL(std::string("v1"), only());
  CHECK_EQUAL(std::string("v2"), only("other"));
  forget("w1");
  forget("w2");
  CHECK_EQUAL(std::string("v1"), only());
}

TEST(ServiceVersionTest, severalVersionsAreNeverForgotten) {
  raise();
  store(worker("w1", 1, "v1"));
  store(worker("w2", 2, "v2"));
  CHECK_EQUAL(std::string("none"), only());
  forget("w1");
  store(worker("w3", 3, "v2"));
  CHECK_EQUAL(std::string("none"), only());
}

TEST(ServiceVersionTest, aWorkerOfUnknownVersionIsOneOfAnotherVersion) {
  raise();
  store(worker("w1", 1, "v1"));
  store(worker("w2", 2));
  CHECK_EQUAL(std::string("none"), only());
  forget("w2");
  CHECK_EQUAL(std::string("none"), only());
}

TEST(ServiceVersionTest, aWorkerThatTellsItsVersionLateHadItAllAlong) {
  store(worker("w1", 1));
  raise();
  CHECK_EQUAL(std::string("none"), only());
  store(worker("w2", 2, "v1"));
  CHECK_EQUAL(std::string("none"), only());
  store(worker("w1", 1, "v1"));
  CHECK_EQUAL(std::string("v1"), only());
}

TEST(ServiceVersionTest, aKnownVersionStaysKnown) {
  raise();
  store(worker("w1", 1, "v1"));
  store(worker("w1", 1));
  STRCMP_EQUAL("v1", state.findWorker({"w1"})->softwareVersion.c_str());
  CHECK_EQUAL(std::string("v1"), only());
}

TEST(ServiceVersionTest, aWorkerThatEndedBeforeItToldItsVersionLeavesItUnknown) {
  store(worker("w1", 1));
  raise();
  store(worker("w2", 1, "v1"));  // At the endpoint of the former one.
  CHECK_TRUE(state.wasForgotten({"w1"}));
  CHECK_EQUAL(std::string("none"), only());
}

TEST(ServiceVersionTest, aWorkerThatMovesLeavesTheVersionOfItsServiceUnknown) {
  raise();
  store(worker("w1", 1, "v1"));
  store(worker("w2", 2));
  store(worker("w2", 2, "v1", "other"));
  CHECK_EQUAL(std::string("none"), only());
  CHECK_EQUAL(std::string("v1"), only("other"));
}

/// Which services the forgotten workers had is not remembered.
TEST(ServiceVersionTest, workersForgottenBeforeTheLevelLeaveAllVersionsUnknown) {
  store(worker("w1", 1));
  forget("w1");
  raise();
  store(worker("w2", 2, "v1"));
  CHECK_EQUAL(std::string("none"), only());
  state.apply(RaiseFeatureLevel{feature::kSoftwareVersions + 1});
  CHECK_EQUAL(std::string("none"), only());
}

TEST(ServiceVersionTest, theLevelMayBeReachedInSteps) {
  state.apply(RaiseFeatureLevel{feature::kHeartbeatBatches});
  store(worker("w1", 1));
  raise();
  store(worker("w1", 1, "v1"));
  CHECK_EQUAL(std::string("v1"), only());
}

/// Servers of earlier builds must be able to read the snapshot.
TEST(ServiceVersionTest, aSnapshotBelowTheLevelHasNothingNew) {
  state.apply(RaiseFeatureLevel{kEarlierLevel});
  store(worker("w1", 1));
  store(worker("w2", 2));
  forget("w2");
  const std::string before = state.encode();
  constexpr std::size_t kLevelBytes = 4;
  constexpr std::size_t kZonesBytes = 16;  // The number of zones and of their changes.
  const std::size_t end = before.size() - kLevelBytes - kZonesBytes;
  CHECK_EQUAL(static_cast<int>(kEarlierLevel), static_cast<int>(before.at(end)));
  raise();
  const std::string after = state.encode();
  CHECK_TRUE(after.size() > before.size());
  STRCMP_EQUAL(before.substr(0, end).c_str(), after.substr(0, end).c_str());
}

TEST_GROUP(SoftwareVersionClusterTest) {
  Cluster cluster{2};
  std::uint64_t sequence = 0;

  void start(std::uint16_t port, std::uint32_t level) {
    const std::vector<std::uint16_t> seeds = {1, 2, 3};
    cluster.setFeatureLevel(port, level);
    cluster.start(port, port, port <= 3 ? seeds : std::vector<std::uint16_t>{}, seeds);
  }
  void startFive(std::uint32_t level) {
    for (std::uint16_t port = 1; port <= 5; ++port) {
      start(port, level);
    }
    cluster.run(5s);
  }
  /// Restarts the servers one after the other as this build.
  void upgrade() {
    for (std::uint16_t port = 1; port <= 5; ++port) {
      cluster.stop(port);
      runWithHeartbeats(static_cast<std::uint16_t>(port % 5 + 1), 2);
      start(port, kFeatureLevel);
      runWithHeartbeats(port, 4);
    }
  }
  void sendHeartbeat(std::uint16_t port) {
    ReportAlive alive = Cluster::alive("w", ++sequence, false, {"m"});
    alive.heartbeat.worker.softwareVersion = "software-v1";
    CHECK_TRUE(cluster.callUntilDone(port, alive, 10s));
  }
  void runWithHeartbeats(std::uint16_t port, int seconds) {
    for (int second = 0; second < seconds; ++second) {
      sendHeartbeat(port);
      cluster.run(1s);
    }
  }
  void sendHeartbeats(int rounds) {
    for (int round = 0; round < rounds; ++round) {
      for (std::uint16_t port = 1; port <= 5; ++port) {
        sendHeartbeat(port);
        cluster.run(50ms);
      }
    }
  }
  /// @return how often the log of the server, of which nothing was compacted, stores the worker.
  std::ptrdiff_t storedCount(std::uint16_t port, bool withVersion) {
    const auto& entries = cluster.disk(port).entries;
    return std::count_if(entries.begin(), entries.end(), [withVersion](const auto& entry) {
      if (entry.type != consensus::EntryType::command) {
        return false;
      }
      const Command command = decodeCommand(entry.payload).value();
      const auto* stored = std::get_if<StoreWorker>(&command);
      const bool versioned = entry.payload.find("software-v1") != std::string::npos;
      return stored != nullptr && versioned == withVersion;
    });
  }
  /// @return the version in the view that a new gateway of that level is sent.
  std::string publishedVersion(std::uint32_t gatewayLevel) {
    const std::uint16_t leader = *cluster.leader();
    cluster.connectGateway(leader, gatewayLevel);
    ViewDecoder decoder;
    std::optional<WorkerView> view;
    for (const MessageBody& body : cluster.subscribe(leader)) {
      CHECK_FALSE(std::holds_alternative<ViewUpdate>(body));
      if (const auto* packed = std::get_if<PackedView>(&body)) {
        const ViewUpdate update = decoder.decode(packed->bytes).value();
        if (!update.changed.empty()) {
          view = update.changed.front();
        }
      }
    }
    CHECK_TRUE(view.has_value());
    return view->record.softwareVersion;
  }
  void checkUpgradeFrom(std::uint32_t level) {
    startFive(level);
    sendHeartbeats(1);
    CHECK_EQUAL(0, storedCount(*cluster.leader(), true));
    CHECK_EQUAL(1, storedCount(*cluster.leader(), false));
    upgrade();
    sendHeartbeats(3);
    STRCMP_EQUAL("software-v1", publishedVersion(kFeatureLevel).c_str());
    STRCMP_EQUAL("", publishedVersion(kEarlierLevel).c_str());
    CHECK_EQUAL(1, storedCount(*cluster.leader(), true));
  }
};

TEST(SoftwareVersionClusterTest, aVersionReachesGatewaysAndIsStoredOnce) {
  startFive(kFeatureLevel);
  sendHeartbeats(3);
  STRCMP_EQUAL("software-v1", publishedVersion(kFeatureLevel).c_str());
  CHECK_EQUAL(1, storedCount(*cluster.leader(), true));
  CHECK_EQUAL(0, storedCount(*cluster.leader(), false));
}

TEST(SoftwareVersionClusterTest, aGatewayOfAnEarlierBuildIsSentNoVersion) {
  startFive(kFeatureLevel);
  sendHeartbeats(1);
  STRCMP_EQUAL("", publishedVersion(kEarlierLevel).c_str());
  STRCMP_EQUAL("software-v1", publishedVersion(kFeatureLevel).c_str());
}

TEST(SoftwareVersionClusterTest, aCellWithOneServerOfAnEarlierBuildStoresNoVersion) {
  constexpr std::uint16_t kEarlier = 3;  // A founder that isn't elected here.
  for (std::uint16_t port = 1; port <= 5; ++port) {
    start(port, port == kEarlier ? kEarlierLevel : kFeatureLevel);
  }
  cluster.run(5s);
  CHECK_TRUE(*cluster.leader() != kEarlier);
  sendHeartbeats(2);
  for (std::uint16_t port = 1; port <= 5; ++port) {
    CHECK_EQUAL(0, storedCount(port, true));
    CHECK_EQUAL(1, storedCount(port, false));
  }
  STRCMP_EQUAL("", publishedVersion(kFeatureLevel).c_str());
}

TEST(SoftwareVersionClusterTest, afterAnUpgradeFromHeartbeatBatchesTheVersionIsStoredOnce) {
  checkUpgradeFrom(feature::kHeartbeatBatches);
}

TEST(SoftwareVersionClusterTest, afterAnUpgradeFromNoLevelTheVersionIsStoredOnce) {
  checkUpgradeFrom(0);
}

/// The servers apply their logs again, and must not take the version from the worker meanwhile.
TEST(SoftwareVersionClusterTest, aVersionOutlivesARestartOfAllServers) {
  startFive(kFeatureLevel);
  sendHeartbeats(1);
  for (std::uint16_t port = 1; port <= 5; ++port) {
    cluster.stop(port);
  }
  for (std::uint16_t port = 1; port <= 5; ++port) {
    start(port, kFeatureLevel);
  }
  sendHeartbeats(2);
  STRCMP_EQUAL("software-v1", publishedVersion(kFeatureLevel).c_str());
  CHECK_EQUAL(1, storedCount(*cluster.leader(), true));
}
