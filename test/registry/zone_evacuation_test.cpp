/// Tests of zone evacuations: durable, idempotent, published to gateways and respected by
/// placement.

#include "registry/cluster.h"
#include "registry/leader_duties_fixture.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;
using namespace std::chrono_literals;

namespace {

const std::vector<std::uint16_t> kSeeds = {1, 2, 3};
const EvacuateZone kBegin{{"zone-a"}, true, 0};
const EvacuateZone kEnd{{"zone-a"}, false, 0};

}  // namespace

TEST_GROUP(ZoneEvacuationClusterTest) {
  Cluster cluster{2};

  void startFive() {
    for (const std::uint16_t port : kSeeds) {
      cluster.start(port, port, kSeeds, kSeeds);
    }
    cluster.start(4, 4, {}, kSeeds);
    cluster.start(5, 5, {}, kSeeds);
    cluster.run(5s);
  }
  void order(std::uint16_t port, const EvacuateZone& change) {
    CHECK_TRUE(cluster.callUntilDone(port, change, 20s));
  }
  /// @return true if the zone's worker is out of service in the view sent to a new gateway.
  bool isPublishedOutOfService() {
    const std::uint16_t leader = *cluster.leader();
    ViewDecoder decoder;
    bool leaving = false;
    for (const MessageBody& body : cluster.subscribe(leader)) {
      if (const auto* packed = std::get_if<PackedView>(&body)) {
        const ViewUpdate update = decoder.decode(packed->bytes).value();
        for (const WorkerView& view : update.changed) {
          leaving = view.record.leaving;
        }
      }
    }
    return leaving;
  }
  void registerWorker() {
    ReportAlive alive = Cluster::alive("w", 1, false, {"m"});
    alive.heartbeat.worker.zone = {"zone-a"};
    CHECK_TRUE(cluster.callUntilDone(1, alive, 20s));
  }
};

TEST(ZoneEvacuationClusterTest, anyServerAcceptsAnEvacuation) {
  startFive();
  registerWorker();
  for (std::uint16_t port = 1; port <= 5; ++port) {
    order(port, kBegin);
    CHECK_TRUE(isPublishedOutOfService());
    order(static_cast<std::uint16_t>(port % 5 + 1), kEnd);
    CHECK_FALSE(isPublishedOutOfService());
  }
}

TEST(ZoneEvacuationClusterTest, anEvacuationIsAcknowledgedWithinAHundredMilliseconds) {
  startFive();
  const base::TimePoint before = cluster.now();
  CHECK_TRUE(cluster.call(2, kBegin).status == ControlStatus::done);
  CHECK_TRUE(cluster.now() - before <= 100ms);
}

TEST(ZoneEvacuationClusterTest, aRepeatedEvacuationIsAcknowledgedAgain) {
  startFive();
  order(1, kBegin);
  CHECK_TRUE(cluster.call(2, kBegin).status == ControlStatus::done);
  CHECK_TRUE(cluster.call(*cluster.leader(), kBegin).status == ControlStatus::done);
}

TEST(ZoneEvacuationClusterTest, anUnknownZoneIsRefusedByName) {
  startFive();
  const ControlAnswer answer = cluster.call(1, EvacuateZone{{"nowhere"}, true, 0});
  CHECK_TRUE(answer.status == ControlStatus::refused);
  STRCMP_EQUAL("zone", answer.error.field.c_str());
  CHECK_TRUE(answer.error.detail.find("nowhere") != std::string::npos);
}

TEST(ZoneEvacuationClusterTest, aZoneWithoutWorkersMayBeEvacuated) {
  startFive();
  CHECK_TRUE(cluster.call(3, EvacuateZone{{"zone-b"}, true, 0}).status == ControlStatus::done);
}

TEST(ZoneEvacuationClusterTest, itOutlivesTheLeaderAndAnotherDisk) {
  startFive();
  registerWorker();
  order(4, kBegin);
  const std::uint16_t leader = *cluster.leader();
  const auto other = static_cast<std::uint16_t>(leader % 5 + 1);
  for (std::uint16_t port = 1; port <= 5; ++port) {
    cluster.stop(port);
  }
  cluster.loseDisk(leader);
  cluster.loseDisk(other);
  for (std::uint16_t port = 1; port <= 5; ++port) {
    const bool lost = port == leader || port == other;
    cluster.start(port, lost ? port + 100U : port, {}, kSeeds);
  }
  cluster.run(8s);
  CHECK_TRUE(isPublishedOutOfService());
}

/// A partitioned server forwards its call only after the evacuation of the zone has ended.
TEST(ZoneEvacuationClusterTest, aCallThatComesAfterTheEndChangesNothing) {
  startFive();
  registerWorker();
  const std::uint16_t leader = *cluster.leader();
  order(leader, kBegin);
  order(leader, kEnd);
  cluster.sendAsGateway(leader, ForwardedCall{1, kBegin});
  CHECK_FALSE(isPublishedOutOfService());
}

