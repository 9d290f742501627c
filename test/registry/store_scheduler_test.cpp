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
struct ModelledStore {
  double capacity = 4;
  base::Duration declared = 6s;
  base::Duration newsDelay{0};  ///< Delay between the end of a load and its notification.
  struct Load {
    WorkerId worker;
    base::TimePoint endsAt;
  };
  std::vector<Load> loads;

  void begin(const WorkerId& worker, base::TimePoint now) {
    const double crowding = std::max(1.0, static_cast<double>(loads.size() + 1) / capacity);
    loads.push_back({worker, now + std::chrono::duration_cast<base::Duration>(declared * crowding) +
                                 newsDelay});
  }
};

}  // namespace

TEST_GROUP(StoreSchedulerTest) {
  StoreScheduler store;
  ModelledStore modelled;
  base::TimePoint now = base::TimePoint(100s);
  int names = 0;
  std::size_t done = 0;
  std::size_t mostUnderWay = 0;

  WorkerId nextWorker() { return {"w" + std::to_string(++names)}; }
  void begin(const WorkerId& worker) {
    store.ordered(worker, modelled.declared, now);
    store.accepted(worker, now);
  }
  /// Simulates that time, and starts a load whenever one may start.
  void play(base::Duration duration) {
    for (const base::TimePoint end = now + duration; now < end; now += kStep) {
      store.setLimit(50, {}, now);
      std::erase_if(modelled.loads, [this](const ModelledStore::Load& load) {
        const bool ended = load.endsAt <= now;
        if (ended) {
          store.ended(load.worker, now);
          ++done;
        }
        return ended;
      });
      while (store.allows()) {
        const WorkerId worker = nextWorker();
        begin(worker);
        modelled.begin(worker, now);
      }
      mostUnderWay = std::max(mostUnderWay, modelled.loads.size());
    }
  }
};

TEST(StoreSchedulerTest, aStoreThatTakesFewIsNotCrowded) {
  play(120s);
  CHECK_TRUE(mostUnderWay <= 3 * 4);
  // The throughput of this store is at most 4 loads in 6 s.
  CHECK_TRUE(done >= 60);
  mostUnderWay = 0;
  play(60s);
  CHECK_TRUE(mostUnderWay <= 5);
}

TEST(StoreSchedulerTest, aStoreThatTakesManyIsUsed) {
  modelled.capacity = 40;
  play(60s);
  CHECK_TRUE(store.limit() >= 40);
}

/// Guards against wasting all loads of a store with a capacity of one: loads take 13 to 20 s and
/// callers wait for at most 35 s, so that of eight loads started at once none ends before all
/// callers have left.
TEST(StoreSchedulerTest, whereLoadsAreLongAStoreThatTakesOneServesItsFirstCallers) {
  modelled.capacity = 1;
  modelled.declared = 18s;
  store.setPatience(modelled.declared, 35s);
  play(35s);
  CHECK_EQUAL(1, mostUnderWay);
  CHECK_EQUAL(1, done);
  play(300s);
  CHECK_TRUE(mostUnderWay <= 2);
  CHECK_TRUE(done >= 12);
}

TEST(StoreSchedulerTest, whereLoadsAreLongAStoreThatTakesManyIsUsedAllTheSame) {
  modelled.capacity = 40;
  modelled.declared = 18s;
  store.setPatience(modelled.declared, 35s);
  play(200s);
  CHECK_TRUE(store.limit() >= 36);
}

TEST(StoreSchedulerTest, whereLoadsAreShortItBeginsWithMany) {
  store.setPatience(4300ms, 25s);
  CHECK_EQUAL(static_cast<std::size_t>(LoadConcurrency::kInitialLimit), store.limit());
}

TEST(StoreSchedulerTest, theDelayOfTheNewsDoesNotMakeShortLoadsLate) {
  modelled.capacity = 25;
  modelled.declared = 700ms;
  for (const base::Duration delay : {0ms, 100ms, 250ms}) {
    store = {};
    modelled.loads.clear();
    modelled.newsDelay = delay;
    play(20s);
    CHECK_TRUE(store.limit() >= 20);
  }
}

TEST(StoreSchedulerTest, aLoadThatCameFromElsewhereTellsNothing) {
  for (int load = 0; load < 20; ++load) {
    store.setLimit(50, {}, now += 1s);
    const WorkerId worker = nextWorker();
    begin(worker);
    store.ended(worker, now + 800ms);
  }
  CHECK_EQUAL(static_cast<std::size_t>(LoadConcurrency::kInitialLimit), store.limit());
}

TEST(StoreSchedulerTest, aCrowdedStoreIsNoticedBeforeItsLoadsEnd) {
  modelled.capacity = 0.5;
  play(9s);
  CHECK_EQUAL(0, done);
  CHECK_EQUAL(static_cast<std::size_t>(LoadConcurrency::kLeastLimit), store.limit());
}

TEST(StoreSchedulerTest, loadsOfLostWorkersAreNotTakenForACrowdedStore) {
  modelled.capacity = 40;
  modelled.declared = 2s;
  play(30s);
  const std::size_t limit = store.limit();
  for (const char* lost : {"lost1", "lost2", "lost3"}) {
    begin({lost});
  }
  play(20s);
  CHECK_TRUE(store.limit() >= limit);
}

TEST(StoreSchedulerTest, theRateHoldsAsWell) {
  store.setLimit(1, {}, now);
  CHECK_TRUE(store.allows());
  begin({"w"});
  CHECK_FALSE(store.allows());
}

TEST(StoreSchedulerTest, ordersToLostWorkersDoNotKeepThePlaces) {
  for (double load = 0; load < LoadConcurrency::kInitialLimit; ++load) {
    store.setLimit(50, {}, now += 100ms);
    const WorkerId worker = nextWorker();
    store.ordered(worker, modelled.declared, now);
    store.unclear(worker, now);
  }
  CHECK_EQUAL(0, store.underWay());
  store.setLimit(50, {}, now += 1s);
  CHECK_TRUE(store.allows());
}

TEST(StoreSchedulerTest, loadsOfAFormerLeaderTakePlaces) {
  store.setLimit(50, {}, now);
  store.setForeign(static_cast<std::size_t>(LoadConcurrency::kInitialLimit));
  CHECK_FALSE(store.allows());
  store.setForeign(0);
  CHECK_TRUE(store.allows());
}

TEST(StoreSchedulerTest, aLostLoadFreesItsPlaceAndTellsNothing) {
  store.setLimit(50, {}, now);
  begin({"w"});
  store.abandoned({"w"});
  CHECK_EQUAL(0, store.underWay());
  DOUBLES_EQUAL(0, store.ended({"w"}, now + 60s), 1e-9);
}

TEST(StoreSchedulerTest, theWaitForAPlaceIsThatOfTheLoadThatEndsFirst) {
  store.setLimit(50, {}, now);
  for (double load = 0; load < LoadConcurrency::kInitialLimit; ++load) {
    store.setLimit(50, {}, now += 100ms);
    begin(nextWorker());
  }
  CHECK_TRUE(store.expectedWait(now) > 5s);
  CHECK_TRUE(store.expectedWait(now) < 6s);
  CHECK_TRUE(store.expectedWait(now + 3s) < 3s);
}
