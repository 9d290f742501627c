/// Tests of the leader's count of loads from the weight store: which orders use up its rate.

#include "registry/leader_duties_fixture.h"

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;

struct LeaderStoreFixture : LeaderDutiesFixture {
  /// Runs a leader, whose store allows a load per second, until it has sent the first one.
  SendOrder firstLoad() {
    lead();
    demandModel("a");
    while (count<SendOrder>() == 0) {
      runAnswering(50ms);
    }
    for (const RegistryAction& action : actions) {
      if (const auto* order = std::get_if<SendOrder>(&action)) {
        return *order;
      }
    }
    return {};
  }
};

TEST_GROUP_BASE(LeaderStoreTest, LeaderStoreFixture){};

/// Guards against losing the store's rate to loads that never start.
TEST(LeaderStoreTest, aRefusedLoadDoesNotUseTheStoreRate) {
  const SendOrder order = firstLoad();
  duties->orderFinished({order.order, OrderOutcome::refused}, now);
  runAnswering(400ms);
  CHECK_EQUAL(2, count<SendOrder>());
}

/// A load that was accepted or whose outcome is unclear may have started.
TEST(LeaderStoreTest, aLoadThatMayHaveStartedUsesTheStoreRate) {
  const SendOrder order = firstLoad();
  duties->orderFinished({order.order, OrderOutcome::unclear}, now);
  runAnswering(400ms);
  CHECK_EQUAL(1, count<SendOrder>());
}

/// Guards against returning the token of a load that its worker may have started before its loss.
TEST(LeaderStoreTest, aLoadOfALostWorkerUsesTheStoreRate) {
  const SendOrder order = firstLoad();
  state.apply(ForgetWorker{order.worker.id});
  duties->stateChanged(now);
  demandModel("b");
  runAnswering(400ms);
  CHECK_EQUAL(1, count<SendOrder>());
  runAnswering(3s);
  CHECK_EQUAL(2, count<SendOrder>());
}

/// Guards against losing the store's rate to orders that were recorded too late to be sent.
TEST(LeaderStoreTest, aCancelledLoadDoesNotUseTheStoreRate) {
  options.ordersFenced = false;
  leaseValid = false;
  lead();
  demandModel("a");
  runAnswering(1500ms);
  CHECK_EQUAL(0, count<SendOrder>());
  leaseValid = true;
  runAnswering(100ms);
  CHECK_EQUAL(1, count<SendOrder>());
}

/// Guards against loads that stay in progress for good, since the worker of their cancelled order
/// is no longer registered.
TEST(LeaderStoreTest, aCancelledLoadOfALostWorkerDoesNotUseTheStoreRate) {
  options.ordersFenced = false;
  recordsOrders = false;
  lead();
  demandModel("a");
  runAnswering(100ms);
  const WorkerId lost = state.lastOrderedBy({"w1"}) == kSelf ? WorkerId{"w1"} : WorkerId{"w2"};
  CHECK_TRUE(state.lastOrderedBy(lost) == kSelf);
  state.apply(ForgetWorker{lost});
  duties->stateChanged(now);
  recordsOrders = true;
  runAnswering(kMaxRecordingTime + 200ms);
  CHECK_EQUAL(1, count<SendOrder>());
}

namespace {

/// Declares a timeout so short that loads are started one at a time at first.
class ShortTimeoutReader : public EngineReader {
 public:
  base::Result<catalog::Document> read(const std::string& text) const override {
    catalog::Document document = EngineReader::read(text).value();
    catalog::Route route;
    route.timeout = 3s;
    route.services = {{"svc", 1}};
    document.routes = {route};
    return document;
  }
};

}  // namespace

/// Guards against a store that is never used again by a service, since the only load that it may
/// have in progress never ends: its worker had moved to another service when the answer came.
TEST(LeaderStoreTest, aLoadOfAWorkerThatChangedItsServiceEnds) {
  const ShortTimeoutReader shortTimeoutReader;
  DocumentCache shortTimeouts(shortTimeoutReader);
  duties = std::make_unique<LeaderDuties>(options, shortTimeouts, state, kTerm, kSelf, log, now,
                                          turns, std::nullopt);
  demandModel("a");
  while (count<SendOrder>() == 0) {
    runAnswering(50ms);
  }
  const SendOrder order = std::get<SendOrder>(*std::find_if(
      actions.begin(), actions.end(),
      [](const RegistryAction& action) { return std::holds_alternative<SendOrder>(action); }));
  WorkerRecord moved = *state.findWorker(order.worker.id);
  moved.service = "other";
  state.apply(StoreWorker{moved});
  duties->stateChanged(now);
  duties->orderFinished({order.order, OrderOutcome::accepted}, now);
  actions.clear();
  for (int second = 0; second < 30; ++second) {
    demandModel("b");
    hold(moved.id.value.c_str(), "a");
    const WorkerId other{moved.id.value == "w1" ? "w2" : "w1"};
    Heartbeat idle;
    idle.worker = *state.findWorker(other);
    idle.sequence = ++sequence;
    duties->heartbeat(idle, now);
    runAnswering(1s);
  }
  duties.reset();
  CHECK_TRUE(count<SendOrder>() > 0);
}

namespace {

/// Declares a streaming route whose callers leave long before a load ends.
class SlowReplicasReader : public EngineReader {
 public:
  base::Result<catalog::Document> read(const std::string& text) const override {
    catalog::Document document = EngineReader::read(text).value();
    for (catalog::ModelSpec& model : document.services.front().engine->models) {
      model.storeLoadTime = 13200ms;
    }
    catalog::Route route;
    route.kind = catalog::RouteKind::streaming;
    route.timeout = 25s;
    route.targetLatency = 400ms;
    route.targetGap = 300ms;
    route.services = {{"svc", 1}};
    document.routes = {route};
    return document;
  }
};

}  // namespace

/// Guards against a store whose places are compared and logged in tests of the policy only.
TEST(LeaderStoreTest, whereReplicasAreSlowToAddTheGivenPlaceIsLogged) {
  const SlowReplicasReader slowReplicasReader;
  DocumentCache slowReplicas(slowReplicasReader);
  duties = std::make_unique<LeaderDuties>(options, slowReplicas, state, kTerm, kSelf, log, now,
                                          turns, std::nullopt);
  demandModel("a");
  for (int step = 0; step < 100 && count<SendOrder>() == 0; ++step) {
    runAnswering(50ms);
  }
  duties.reset();
  CHECK_TRUE(count<SendOrder>() > 0);
  CHECK_EQUAL(1,
              std::count(log.lines.begin(), log.lines.end(), runtime::LogEvent::storePlaceGiven));
}

/// Guards against the order of the other services: there each load is started as it is decided.
TEST(LeaderStoreTest, elsewhereNoPlaceIsLogged) {
  firstLoad();
  duties.reset();
  CHECK_EQUAL(0,
              std::count(log.lines.begin(), log.lines.end(), runtime::LogEvent::storePlaceGiven));
}
