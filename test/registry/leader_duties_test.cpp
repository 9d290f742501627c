/// When a leader orders workers, and what it must know before.

#include "registry/leader_duties.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

namespace {

constexpr base::ServerId kSelf{7};
constexpr base::ServerId kFormer{3};
constexpr consensus::Term kTerm = 2;
constexpr base::Duration kLease = 3s;
constexpr protocol::ConnectionId kGateway{1};

/// A service "svc" with models a and b, whatever the text.
class EngineReader : public DocumentReader {
 public:
  base::Result<catalog::Document> read(const std::string& /*text*/) const override {
    catalog::Document document;
    document.version = 1;
    catalog::Service service;
    service.name = "svc";
    service.engine.emplace();
    service.engine->slots = 4;
    service.engine->weightsMegabytes = 100;
    service.engine->adapterSlots = 2;
    service.engine->storeLoadsPerSecond = 1;
    for (const char* name : {"a", "b"}) {
      catalog::ModelSpec model;
      model.name = name;
      model.weightsMegabytes = 40;
      model.storeLoadTime = 2s;
      model.adapters = 2;
      service.engine->models.push_back(model);
    }
    document.services.push_back(service);
    return document;
  }
};

struct EventNames : runtime::EventLog {
  std::vector<runtime::LogEvent> lines;
  void write(runtime::LogEvent event, std::initializer_list<runtime::EventField>) override {
    lines.push_back(event);
  }
};

}  // namespace

TEST_GROUP(LeaderDutiesTest) {
  EngineReader reader;
  DocumentCache documents{reader};
  EventNames log;
  RegistryOptions options;
  CellState state;
  base::TimePoint now = base::TimePoint(100s);
  OrderTurns turns{base::TimePoint(0s)};
  std::unique_ptr<LeaderDuties> duties;
  std::vector<RegistryAction> actions;
  bool leaseValid = true;
  bool recordsOrders = true;  ///< The log takes what is proposed.
  std::uint64_t sequence = 0;
  std::map<WorkerId, Holdings> holdings;  ///< That workers told of.
  ViewDecoder decoder;
  std::map<WorkerId, bool> failingTold;

  void setup() override {
    options.orderLease = kLease;
    options.ordersFenced = true;
    state.apply(StoreDocument{1, "text"});
    state.apply(StoreOrderHolder{kFormer});
    for (const char* id : {"w1", "w2"}) {
      state.apply(StoreWorker{
          {{id}, "svc", {"10.0.1.1", static_cast<std::uint16_t>(id[1])}, {}, 4, false}});
    }
  }

  void lead(std::optional<base::TimePoint> lastTurnAt = std::nullopt) {
    duties = std::make_unique<LeaderDuties>(options, documents, state, kTerm, kSelf, log, now,
                                            turns, lastTurnAt);
  }
  /// Runs the leader; its commands are applied at once.
  void run(base::Duration duration) {
    const base::TimePoint end = now + duration;
    for (; now < end; now += 10ms) {
      duties->run(now, true, {});
      for (const Command& command : duties->takeCommands()) {
        commit(command);
      }
      for (RegistryAction& action : duties->takeActions()) {
        actions.push_back(std::move(action));
      }
    }
  }
  void commit(const Command& command) {
    state.apply(command);
    if (const auto* ordered = std::get_if<StoreOrderedWorkers>(&command)) {
      turns.ordered(ordered->workers, now);
      if (ordered->server == kSelf && recordsOrders) {
        duties->ordersRecorded(ordered->batch, now, leaseValid);
      }
    }
    duties->stateChanged(now);
  }
  /// @return the workers that were ordered.
  std::vector<std::string> ordered() const {
    std::vector<std::string> workers;
    for (const RegistryAction& action : actions) {
      if (const auto* order = std::get_if<SendOrder>(&action)) {
        workers.push_back(order->worker.id.value);
      }
    }
    return workers;
  }
  /// Runs the leader, whose questions for reports are answered at once.
  void runAnswering(base::Duration duration) {
    for (const base::TimePoint end = now + duration; now < end;) {
      run(50ms);
      std::vector<RegistryAction> kept;
      for (RegistryAction& action : std::exchange(actions, {})) {
        if (const auto* read = std::get_if<ReadReport>(&action)) {
          WorkerReport report;
          report.holdings = holdings[read->worker.id];
          duties->reportFinished({read->worker.id, report}, now);
        } else {
          kept.push_back(std::move(action));
        }
      }
      actions = std::move(kept);
    }
  }
  void demandModel(const char* model) {
    DemandUpdate update;
    update.demands.push_back({"svc", model, "", 1, 1});
    duties->demand(kGateway, update, now);
  }
  void answerReports() {
    for (const RegistryAction& action : std::exchange(actions, {})) {
      if (const auto* read = std::get_if<ReadReport>(&action)) {
        duties->reportFinished({read->worker.id, WorkerReport{}}, now);
      }
    }
  }
  /// The worker's heartbeat says that it holds the model.
  void hold(const char* worker, const char* model, std::vector<std::string> adapters = {}) {
    Heartbeat heartbeat;
    heartbeat.worker = *state.findWorker({worker});
    heartbeat.sequence = ++sequence;
    heartbeat.holdingsKnown = true;
    heartbeat.holdings.models = {{model, 1, std::move(adapters)}};
    holdings[heartbeat.worker.id] = heartbeat.holdings;
    duties->heartbeat(heartbeat, now);
  }
  /// @return whether the last view told of the worker says that it fails.
  bool toldFailing(const WorkerId& worker) {
    for (const RegistryAction& action : std::exchange(actions, {})) {
      const auto* sent = std::get_if<control::SendToConnection>(&action);
      const auto* packed =
          sent == nullptr ? nullptr
                          : std::get_if<PackedView>(&std::get<RegistryMessage>(sent->message).body);
      if (packed != nullptr) {
        const ViewUpdate update = decoder.decode(packed->bytes).value();
        for (const WorkerView& view : update.changed) {
          failingTold[view.record.id] = view.failing;
        }
      }
    }
    return failingTold[worker];
  }
  template <class Action>
  std::size_t count() const {
    return static_cast<std::size_t>(std::count_if(
        actions.begin(), actions.end(),
        [](const RegistryAction& action) { return std::holds_alternative<Action>(action); }));
  }
};

