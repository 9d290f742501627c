/// Tests of ViewInterest and of ViewPublisher in a fleet of thousands of workers and gateways, in
/// which each gateway is sent only the workers that it needs.

#include "registry/view_interest.h"

#include "registry/view_publisher.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

namespace {

constexpr protocol::ConnectionId kGateway{8};
constexpr protocol::ConnectionId kOther{16};  ///< A gateway of the same group.

std::string name(const char* prefix, std::size_t number) { return prefix + std::to_string(number); }

WorkerView worker(const std::string& id, const char* zone, std::vector<HeldModel> models) {
  WorkerView view;
  view.record.id = {id};
  view.record.service = "svc";
  view.record.zone = {zone};
  view.record.slots = 4;
  view.holdingsKnown = true;
  view.models = std::move(models);
  return view;
}

const ModelKey kModel{"svc", "m", ""};

}  // namespace

TEST_GROUP(ViewInterestTest) {
  ViewInterest interest;
  base::TimePoint now = base::TimePoint(100s);

  void addWorkers(std::size_t count, const char* zone, const char* prefix) {
    for (std::size_t index = 0; index < count; ++index) {
      interest.setWorker(worker(name(prefix, index), zone, {{"m", 1, {}}}), false);
    }
  }
  std::size_t followedIn(protocol::ConnectionId gateway, const char* prefix) const {
    const auto& all = interest.followedBy(gateway);
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(),
                      [prefix](const WorkerId& id) { return id.value.starts_with(prefix); }));
  }
};

TEST(ViewInterestTest, noWorkerIsFollowedForAModelBeforeItIsRequested) {
  addWorkers(100, "a", "a");
  interest.addGateway(kGateway, {"a"});
  CHECK_EQUAL(0, interest.followedBy(kGateway).size());
  interest.recordRequest(kGateway, kModel, true, now);
  CHECK_EQUAL(ViewInterest::kModelWorkers, interest.followedBy(kGateway).size());
}

TEST(ViewInterestTest, workersOfTheOwnZoneComeFirst) {
  addWorkers(3, "a", "a");
  addWorkers(100, "b", "b");
  interest.addGateway(kGateway, {"a"});
  interest.recordRequest(kGateway, kModel, true, now);
  CHECK_EQUAL(3, followedIn(kGateway, "a"));
  CHECK_EQUAL(1, followedIn(kGateway, "b"));
}

TEST(ViewInterestTest, gatewaysFollowTheSameWorkersWithinAGroupOnly) {
  addWorkers(100, "a", "a");
  std::set<WorkerId> all;
  for (std::uint64_t gateway = 1; gateway <= 2 * ViewInterest::kGroups; ++gateway) {
    interest.addGateway({gateway}, {"a"});
    interest.recordRequest({gateway}, kModel, true, now);
    const auto& followed = interest.followedBy({gateway});
    all.insert(followed.begin(), followed.end());
  }
  CHECK_TRUE(interest.followedBy({1}) == interest.followedBy({1 + ViewInterest::kGroups}));
  CHECK_EQUAL(ViewInterest::kGroups * ViewInterest::kModelWorkers, all.size());
}

TEST(ViewInterestTest, aGatewayWithWaitingRequestsFollowsMoreWorkers) {
  addWorkers(100, "a", "a");
  interest.addGateway(kGateway, {"a"});
  interest.recordRequest(kGateway, kModel, true, now);
  interest.recordRequest(kGateway, kModel, false, now);
  CHECK_EQUAL(ViewInterest::kModelWorkers, interest.followedBy(kGateway).size());
  interest.recordRequest(kGateway, kModel, true, now);
  CHECK_EQUAL(2 * ViewInterest::kModelWorkers, interest.followedBy(kGateway).size());
}

TEST(ViewInterestTest, moreWorkersAreFollowedWhileTheyAreBusy) {
  addWorkers(100, "a", "a");
  interest.addGateway(kGateway, {"a"});
  interest.recordRequest(kGateway, kModel, false, now);
  for (const WorkerId& id : interest.followedBy(kGateway)) {
    interest.setRunning(id, 2);
  }
  interest.recordRequest(kGateway, kModel, false, now);
  CHECK_EQUAL(2 * ViewInterest::kModelWorkers, interest.followedBy(kGateway).size());
}

TEST(ViewInterestTest, anUnresponsiveWorkerOrOneWithoutTheModelIsReplaced) {
  addWorkers(100, "a", "a");
  interest.addGateway(kGateway, {"a"});
  interest.recordRequest(kGateway, kModel, false, now);
  const std::set<WorkerId> first = interest.followedBy(kGateway);
  WorkerView silent = worker(first.begin()->value, "a", {{"m", 1, {}}});
  silent.silent = true;
  interest.setWorker(silent, false);
  interest.setWorker(worker(first.rbegin()->value, "a", {{"other", 1, {}}}), false);
  CHECK_EQUAL(ViewInterest::kModelWorkers + 2, interest.followedBy(kGateway).size());
}

