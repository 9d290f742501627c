/// Tests of ViewPublisher while gateways follow all workers.

#include "registry/view_publisher.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

TEST_GROUP(ViewPublisherTest) {
  const base::TimePoint start = base::TimePoint(100s);
  ViewPublisher publisher{250ms};
  static constexpr std::uint64_t kVersion = 3;

  static WorkerView view(const char* id, bool leaving = false) {
    WorkerView made;
    made.record.id = {id};
    made.record.leaving = leaving;
    return made;
  }
  std::vector<ViewPublisher::Update> updates(base::TimePoint now) {
    return publisher.takeUpdates(now, 1, kVersion, loads, servers);
  }
  std::vector<WorkerLoad> loads;
  std::vector<base::Endpoint> servers;
};

TEST(ViewPublisherTest, theFirstUpdateIsComplete) {
  publisher.setWorker(view("w"));
  publisher.subscribe({1});
  const auto sent = updates(start);
  CHECK_EQUAL(1, sent.size());
  CHECK_TRUE(sent[0].update.complete);
  CHECK_EQUAL(1, sent[0].update.changed.size());
  CHECK_EQUAL(kVersion, sent[0].update.documentVersion);
}

/// Gateways that start together must not block the event loop.
TEST(ViewPublisherTest, completeUpdatesPerTimeSliceAreBounded) {
  constexpr std::uint64_t kGateways = 20;
  for (std::uint64_t gateway = 1; gateway <= kGateways; ++gateway) {
    publisher.subscribe({gateway});
  }
  CHECK_EQUAL(8, updates(start).size());
  CHECK_TRUE(updates(start + 1ms).empty());
  CHECK_TRUE(publisher.nextUpdate() == start + 10ms);
  CHECK_EQUAL(8, updates(start + 10ms).size());
  CHECK_EQUAL(4, updates(start + 20ms).size());
}

TEST(ViewPublisherTest, laterUpdatesHaveOnlyChanges) {
  publisher.setWorker(view("a"));
  publisher.setWorker(view("b"));
  publisher.subscribe({1});
  (void)updates(start);
  publisher.setWorker(view("a"));
  CHECK_TRUE(updates(start + 1ms).empty());
  publisher.setWorker(view("b", true));
  const auto sent = updates(start + 2ms);
  CHECK_EQUAL(1, sent.size());
  CHECK_EQUAL(1, sent[0].update.changed.size());
  CHECK_TRUE(sent[0].update.changed[0].record.leaving);
}

TEST(ViewPublisherTest, aGatewayIsSentAnUpdateEachInterval) {
  publisher.subscribe({1});
  (void)updates(start);
  CHECK_TRUE(updates(start + 249ms).empty());
  CHECK_EQUAL(1, updates(start + 250ms).size());
}

TEST(ViewPublisherTest, aRemovalIsSentToGatewaysThatKnowTheWorker) {
  publisher.setWorker(view("w"));
  publisher.subscribe({1});
  (void)updates(start);
  publisher.removeWorker({"w"});
  publisher.subscribe({2});
  const auto sent = updates(start + 1ms);
  CHECK_EQUAL(2, sent.size());
  CHECK_EQUAL(1, sent[0].update.removed.size());
  CHECK_TRUE(sent[1].update.changed.empty());
  CHECK_TRUE(publisher.workers().empty());
}

TEST(ViewPublisherTest, onlyChangedLoadsAreSentIncludingTheirEnd) {
  publisher.setWorker(view("a"));
  publisher.setWorker(view("b"));
  publisher.subscribe({1});
  loads = {{{"a"}, "", 2}, {{"b"}, "", 1}};
  CHECK_EQUAL(2, updates(start)[0].update.loads.size());
  CHECK_EQUAL(0, updates(start + 250ms)[0].update.loads.size());
  loads = {{{"a"}, "", 3}, {{"b"}, "", 1}};
  CHECK_EQUAL(3, updates(start + 500ms)[0].update.loads.at(0).running);
  loads = {{{"a"}, "", 3}};
  const auto ended = updates(start + 750ms);
  CHECK_EQUAL(1, ended[0].update.loads.size());
  CHECK_TRUE(ended[0].update.loads[0].worker == WorkerId{"b"});
  CHECK_EQUAL(0, ended[0].update.loads[0].running);
}

TEST(ViewPublisherTest, loadsAreNotSentWithEachChangeOfAWorker) {
  publisher.setWorker(view("a"));
  publisher.subscribe({1});
  (void)updates(start);
  loads = {{{"a"}, "", 2}};
  publisher.setWorker(view("a", true));
  CHECK_EQUAL(0, updates(start + 5ms)[0].update.loads.size());
  CHECK_EQUAL(1, updates(start + 255ms)[0].update.loads.size());
}

TEST(ViewPublisherTest, aNewGatewayIsSentAllLoads) {
  publisher.setWorker(view("a"));
  publisher.subscribe({1});
  loads = {{{"a"}, "", 2}};
  (void)updates(start);
  publisher.subscribe({2});
  const auto sent = updates(start + 1ms);
  CHECK_EQUAL(1, sent.back().update.loads.size());
}

TEST(ViewPublisherTest, serversAreSentWhenTheyChange) {
  servers = {{"10.0.0.1", 1}};
  publisher.subscribe({1});
  CHECK_EQUAL(1, updates(start)[0].update.servers.size());
  CHECK_EQUAL(0, updates(start + 250ms)[0].update.servers.size());
  servers.push_back({"10.0.0.2", 1});
  CHECK_EQUAL(2, updates(start + 500ms)[0].update.servers.size());
}

/// Otherwise each new gateway would cause an update to all others.
TEST(ViewPublisherTest, onlyLargeGrowthOfTheGatewayCountIsSentAtOnce) {
  for (std::uint64_t gateway = 1; gateway <= 4; ++gateway) {
    publisher.subscribe({gateway});
  }
  (void)updates(start);
  publisher.subscribe({5});
  CHECK_EQUAL(1, updates(start + 1ms).size());
  publisher.subscribe({6});
  CHECK_EQUAL(5, updates(start + 2ms).size());
  CHECK_EQUAL(6, updates(start + 252ms).at(0).update.gateways);
}