TEST(ZoneEvacuationClusterTest, whatIsBasedOnAnEarlierStateIsNotAcknowledged) {
  startFive();
  const std::uint16_t leader = *cluster.leader();
  order(leader, kBegin);
  order(leader, kEnd);
  const std::vector<MessageBody> answers = cluster.sendAsGateway(leader, ForwardedCall{1, kBegin});
  CHECK_EQUAL(1, answers.size());
  const auto* answer = std::get_if<ForwardedAnswer>(&answers.front());
  CHECK_TRUE(answer != nullptr && answer->answer.status == ControlStatus::unavailable);
}

/// The log of a server of an earlier build would have an entry that it can't decode.
TEST(ZoneEvacuationClusterTest, itWaitsForServersOfAnEarlierBuild) {
  cluster.setFeatureLevel(1, 0);
  startFive();
  CHECK_TRUE(cluster.call(2, kBegin).status == ControlStatus::unavailable);
  cluster.stop(1);
  cluster.setFeatureLevel(1, kFeatureLevel);
  cluster.start(1, 1, kSeeds, kSeeds);
  order(2, kBegin);
}

TEST(ZoneEvacuationClusterTest, aCellThatKnowsItTakesInNoServerOfAnEarlierBuild) {
  cluster.setFeatureLevel(5, 0);
  startFive();
  order(1, kBegin);
  CHECK_EQUAL(4, cluster.voterCount(*cluster.leader()));
}

TEST_GROUP_BASE(ZoneEvacuationDutiesTest, LeaderDutiesFixture){void evacuate(bool evacuated){
    state.apply(StoreZoneEvacuation{{"zone-a"}, evacuated, state.zoneRevision({"zone-a"})});
duties->stateChanged(now);
}
/// @return the workers in the views that were sent, mapped to true if out of service.
std::map<WorkerId, bool> publishedWorkers() {
  std::map<WorkerId, bool> leaving;
  for (const RegistryAction& action : std::exchange(actions, {})) {
    const auto* sent = std::get_if<control::SendToConnection>(&action);
    const auto* packed =
        sent == nullptr ? nullptr
                        : std::get_if<PackedView>(&std::get<RegistryMessage>(sent->message).body);
    if (packed != nullptr) {
      const ViewUpdate update = decoder.decode(packed->bytes).value();
      for (const WorkerView& view : update.changed) {
        leaving[view.record.id] = view.record.leaving;
      }
    }
  }
  return leaving;
}
void inZoneA(const char* worker) {
  WorkerRecord record = *state.findWorker({worker});
  record.zone = {"zone-a"};
  state.apply(StoreWorker{record});
}
}
;

TEST(ZoneEvacuationDutiesTest, gatewaysAreToldAtOnce) {
  inZoneA("w1");
  lead();
  duties->subscribe(kGateway, {});
  run(100ms);
  CHECK_FALSE(publishedWorkers().at({"w1"}));
  evacuate(true);
  run(20ms);
  const std::map<WorkerId, bool> evacuated = publishedWorkers();
  CHECK_TRUE(evacuated.at({"w1"}));
  CHECK_EQUAL(0, evacuated.count({"w2"}));
  evacuate(false);
  run(20ms);
  CHECK_FALSE(publishedWorkers().at({"w1"}));
}

TEST(ZoneEvacuationDutiesTest, aWorkerThatRegistersLaterIsOutOfServiceToo) {
  lead();
  duties->subscribe(kGateway, {});
  evacuate(true);
  state.apply(StoreWorker{{{"w3"}, "svc", {"10.0.1.1", 3}, {"zone-a"}, 4, false}});
  duties->stateChanged(now);
  run(100ms);
  CHECK_TRUE(publishedWorkers().at({"w3"}));
}

TEST(ZoneEvacuationDutiesTest, aLeavingWorkerDoesNotComeBackWithItsZone) {
  inZoneA("w1");
  WorkerRecord record = *state.findWorker({"w1"});
  record.leaving = true;
  state.apply(StoreWorker{record});
  lead();
  duties->subscribe(kGateway, {});
  evacuate(true);
  evacuate(false);
  run(100ms);
  CHECK_TRUE(publishedWorkers().at({"w1"}));
}

TEST(ZoneEvacuationDutiesTest, modelsOfAnEvacuatedZoneAreLoadedElsewhere) {
  inZoneA("w1");
  lead();
  hold("w1", "a");
  hold("w2", "b");
  runAnswering(1s);
  actions.clear();
  evacuate(true);
  demandModel("a");
  runAnswering(1s);
  CHECK_EQUAL(1, ordered().size());
  STRCMP_EQUAL("w2", ordered().front().c_str());
}
