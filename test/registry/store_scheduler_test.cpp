/// Tests the scheduling of loads from the weight store against a simulated store.

#include "registry/store_scheduler.h"

#include <algorithm>
#include <string>
#include <vector>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kStep = 50ms;

/// A store in which the duration of a load is fixed at its start. Beyond the capacity it grows in
/// proportion to the loads in progress.
struct SimulatedStore {
  double capacity = 4;
  base::Duration declared = 6s;
  base::Duration notificationDelay{0};  ///< Delay between the end of a load and its notification.
  struct Load {
    WorkerId worker;
    base::TimePoint endsAt;
  };
  std::vector<Load> loads;

  void begin(const WorkerId& worker, base::TimePoint now) {
    const double crowding = std::max(1.0, static_cast<double>(loads.size() + 1) / capacity);
    loads.push_back({worker, now + std::chrono::duration_cast<base::Duration>(declared * crowding) +
                                 notificationDelay});
  }
};

}  // namespace

TEST_GROUP(StoreSchedulerTest) {
  StoreScheduler store;
  SimulatedStore simulated;
  base::TimePoint now = base::TimePoint(100s);
  int names = 0;
  std::size_t done = 0;
  std::size_t mostInProgress = 0;

  WorkerId nextWorker() { return {"w" + std::to_string(++names)}; }
  void begin(const WorkerId& worker) {
    store.recordOrdered(worker, simulated.declared, now);
    store.recordAccepted(worker, now);
  }
  /// Simulates that time, and starts a load whenever one may start.
  void simulate(base::Duration duration) {
    for (const base::TimePoint end = now + duration; now < end; now += kStep) {
      store.setLimit(50, {}, now);
      std::erase_if(simulated.loads, [this](const SimulatedStore::Load& load) {
        const bool ended = load.endsAt <= now;
        if (ended) {
          store.recordEnd(load.worker, now);
          ++done;
        }
        return ended;
      });
      while (store.allows()) {
        const WorkerId worker = nextWorker();
        begin(worker);
        simulated.begin(worker, now);
      }
      mostInProgress = std::max(mostInProgress, simulated.loads.size());
    }
  }
};

TEST(StoreSchedulerTest, aStoreWithLowCapacityIsNotOverloaded) {
  simulate(120s);
  CHECK_TRUE(mostInProgress <= 3 * 4);
  // The throughput of this store is at most 4 loads in 6 s.
  CHECK_TRUE(done >= 60);
  mostInProgress = 0;
  simulate(60s);
  CHECK_TRUE(mostInProgress <= 5);
}

TEST(StoreSchedulerTest, aStoreWithHighCapacityIsUsed) {
  simulated.capacity = 40;
  simulate(60s);
  CHECK_TRUE(store.limit() >= 40);
}

/// Guards against wasting all loads of a store with a capacity of one: loads take 13 to 20 s and
/// callers wait for at most 35 s, so that of eight loads started at once none ends before all
/// callers have left.
TEST(StoreSchedulerTest, withLongLoadsAStoreWithCapacityOneServesItsFirstCallers) {
  simulated.capacity = 1;
  simulated.declared = 18s;
  store.setLongestTimes(simulated.declared, 35s);
  simulate(35s);
  CHECK_EQUAL(1, mostInProgress);
  CHECK_EQUAL(1, done);
  simulate(300s);
  CHECK_TRUE(mostInProgress <= 2);
  CHECK_TRUE(done >= 12);
}

TEST(StoreSchedulerTest, withLongLoadsAStoreWithHighCapacityIsStillUsed) {
  simulated.capacity = 40;
  simulated.declared = 18s;
  store.setLongestTimes(simulated.declared, 35s);
  simulate(200s);
  CHECK_TRUE(store.limit() >= 36);
}

TEST(StoreSchedulerTest, withShortLoadsTheLimitStartsHigh) {
  store.setLongestTimes(4300ms, 25s);
  CHECK_EQUAL(static_cast<std::size_t>(LoadConcurrency::kInitialLimit), store.limit());
}