TEST(LeaderDutiesTest, whereWorkersCheckFencesATurnBeginsOnceReportsCanTellOfTheFormerOrders) {
  lead();
  run(400ms);
  CHECK_TRUE(state.orderHolder() == kFormer);
  run(300ms);
  CHECK_TRUE(state.orderHolder() == kSelf);
}

TEST(LeaderDutiesTest, whereTheyDoNotAWorkerThatTheFormerHolderOrderedWaitsForItsLease) {
  options.ordersFenced = false;
  now += 10s;
  state.apply(StoreOrderedWorkers{kFormer, 1, 1, {{"w1"}, {"w2"}}});
  turns.ordered({{"w1"}, {"w2"}}, now - 500ms);
  lead();
  demandModel("a");
  runAnswering(kLease - 600ms);
  CHECK_EQUAL(0, count<SendOrder>());
  runAnswering(1s);
  CHECK_EQUAL(1, count<SendOrder>());
}

TEST(LeaderDutiesTest, aWorkerThatNobodyOrderedLatelyIsOrderedAtOnce) {
  options.ordersFenced = false;
  now += 10s;
  state.apply(StoreOrderedWorkers{kFormer, 1, 1, {{"w1"}, {"w2"}}});
  turns.ordered({{"w1"}}, now);
  turns.ordered({{"w2"}}, now - 5s);
  lead();
  demandModel("a");
  demandModel("b");
  runAnswering(500ms);
  CHECK_EQUAL(1, ordered().size());
  STRCMP_EQUAL("w2", ordered()[0].c_str());
}

TEST(LeaderDutiesTest, ordersThatThisServerDidNotSeeCountAsGivenWhenItStarted) {
  options.ordersFenced = false;
  now += 10s;
  state.apply(StoreOrderedWorkers{kFormer, 1, 1, {{"w1"}, {"w2"}}});
  turns = OrderTurns(now);
  lead();
  demandModel("a");
  runAnswering(kLease);
  CHECK_EQUAL(0, count<SendOrder>());
  runAnswering(1s);
  CHECK_EQUAL(1, count<SendOrder>());
}

