/// Guards against overloading a worker that has just started. It can take few requests, but looks
/// idle to every gateway; if it were announced to all of them at once, all would send to it.

#include "registry/leader_duties_fixture.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kGateways = 60;
constexpr double kColdPerSecond = 10;

/// Reads documents like EngineReader, with workers that are cold for 3 s.
class ColdReader : public DocumentReader {
 public:
  base::Result<catalog::Document> read(const std::string& text) const override {
    catalog::Document document = EngineReader().read(text).value();
    document.services[0].coldTime = 3s;
    document.services[0].coldPerSecond = kColdPerSecond;
    return document;
  }
};

}  // namespace

TEST_GROUP_BASE(ColdWorkerTest, LeaderDutiesFixture) {
  ColdReader coldReader;
  DocumentCache coldDocuments{coldReader};
  std::map<protocol::ConnectionId, ViewDecoder> decoders;
  std::map<protocol::ConnectionId, std::map<WorkerId, bool>> leavingTold;

  RegistrationTimes registrations;

  void leadCold() {
    duties = std::make_unique<LeaderDuties>(options, coldDocuments, state, kTerm, kSelf, log, now,
                                            turns, std::nullopt, &registrations);
    for (std::uint64_t gateway = 1; gateway <= kGateways; ++gateway) {
      duties->subscribe({gateway}, {});
    }
    runGateways(200ms);
  }
  /// Reports that many arrivals from every gateway.
  void demandAtAll(std::uint32_t arrivals) {
    for (std::uint64_t gateway = 1; gateway <= kGateways; ++gateway) {
      DemandUpdate update;
      update.demands.push_back({"svc", "a", "", 0, arrivals});
      duties->demand({gateway}, update, now);
    }
  }
  void runGateways(base::Duration duration) {
    run(duration);
    for (const RegistryAction& action : std::exchange(actions, {})) {
      const auto* sent = std::get_if<control::SendToConnection>(&action);
      const auto* packed =
          sent == nullptr ? nullptr
                          : std::get_if<PackedView>(&std::get<RegistryMessage>(sent->message).body);
      if (packed != nullptr) {
        const ViewUpdate update = decoders[sent->connection].decode(packed->bytes).value();
        for (const WorkerView& view : update.changed) {
          leavingTold[sent->connection][view.record.id] = view.record.leaving;
        }
      }
    }
  }
  /// @return the number of gateways that may send to the worker.
  std::size_t toldInService(const char* worker) const {
    return static_cast<std::size_t>(
        std::count_if(leavingTold.begin(), leavingTold.end(), [worker](const auto& told) {
          const auto found = told.second.find({worker});
          return found != told.second.end() && !found->second;
        }));
  }
  void startWorker(const char* id, std::uint16_t port, const char* zone = "") {
    state.apply(StoreWorker{{{id}, "svc", {"10.0.1.1", port}, {zone}, 4, false}});
    duties->stateChanged(now);
  }
};

/// The 60 gateways have 48 requests per second together, so 12 of them have 9.6.
TEST(ColdWorkerTest, itIsAnnouncedOnlyToAsManyGatewaysAsItCanServe) {
  leadCold();
  demandAtAll(8);
  startWorker("w3", 3);
  runGateways(100ms);
  const std::size_t told = toldInService("w3");
  CHECK_TRUE(told >= 1);
  CHECK_TRUE(static_cast<double>(told) * 48 / kGateways <= kColdPerSecond);
}

TEST(ColdWorkerTest, itIsAnnouncedToAllOnceItIsWarm) {
  leadCold();
  demandAtAll(8);
  startWorker("w3", 3);
  runGateways(3100ms);
  CHECK_EQUAL(kGateways, toldInService("w3"));
}

TEST(ColdWorkerTest, itIsAnnouncedToAllIfTheirTotalDemandIsLow) {
  leadCold();
  runGateways(20s);
  demandAtAll(1);
  startWorker("w3", 3);
  runGateways(100ms);
  CHECK_EQUAL(kGateways, toldInService("w3"));
}

TEST(ColdWorkerTest, existingWorkersAreNotCold) {
  leadCold();
  demandAtAll(8);
  runGateways(100ms);
  CHECK_EQUAL(kGateways, toldInService("w1"));
}

TEST(ColdWorkerTest, theWorkersOfAZoneThatComesBackMayBeCold) {
  leadCold();
  startWorker("w3", 3, "zone-a");
  runGateways(3100ms);
  demandAtAll(8);
  state.apply(StoreZoneEvacuation{{"zone-a"}, true, 0});
  duties->stateChanged(now);
  runGateways(100ms);
  CHECK_EQUAL(0, toldInService("w3"));
  state.apply(StoreZoneEvacuation{{"zone-a"}, false, 1});
  duties->stateChanged(now);
  runGateways(100ms);
  CHECK_TRUE(toldInService("w3") < kGateways);
  runGateways(3s);
  CHECK_EQUAL(kGateways, toldInService("w3"));
}

/// The leader is killed two seconds after the start of the worker.
TEST(ColdWorkerTest, aNewLeaderKnowsWhichWorkersStartedRecently) {
  registrations.registered({"w1"}, now);
  now += 2s;
  leadCold();
  CHECK_EQUAL(1, toldInService("w1"));
  CHECK_EQUAL(kGateways, toldInService("w2"));
  runGateways(1s);
  CHECK_EQUAL(kGateways, toldInService("w1"));
}

TEST(ColdWorkerTest, oldRegistrationsAreForgotten) {
  registrations.registered({"w1"}, now);
  registrations.registered({"w2"}, now + 2min);
  CHECK_FALSE(registrations.of({"w1"}).has_value());
  CHECK_TRUE(registrations.of({"w2"}).has_value());
}