TEST(ViewInterestTest, aRemovedWorkerIsReplacedAndReported) {
  addWorkers(100, "a", "a");
  interest.addGateway(kGateway, {"a"});
  interest.recordRequest(kGateway, kModel, false, now);
  (void)interest.takeChanges();
  const WorkerId ended = *interest.followedBy(kGateway).begin();
  interest.removeWorker(ended);
  const auto changes = interest.takeChanges();
  CHECK_EQUAL(2, changes.size());
  CHECK_FALSE(changes.at(0).follows);
  CHECK_TRUE(changes.at(0).worker == ended);
  CHECK_TRUE(changes.at(1).follows);
}

TEST(ViewInterestTest, aWorkerIsFollowedOnceItHasARequestedAdapter) {
  addWorkers(10, "a", "a");
  interest.addGateway(kGateway, {"a"});
  interest.recordRequest(kGateway, {"svc", "m", "a1"}, true, now);
  CHECK_EQUAL(0, interest.followedBy(kGateway).size());
  interest.setWorker(worker("a7", "a", {{"m", 1, {"a1"}}}), false);
  CHECK_EQUAL(1, interest.followedBy(kGateway).count({"a7"}));
}

TEST(ViewInterestTest, workersOfAPlainServiceAreFollowedWithoutRequests) {
  interest.addGateway(kGateway, {"a"});
  for (std::size_t index = 0; index < 100; ++index) {
    interest.setWorker(worker(name("p", index), "a", {}), true);
  }
  interest.addGateway(kOther, {"a"});
  CHECK_EQUAL(ViewInterest::kPlainWorkers, interest.followedBy(kGateway).size());
  CHECK_EQUAL(ViewInterest::kPlainWorkers, interest.followedBy(kOther).size());
}

TEST(ViewInterestTest, workersOfAnEvacuatedZoneAreReplacedByAnotherZone) {
  addWorkers(10, "a", "a");
  addWorkers(10, "b", "b");
  interest.addGateway(kGateway, {"a"});
  interest.recordRequest(kGateway, kModel, false, now);
  for (std::size_t index = 0; index < 10; ++index) {
    WorkerView leaving = worker(name("a", index), "a", {{"m", 1, {}}});
    leaving.record.leaving = true;
    interest.setWorker(leaving, false);
  }
  CHECK_EQUAL(ViewInterest::kModelWorkers, followedIn(kGateway, "b"));
}

TEST(ViewInterestTest, workersThatAreNoLongerNeededAreDropped) {
  interest.addGateway(kGateway, {"a"});
  constexpr std::size_t kModels = 200;
  for (std::size_t model = 0; model < kModels; ++model) {
    for (std::size_t index = 0; index < 4; ++index) {
      interest.setWorker(worker(name("w", 4 * model + index), "a", {{name("m", model), 1, {}}}),
                         false);
    }
  }
  for (std::size_t model = 0; model < kModels; ++model) {
    interest.recordRequest(kGateway, {"svc", name("m", model), ""}, false, now);
    now += 1s;
  }
  CHECK_TRUE(interest.followedBy(kGateway).size() <= ViewInterest::kMaxFollowed + 4);
  CHECK_EQUAL(1, interest.followedBy(kGateway).count({"w799"}));
}

TEST_GROUP(LargeViewPublisherTest) {
  const base::TimePoint start = base::TimePoint(100s);
  ViewPublisher publisher{250ms};
  std::vector<WorkerLoad> loads;
  static constexpr std::size_t kWorkers = 2000;
  static constexpr std::size_t kGateways = 100;

  void setup() override {
    for (std::uint64_t gateway = 1; gateway <= kGateways; ++gateway) {
      publisher.subscribe({gateway}, {"a"});
    }
    for (std::size_t index = 0; index < kWorkers; ++index) {
      publisher.setWorker(worker(name("w", index), "a", {{"m", 1, {}}}));
    }
  }
  std::vector<ViewPublisher::Update> updates(base::TimePoint now) {
    return publisher.takeUpdates(now, 1, 1, loads, {});
  }
  /// Requests the model at a gateway. @return one of the workers that the gateway is sent.
  WorkerId requestAt(std::uint64_t gateway, base::TimePoint now) {
    publisher.recordRequest({gateway}, kModel, true, now);
    for (const auto& sent : updates(now)) {
      if (sent.gateway.value == gateway) {
        return sent.update.changed.front().record.id;
      }
    }
    return {};
  }
  /// Sends all gateways their first view. @return the time when nothing else is due.
  base::TimePoint sendAll() {
    base::TimePoint now = start;
    for (std::size_t round = 0; round < kGateways; ++round) {
      (void)updates(now);
      now += 10ms;
    }
    (void)updates(now);
    return now;
  }
};

