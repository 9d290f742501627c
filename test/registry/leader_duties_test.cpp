/// Tests of LeaderDuties: order lease, reports, failing workers, views and heartbeats.

#include "registry/leader_duties_fixture.h"

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;

TEST_GROUP_BASE(LeaderDutiesTest, LeaderDutiesFixture){};

TEST(LeaderDutiesTest, withFencingATakeoverWaitsUntilReportsCoverPreviousOrders) {
  lead();
  run(400ms);
  CHECK_TRUE(state.orderHolder() == kFormer);
  run(300ms);
  CHECK_TRUE(state.orderHolder() == kSelf);
}

TEST(LeaderDutiesTest, withoutFencingAWorkerWaitsForTheLeaseOfThePreviousHolder) {
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

TEST(LeaderDutiesTest, aWorkerWithoutRecentOrdersIsOrderedAtOnce) {
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

TEST(LeaderDutiesTest, ordersFromBeforeTheServerStartedCountAsSentAtItsStart) {
  options.ordersFenced = false;
  now += 10s;
  state.apply(StoreOrderedWorkers{kFormer, 1, 1, {{"w1"}, {"w2"}}});
  turns = OrderTimes(now);
  lead();
  demandModel("a");
  runAnswering(kLease);
  CHECK_EQUAL(0, count<SendOrder>());
  runAnswering(1s);
  CHECK_EQUAL(1, count<SendOrder>());
}

TEST(LeaderDutiesTest, withoutFencingAnOrderIsInTheLogBeforeItIsSent) {
  options.ordersFenced = false;
  recordsOrders = false;
  lead();
  demandModel("a");
  runAnswering(200ms);
  CHECK_EQUAL(0, count<SendOrder>());
  const base::ServerId last =
      state.lastOrderedBy({"w1"}) == kSelf ? kSelf : state.lastOrderedBy({"w2"});
  CHECK_TRUE(last == kSelf);
  // The log entry is lost: the order is planned and recorded again.
  recordsOrders = true;
  runAnswering(kMaxRecordingTime + 2s);
  CHECK_EQUAL(1, count<SendOrder>());
}

/// Guards against cells whose disks take longer than some hundred ms for a commit and which never
/// order anything.
TEST(LeaderDutiesTest, withoutFencingAnOrderWhoseRecordingIsSlowIsSent) {
  options.ordersFenced = false;
  recordsOrders = false;
  lead();
  demandModel("a");
  runAnswering(2s);
  CHECK_EQUAL(0, count<SendOrder>());
  constexpr std::uint64_t kFirstBatch = 1;
  duties->ordersRecorded(kFirstBatch, now, leaseValid);
  runAnswering(100ms);
  CHECK_EQUAL(1, count<SendOrder>());
}

TEST(LeaderDutiesTest, anOrderThatWasRecordedTooLateIsNotSent) {
  options.ordersFenced = false;
  recordsOrders = false;
  lead();
  demandModel("a");
  runAnswering(kMaxRecordingTime + 300ms);
  constexpr std::uint64_t kFirstBatch = 1;
  duties->ordersRecorded(kFirstBatch, now, leaseValid);
  CHECK_EQUAL(0, count<SendOrder>());
}

TEST(LeaderDutiesTest, anOrderRecordedAfterTheLeaderLeaseIsNotSent) {
  options.ordersFenced = false;
  leaseValid = false;
  lead();
  demandModel("a");
  runAnswering(200ms);
  CHECK_EQUAL(0, count<SendOrder>());
}

TEST(LeaderDutiesTest, aTakeoverSoonAfterAnotherOneWaitsForTheLease) {
  lead(now - 1s);
  run(kLease);
  CHECK_TRUE(state.orderHolder() == kFormer);
  run(500ms);
  CHECK_TRUE(state.orderHolder() == kSelf);
}

TEST(LeaderDutiesTest, aTakeoverOlderThanTheLeaseDoesNotDelayTheNextOne) {
  lead(now - 10s);
  run(700ms);
  CHECK_TRUE(state.orderHolder() == kSelf);
}

TEST(LeaderDutiesTest, reportsOfAllWorkersAreRequestedBeforeAnyIsOrdered) {
  lead();
  demandModel("a");
  run(800ms);
  CHECK_EQUAL(2, count<ReadReport>());
  CHECK_EQUAL(0, count<SendOrder>());
}

TEST(LeaderDutiesTest, requestsForReportsDoNotUseTheStoreRate) {
  lead();
  demandModel("a");
  run(800ms);
  answerReports();
  run(50ms);
  CHECK_EQUAL(1, count<SendOrder>());
}

/// Guards against a first leader that assumes loads of a previous leader and wastes the burst.
TEST(LeaderDutiesTest, theFirstLeaderOfACellBeginsWithTheBurstOfTheStore) {
  state.apply(StoreOrderHolder{});
  lead();
  demandModels({"a", "b"});
  runAnswering(300ms);
  CHECK_EQUAL(2, count<SendOrder>());
}

TEST(LeaderDutiesTest, aLaterLeaderBeginsWithoutTheBurstOfTheStore) {
  lead();
  demandModels({"a", "b"});
  runAnswering(900ms);
  CHECK_EQUAL(1, count<SendOrder>());
}

/// Guards against losing the store's rate during the time in which no server may send orders.
TEST(LeaderDutiesTest, theTimeBeforeATakeoverCountsForTheStoreRate) {
  lead(now - 1s);
  run(kLease);
  CHECK_TRUE(state.orderHolder() == kFormer);
  demandModels({"a", "b"});
  runAnswering(600ms);
  CHECK_EQUAL(2, count<SendOrder>());
}

TEST(LeaderDutiesTest, allWorkersAreRecordedAsOrderedByTheLeaderOncePreviousOrdersExpire) {
  options.ordersFenced = false;
  state.apply(StoreOrderedWorkers{kFormer, 1, 1, {{"w1"}, {"w2"}}});
  lead();
  runAnswering(kLease);
  CHECK_TRUE(state.lastOrderedBy({"w1"}) == kFormer);
  runAnswering(1s);
  CHECK_TRUE(state.lastOrderedBy({"w1"}) == kSelf);
  CHECK_TRUE(state.lastOrderedBy({"w2"}) == kSelf);
}

TEST(LeaderDutiesTest, aServerThatLeadsAgainDoesNotWaitForItsOwnOrders) {
  options.ordersFenced = false;
  now += 10s;
  state.apply(StoreOrderedWorkers{kSelf, 1, 1, {{"w1"}, {"w2"}}});
  turns = OrderTimes(now);
  lead();
  demandModel("a");
  runAnswering(300ms);
  CHECK_EQUAL(1, count<SendOrder>());
}

namespace {

/// Reports, for three gateways, that a worker failed all their requests.
void reportFailures(LeaderDuties& duties, const char* worker, base::TimePoint now) {
  for (std::uint64_t gateway = 1; gateway <= 3; ++gateway) {
    DemandUpdate update;
    update.outcomes.push_back({{worker}, 0, 1});
    duties.demand({gateway}, update, now);
  }
}

}  // namespace

/// The failing worker's heartbeats report that it is healthy and holds the model.
TEST(LeaderDutiesTest, aModelHeldOnlyByAFailingWorkerIsLoadedElsewhereOnceRequestsWait) {
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

TEST(LeaderDutiesTest, anAdapterHeldOnlyByAFailingWorkerIsLoadedElsewhere) {
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
  CHECK_FALSE(publishedAsFailing({"w1"}));
  reportFailures(*duties, "w1", now);
  run(100ms);
  CHECK_TRUE(publishedAsFailing({"w1"}));
  run(5s);
  CHECK_FALSE(publishedAsFailing({"w1"}));
}

TEST(LeaderDutiesTest, aNewLeaderHoldsNobodyToFailUntilItHearsOfIt) {
  lead();
  reportFailures(*duties, "w1", now);
  run(100ms);
  lead();
  duties->subscribe(kGateway, {});
  run(300ms);
  CHECK_FALSE(publishedAsFailing({"w1"}));
}

/// A partitioned leader does not know what another leader has acknowledged since.
TEST(LeaderDutiesTest, withoutAValidLeaseGatewaysAreToldNothing) {
  lead();
  duties->subscribe(kGateway, {});
  duties->run(now, {}, {});
  CHECK_TRUE(duties->takeActions().empty());
  CHECK_TRUE(duties->nextWakeup() > now);
  duties->run(now, {true, true}, {});
  actions = duties->takeActions();
  CHECK_TRUE(count<control::SendToConnection>() >= 2);
}

TEST(LeaderDutiesTest, aGatewayIsSentTheViewBeforeTheDocument) {
  lead();
  duties->subscribe(kGateway, {});
  duties->run(now, {true, true}, {});
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

/// Guards against sending document parts before the first view: gateways don't take them, and
/// without their acknowledgement no more parts are sent.
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

/// A heartbeat delayed by a network partition arrives after its sender has crashed and a new
/// incarnation has registered at the same address.
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

TEST(LeaderDutiesTest, aNewIncarnationReplacesAnUnresponsiveOneAtOnce) {
  lead();
  Heartbeat next;
  next.worker = *state.findWorker({"w1"});
  next.worker.id = {"next"};
  next.sequence = 1;
  CHECK_TRUE(duties->heartbeat(next, now + 2 * options.heartbeatInterval));
}

TEST(LeaderDutiesTest, aNewIncarnationReplacesALiveOneWithItsSecondHeartbeat) {
  lead();
  Heartbeat next;
  next.worker = *state.findWorker({"w1"});
  next.worker.id = {"next"};
  next.sequence = 1;
  CHECK_FALSE(duties->heartbeat(next, now));
  next.sequence = 2;
  CHECK_TRUE(duties->heartbeat(next, now + 1s));
}