TEST(LeaderDutiesTest, whereFencesAreNotCheckedAnOrderIsInTheLogBeforeItIsSent) {
  options.ordersFenced = false;
  recordsOrders = false;
  lead();
  demandModel("a");
  runAnswering(200ms);
  CHECK_EQUAL(0, count<SendOrder>());
  const base::ServerId last =
      state.lastOrderedBy({"w1"}) == kSelf ? kSelf : state.lastOrderedBy({"w2"});
  CHECK_TRUE(last == kSelf);
  // The log took too long: the order is planned and recorded again.
  recordsOrders = true;
  runAnswering(2s);
  CHECK_EQUAL(1, count<SendOrder>());
}

TEST(LeaderDutiesTest, anOrderThatIsRecordedAfterTheLeaseOfLeadershipIsNotSent) {
  options.ordersFenced = false;
  leaseValid = false;
  lead();
  demandModel("a");
  runAnswering(200ms);
  CHECK_EQUAL(0, count<SendOrder>());
}

TEST(LeaderDutiesTest, aTurnThatFollowsAnotherChangeSoonWaitsForTheLease) {
  lead(now - 1s);
  run(kLease);
  CHECK_TRUE(state.orderHolder() == kFormer);
  run(500ms);
  CHECK_TRUE(state.orderHolder() == kSelf);
}

TEST(LeaderDutiesTest, aChangeThatIsLongerAgoThanTheLeaseDoesNotHoldATurnUp) {
  lead(now - 10s);
  run(700ms);
  CHECK_TRUE(state.orderHolder() == kSelf);
}

TEST(LeaderDutiesTest, allWorkersAreAskedForReportsBeforeAnyIsOrdered) {
  lead();
  demandModel("a");
  run(800ms);
  CHECK_EQUAL(2, count<ReadReport>());
  CHECK_EQUAL(0, count<SendOrder>());
}

TEST(LeaderDutiesTest, askingForReportsTakesNothingFromTheStoreRate) {
  lead();
  demandModel("a");
  run(800ms);
  answerReports();
  run(50ms);
  CHECK_EQUAL(1, count<SendOrder>());
}

TEST(LeaderDutiesTest, onceFormerOrdersAreOutOfDateAllWorkersAreRecordedAsItsOwn) {
  options.ordersFenced = false;
  state.apply(StoreOrderedWorkers{kFormer, 1, 1, {{"w1"}, {"w2"}}});
  lead();
  runAnswering(kLease);
  CHECK_TRUE(state.lastOrderedBy({"w1"}) == kFormer);
  runAnswering(1s);
  CHECK_TRUE(state.lastOrderedBy({"w1"}) == kSelf);
  CHECK_TRUE(state.lastOrderedBy({"w2"}) == kSelf);
}

TEST(LeaderDutiesTest, aServerThatLeadsAgainNeedNotWaitForItsOwnOrders) {
  options.ordersFenced = false;
  now += 10s;
  state.apply(StoreOrderedWorkers{kSelf, 1, 1, {{"w1"}, {"w2"}}});
  turns = OrderTurns(now);
  lead();
  demandModel("a");
  runAnswering(300ms);
  CHECK_EQUAL(1, count<SendOrder>());
}

namespace {

/// What three gateways saw of a worker: it failed all that they sent.
void reportFailures(LeaderDuties& duties, const char* worker, base::TimePoint now) {
  for (std::uint64_t gateway = 1; gateway <= 3; ++gateway) {
    DemandUpdate update;
    update.outcomes.push_back({{worker}, 0, 1});
    duties.demand({gateway}, update, now);
  }
}

}  // namespace

/// Its heartbeats say that it is well and that it holds the model.
TEST(LeaderDutiesTest, aModelThatOnlyAFailingWorkerHoldsIsLoadedElsewhereOnceItIsWaitedFor) {
  lead();
  hold("w1", "a");
  runAnswering(1s);
  reportFailures(*duties, "w1", now);
  runAnswering(200ms);
  CHECK_EQUAL(0, count<SendOrder>());
  demandModel("a");
  runAnswering(200ms);
  CHECK_EQUAL(1, ordered().size());
  STRCMP_EQUAL("w2", ordered()[0].c_str());
}