TEST(LargeViewPublisherTest, aFirstViewIsSmall) {
  CHECK_FALSE(publisher.sendsAllWorkers());
  const auto sent = updates(start);
  CHECK_EQUAL(8, sent.size());
  CHECK_TRUE(sent.front().update.complete);
  CHECK_TRUE(sent.front().update.changed.empty());
}

TEST(LargeViewPublisherTest, onlyTheRequestingGatewayIsSentAnUpdate) {
  const base::TimePoint now = sendAll();
  publisher.recordRequest({5}, kModel, true, now);
  const auto sent = updates(now + 1ms);
  CHECK_EQUAL(1, sent.size());
  CHECK_EQUAL(5, sent.front().gateway.value);
  CHECK_EQUAL(ViewInterest::kModelWorkers, sent.front().update.changed.size());
}

TEST(LargeViewPublisherTest, aChangeIsSentToFollowersOfTheWorker) {
  const base::TimePoint now = sendAll();
  const WorkerId followed = requestAt(5, now);
  WorkerView changed = worker(followed.value, "a", {{"m", 1, {}}});
  changed.silent = true;
  publisher.setWorker(changed);
  publisher.setWorker(worker("w-new", "a", {{"other", 1, {}}}));
  const auto sent = updates(now + 1ms);
  CHECK_EQUAL(1, sent.size());
  CHECK_EQUAL(2, sent.front().update.changed.size());  // The worker and its replacement.
}

TEST(LargeViewPublisherTest, aRemovalIsSentToFollowersOfTheWorker) {
  const base::TimePoint now = sendAll();
  const WorkerId followed = requestAt(5, now);
  publisher.removeWorker(followed);
  const auto sent = updates(now + 1ms);
  CHECK_EQUAL(1, sent.size());
  CHECK_EQUAL(1, sent.front().update.removed.size());
}

TEST(LargeViewPublisherTest, loadsOfFollowedWorkersAreSentWithTheNextUpdate) {
  const base::TimePoint now = sendAll();
  const WorkerId followed = requestAt(5, now);
  loads = {{followed, "", 3}, {{"w-unknown"}, "", 1}};
  (void)updates(now + 1ms);
  base::TimePoint later = now + 2ms;
  std::size_t told = 0;
  for (; later < now + 300ms; later += 1ms) {
    for (const auto& sent : updates(later)) {
      for (const WorkerLoad& load : sent.update.loads) {
        CHECK_EQUAL(5, sent.gateway.value);
        told += load.running;
      }
    }
  }
  CHECK_EQUAL(3, told);
}

TEST(LargeViewPublisherTest, eachGatewayIsSentAnUpdateEachInterval) {
  const base::TimePoint now = sendAll();
  std::set<std::uint64_t> contacted;
  for (base::TimePoint later = now; later <= now + 250ms; later += 5ms) {
    for (const auto& sent : updates(later)) {
      contacted.insert(sent.gateway.value);
    }
  }
  CHECK_EQUAL(kGateways, contacted.size());
}

TEST(LargeViewPublisherTest, aNewDocumentIsPublishedToAllGateways) {
  const base::TimePoint now = sendAll();
  std::set<std::uint64_t> told;
  for (base::TimePoint later = now; later < now + 10ms; later += 1ms) {
    for (const auto& sent : publisher.takeUpdates(later, 1, 2, loads, {})) {
      CHECK_EQUAL(2, sent.update.documentVersion);
      told.insert(sent.gateway.value);
    }
  }
  CHECK_EQUAL(kGateways, told.size());
}

/// Otherwise each document would delay consensus in proportion to the number of gateways.
TEST(LargeViewPublisherTest, theUpdatesOfOneIterationAreBounded) {
  const base::TimePoint now = sendAll();
  CHECK_TRUE(publisher.takeUpdates(now, 1, 2, loads, {}).size() <= 64);
  CHECK_TRUE(publisher.due(now, 2));
}

TEST(LargeViewPublisherTest, nothingIsDueOnceAllUpdatesAreSent) {
  const base::TimePoint now = sendAll();
  CHECK_FALSE(publisher.due(now, 1));
}

/// A gateway was sent all workers while the fleet was small.
TEST(LargeViewPublisherTest, workersSentBeforeTheSwitchAreKeptUpToDate) {
  ViewPublisher growing{250ms};
  growing.subscribe({1}, {"a"});
  growing.setWorker(worker("first", "a", {{"m", 1, {}}}));
  (void)growing.takeUpdates(start, 1, 1, loads, {});
  for (std::size_t index = 0; index <= ViewPublisher::kMaxPairs; ++index) {
    growing.setWorker(worker(name("w", index), "a", {}));
  }
  CHECK_FALSE(growing.sendsAllWorkers());
  (void)growing.takeUpdates(start + 1ms, 1, 1, loads, {});
  growing.removeWorker({"first"});
  const auto sent = growing.takeUpdates(start + 2ms, 1, 1, loads, {});
  CHECK_EQUAL(1, sent.size());
  CHECK_EQUAL(1, sent.front().update.removed.size());
}