TEST(StoreSchedulerTest, theNotificationDelayDoesNotMakeShortLoadsLate) {
  simulated.capacity = 25;
  simulated.declared = 700ms;
  for (const base::Duration delay : {0ms, 100ms, 250ms}) {
    store = {};
    simulated.loads.clear();
    simulated.notificationDelay = delay;
    simulate(20s);
    CHECK_TRUE(store.limit() >= 20);
  }
}

TEST(StoreSchedulerTest, aLoadThatDidNotUseTheStoreIsNotObserved) {
  for (int load = 0; load < 20; ++load) {
    store.setLimit(50, {}, now += 1s);
    const WorkerId worker = nextWorker();
    begin(worker);
    store.recordEnd(worker, now + 800ms);
  }
  CHECK_EQUAL(static_cast<std::size_t>(LoadConcurrency::kInitialLimit), store.limit());
}

TEST(StoreSchedulerTest, anOverloadedStoreIsDetectedBeforeItsLoadsEnd) {
  simulated.capacity = 0.5;
  simulate(9s);
  CHECK_EQUAL(0, done);
  CHECK_EQUAL(static_cast<std::size_t>(LoadConcurrency::kMinLimit), store.limit());
}

TEST(StoreSchedulerTest, loadsOfLostWorkersAreNotTakenForAnOverloadedStore) {
  simulated.capacity = 40;
  simulated.declared = 2s;
  simulate(30s);
  const std::size_t limit = store.limit();
  for (const char* lost : {"lost1", "lost2", "lost3"}) {
    begin({lost});
  }
  simulate(20s);
  CHECK_TRUE(store.limit() >= limit);
}

TEST(StoreSchedulerTest, theRateLimitApplies) {
  store.setLimit(1, {}, now);
  CHECK_TRUE(store.allows());
  begin({"w"});
  CHECK_FALSE(store.allows());
}

TEST(StoreSchedulerTest, ordersToLostWorkersDoNotCountAsInProgress) {
  for (double load = 0; load < LoadConcurrency::kInitialLimit; ++load) {
    store.setLimit(50, {}, now += 100ms);
    const WorkerId worker = nextWorker();
    store.recordOrdered(worker, simulated.declared, now);
    store.recordUnclear(worker, now);
  }
  CHECK_EQUAL(0, store.loadsInProgress());
  store.setLimit(50, {}, now += 1s);
  CHECK_TRUE(store.allows());
}

TEST(StoreSchedulerTest, loadsOfAPreviousLeaderCountAsInProgress) {
  store.setLimit(50, {}, now);
  store.setPreviousLeaderLoads(static_cast<std::size_t>(LoadConcurrency::kInitialLimit));
  CHECK_FALSE(store.allows());
  store.setPreviousLeaderLoads(0);
  CHECK_TRUE(store.allows());
}

TEST(StoreSchedulerTest, anAbandonedLoadIsNeitherInProgressNorObserved) {
  store.setLimit(50, {}, now);
  begin({"w"});
  store.recordAbandoned({"w"});
  CHECK_EQUAL(0, store.loadsInProgress());
  DOUBLES_EQUAL(0, store.recordEnd({"w"}, now + 60s), 1e-9);
}

/// Guards against loads that count as not yet started for good, since the answer to their order was
/// lost, until the store's window holds nothing else.
TEST(StoreSchedulerTest, aLoadThatEndedWithoutAnAnswerLeavesTheWindow) {
  for (int load = 0; load < 20; ++load) {
    store.setLimit(1, {}, now += 1s);
    const WorkerId worker = nextWorker();
    store.recordOrdered(worker, 900ms, now);
    store.recordEnd(worker, now + 900ms);
  }
  store.setLimit(1, {}, now += 20s);
  CHECK_TRUE(store.allows());
}

TEST(StoreSchedulerTest, theExpectedWaitIsThatOfTheLoadThatEndsFirst) {
  store.setLimit(50, {}, now);
  for (double load = 0; load < LoadConcurrency::kInitialLimit; ++load) {
    store.setLimit(50, {}, now += 100ms);
    begin(nextWorker());
  }
  CHECK_TRUE(store.expectedWait(now) > 5s);
  CHECK_TRUE(store.expectedWait(now) < 6s);
  CHECK_TRUE(store.expectedWait(now + 3s) < 3s);
}
