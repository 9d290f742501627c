/// Tests that a leader doesn't store the names of nonexistent models and adapters. In a large fleet
/// the leader stores which gateway requested what, and callers may send new invented names each
/// time.

#include "leader_duties_fixture.h"

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;

namespace {

constexpr std::uint64_t kGateways = 400;
constexpr std::uint16_t kWorkers = 260;
static_assert(kGateways * kWorkers > ViewPublisher::kMaxPairs);

}  // namespace

TEST_GROUP_BASE(DemandNamesTest, LeaderDutiesFixture) {
  ViewDecoder gatewayDecoder;
  std::set<WorkerId> told;

  void startWorker(const std::string& id, std::uint16_t port) {
    state.apply(StoreWorker{{{id}, "svc", {"10.0.2.1", port}, {}, 4, false}});
  }
  void leadLargeFleet() {
    for (std::uint16_t port = 1; port <= kWorkers; ++port) {
      startWorker("x" + std::to_string(port), port);
    }
    lead();
    for (std::uint64_t gateway = 1; gateway <= kGateways; ++gateway) {
      duties->subscribe({gateway}, {});
    }
    runGateway(1s);
  }
  void runGateway(base::Duration duration) {
    run(duration);
    for (const RegistryAction& action : std::exchange(actions, {})) {
      const auto* sent = std::get_if<control::SendToConnection>(&action);
      const bool own = sent != nullptr && sent->connection == kGateway;
      const auto* packed =
          own ? std::get_if<PackedView>(&std::get<RegistryMessage>(sent->message).body) : nullptr;
      if (packed != nullptr) {
        const ViewUpdate update = gatewayDecoder.decode(packed->bytes).value();
        for (const WorkerView& view : update.changed) {
          told.insert(view.record.id);
        }
      }
    }
  }
  void ask(const std::string& model, const std::string& adapter) {
    DemandUpdate update;
    update.demands.push_back({"svc", model, adapter, 1, 1});
    duties->demand(kGateway, update, now);
  }
  /// Starts a worker that holds the model.
  /// @return true if the gateway's view then includes that worker.
  bool toldOnceHeld(const char* model, std::vector<std::string> adapters) {
    startWorker("late", kWorkers + 1);
    duties->stateChanged(now);
    hold("late", model, std::move(adapters));
    runGateway(1s);
    return told.count({"late"}) != 0;
  }
};

TEST(DemandNamesTest, aGatewayIsNotifiedOfAHolderOfADeclaredModelItRequested) {
  leadLargeFleet();
  ask("a", "");
  CHECK_TRUE(toldOnceHeld("a", {}));
}

TEST(DemandNamesTest, aGatewayIsNotifiedOfAHolderOfADeclaredAdapterItRequested) {
  leadLargeFleet();
  ask("a", "a2");
  CHECK_TRUE(toldOnceHeld("a", {"a2"}));
}

TEST(DemandNamesTest, anInventedModelNameIsNotStored) {
  leadLargeFleet();
  ask("invented", "");
  CHECK_FALSE(toldOnceHeld("invented", {}));
}

TEST(DemandNamesTest, anInventedAdapterNameIsNotStored) {
  leadLargeFleet();
  ask("a", "a3");
  CHECK_FALSE(toldOnceHeld("a", {"a3"}));
}

/// A new document may no longer declare a model that workers still serve.
TEST(DemandNamesTest, aHeldModelIsReportedThoughTheDocumentDoesNotDeclareIt) {
  leadLargeFleet();
  CHECK_FALSE(toldOnceHeld("dropped", {}));
  ask("dropped", "");
  runGateway(1s);
  CHECK_EQUAL(1, told.count({"late"}));
}