TEST(LeaderDutiesTest, anAdapterThatOnlyAFailingWorkerHoldsIsLoadedElsewhere) {
  lead();
  hold("w1", "a", {"a1"});
  hold("w2", "a");
  runAnswering(1s);
  reportFailures(*duties, "w1", now);
  runAnswering(100ms);
  DemandUpdate update;
  update.demands.push_back({"svc", "a", "a1", 1, 1});
  duties->demand(kGateway, update, now);
  runAnswering(200ms);
  CHECK_EQUAL(1, ordered().size());
  STRCMP_EQUAL("w2", ordered()[0].c_str());
}

TEST(LeaderDutiesTest, gatewaysAreToldOfAFailingWorkerAndThatItIsTriedAgain) {
  lead();
  hold("w1", "a");
  duties->subscribe(kGateway, {});
  runAnswering(1s);
  CHECK_FALSE(toldFailing({"w1"}));
  reportFailures(*duties, "w1", now);
  run(100ms);
  CHECK_TRUE(toldFailing({"w1"}));
  run(5s);
  CHECK_FALSE(toldFailing({"w1"}));
}

TEST(LeaderDutiesTest, aNewLeaderHoldsNobodyToFailUntilItHearsOfIt) {
  lead();
  reportFailures(*duties, "w1", now);
  run(100ms);
  lead();
  duties->subscribe(kGateway, {});
  run(300ms);
  CHECK_FALSE(toldFailing({"w1"}));
}

/// A leader that is cut off does not know what another one has acknowledged since.
TEST(LeaderDutiesTest, withoutAValidLeaseGatewaysAreToldNothing) {
  lead();
  duties->subscribe(kGateway, {});
  duties->run(now, false, {});
  CHECK_TRUE(duties->takeActions().empty());
  CHECK_TRUE(duties->nextWakeup() > now);
  duties->run(now, true, {});
  actions = duties->takeActions();
  CHECK_TRUE(count<control::SendToConnection>() >= 2);
}

TEST(LeaderDutiesTest, aGatewayIsToldTheViewBeforeTheDocument) {
  lead();
  duties->subscribe(kGateway, {});
  duties->run(now, true, {});
  actions = duties->takeActions();
  std::vector<bool> views;
  for (const RegistryAction& action : actions) {
    if (const auto* sent = std::get_if<control::SendToConnection>(&action)) {
      const auto& body = std::get<RegistryMessage>(sent->message).body;
      views.push_back(std::holds_alternative<PackedView>(body));
    }
  }
  CHECK_TRUE(views == std::vector<bool>({true, false}));
}

/// Seen in the fleet's seed 11: parts that came before the first view were not taken, and as
/// nothing acknowledged them, no more came.
TEST(LeaderDutiesTest, amongManyGatewaysEachIsToldTheViewBeforeTheDocument) {
  constexpr std::uint64_t kGateways = 40;
  lead();
  for (std::uint64_t gateway = 1; gateway <= kGateways; ++gateway) {
    duties->subscribe({gateway}, {});
  }
  run(200ms);
  std::set<protocol::ConnectionId> viewed;
  std::size_t parts = 0;
  for (const RegistryAction& action : actions) {
    if (const auto* sent = std::get_if<control::SendToConnection>(&action)) {
      const auto& body = std::get<RegistryMessage>(sent->message).body;
      if (std::holds_alternative<PackedView>(body)) {
        viewed.insert(sent->connection);
      } else if (std::holds_alternative<DocumentPart>(body)) {
        CHECK_EQUAL(1, viewed.count(sent->connection));
        ++parts;
      }
    }
  }
  CHECK_EQUAL(kGateways, parts);
}

/// A heartbeat that a cut delayed arrives after its sender has crashed and a new incarnation has
/// registered at the same address.
TEST(LeaderDutiesTest, aLateHeartbeatOfAFormerIncarnationDoesNotEndThePresentOne) {
  lead();
  Heartbeat present;
  present.worker = *state.findWorker({"w1"});
  present.sequence = 1;
  Heartbeat former = present;
  former.worker.id = {"former"};
  former.sequence = 9;
  CHECK_FALSE(duties->heartbeat(present, now));
  CHECK_FALSE(duties->heartbeat(former, now + 100ms));
  CHECK_FALSE(duties->heartbeat(former, now + 200ms));
}

TEST(LeaderDutiesTest, aNewIncarnationReplacesOneThatIsSilentAtOnce) {
  lead();
  Heartbeat next;
  next.worker = *state.findWorker({"w1"});
  next.worker.id = {"next"};
  next.sequence = 1;
  CHECK_TRUE(duties->heartbeat(next, now + 2 * options.heartbeatInterval));
}

TEST(LeaderDutiesTest, aNewIncarnationThatCallsAgainReplacesOneThatWasHeardLately) {
  lead();
  Heartbeat next;
  next.worker = *state.findWorker({"w1"});
  next.worker.id = {"next"};
  next.sequence = 1;
  CHECK_FALSE(duties->heartbeat(next, now));
  next.sequence = 2;
  CHECK_TRUE(duties->heartbeat(next, now + 1s));
}

TEST_GROUP_BASE(SuspendedLeaderTest, TEST_GROUP_CppUTestGroupLeaderDutiesTest){
    void setup() override{TEST_GROUP_CppUTestGroupLeaderDutiesTest::setup();
lead();
hold("w1", "a");
hold("w2", "b");
runAnswering(1s);
}
/// Time passes in which nothing runs.
void sleep(base::Duration duration) { now += duration; }
bool toldSilent() const {
  return std::any_of(log.lines.begin(), log.lines.end(), [](runtime::LogEvent event) {
    return event == runtime::LogEvent::workerSilent;
  });
}
}
;

TEST(SuspendedLeaderTest, workersThatCouldNotBeHeardAreNotSilent) {
  sleep(5s);
  run(1s);
  CHECK_FALSE(toldSilent());
  run(5s);
  CHECK_TRUE(toldSilent());
}

TEST(SuspendedLeaderTest, workersThatCouldNotBeHeardAreNotForgotten) {
  sleep(60s);
  run(1s);
  CHECK(state.findWorker({"w1"}) != nullptr);
}

TEST(SuspendedLeaderTest, aCutBeforeTheSuspensionIsNoCrashUntilTheWorkerCouldBeHeard) {
  CutReport report;
  report.cuts.push_back({RequestDigest{}, {"w1"}, false, 0s});
  duties->cutsReported(report, now);
  sleep(5s);
  run(1s);
  CHECK_TRUE(state.requestCrashes().empty());
  hold("w1", "a");
  run(5s);
  CHECK_TRUE(state.requestCrashes().empty());
}

TEST(SuspendedLeaderTest, withoutTheLeaseItTellsAndOrdersNothing) {
  duties->subscribe(kGateway, {});
  demandModel("b");
  sleep(5s);
  actions.clear();
  duties->run(now, false, {});
  for (RegistryAction& action : duties->takeActions()) {
    actions.push_back(std::move(action));
  }
  CHECK_EQUAL(0, count<SendOrder>());
  CHECK_EQUAL(0, count<control::SendToConnection>());
}

/// A model that ends each worker that loads it, as somebody asks for it all the time.
TEST(LeaderDutiesTest, aModelWhoseLoadsEndTheirWorkersIsLoadedEverMoreSeldom) {
  lead();
  hold("w1", "b");
  hold("w2", "b");
  runAnswering(1s);
  std::size_t loads = 0;
  for (const base::TimePoint end = now + 60s; now < end;) {
    demandModel("a");
    runAnswering(50ms);
    for (const RegistryAction& action : std::exchange(actions, {})) {
      const auto* order = std::get_if<SendOrder>(&action);
      if (order == nullptr || order->model != "a") {
        continue;
      }
      ++loads;
      duties->orderFinished({order->order, OrderOutcome::accepted}, now);
      // It ends, and is back at once under another id.
      WorkerRecord next = order->worker;
      next.id = {"next" + std::to_string(loads)};
      state.apply(StoreWorker{next});
      duties->stateChanged(now);
      hold(next.id.value.c_str(), "b");
    }
  }
  CHECK_TEXT(loads >= 4, std::to_string(loads).c_str());
  CHECK(loads <= 8);
}
