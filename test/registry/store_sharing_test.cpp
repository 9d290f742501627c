/// Tests states in which loads from the store are put off without need.

#include "registry/placement.h"
#include "registry/slow_store_fixture.h"
#include "registry/store_rate.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;
using namespace std::chrono_literals;

TEST_GROUP(StoreSharingTest) {
  base::TimePoint now = base::TimePoint(100s);
  PlacementPolicy policy{"svc"};
  StoreScheduler store;
  DemandBook demand;
  std::map<std::string, std::uint64_t> gateways;

  /// Reports the requests for a model; it replaces the last report of those that wait.
  void report(const std::string& model, std::uint32_t waiting, std::uint32_t arrivals) {
    DemandUpdate update;
    update.demands.push_back({"svc", model, "", waiting, arrivals, 0, 600ms, 0, 0});
    const auto gateway = gateways.try_emplace(model, gateways.size() + 1).first->second;
    demand.update({gateway}, update, now);
  }
  std::vector<PlacementStep> plan(const catalog::EngineSpec& engine,
                                  const std::vector<PlacementWorker>& workers,
                                  const std::set<std::string>& postponed = {}) {
    store.setLimit(engine.storeLoadsPerSecond, {}, now);
    return policy.plan(engine, workers, demand, store, now, postponed);
  }
  /// Leaves a store that may load now, but hasn't a full burst.
  void useToken() {
    store = StoreScheduler(PreviousLoads{std::nullopt});
    store.setLimit(1.5, {}, now);
    store.recordOrdered({"elsewhere"}, 900ms, now);
    store.recordAccepted({"elsewhere"}, now);
    store.recordEnd({"elsewhere"}, now);
    CHECK_TRUE(store.allows());
  }
  static std::string storeLoads(const std::vector<PlacementStep>& steps) {
    std::string models;
    for (const PlacementStep& step : steps) {
      models += step.fromStore ? step.model + " " : "";
    }
    return models;
  }
};

/// Guards against callers that wait longer than a stream's (whole answers wait until their
/// deadline), and that single new callers of other models overtake until that deadline, since they
/// count for nothing once the last of them has waited for as long as a stream's caller would.
TEST(StoreSharingTest, callersThatStillWaitAfterAStreamsPatienceCount) {
  report("patient", 3, 3);
  const auto engine =
      slowStoreEngine({"patient", "0",  "1",  "2",  "3",  "4",  "5",  "6",  "7",  "8", "9",
                       "10",      "11", "12", "13", "14", "15", "16", "17", "18", "19"});
  now += 2s;  // The store was in use by others.
  base::Duration waited = 2s;
  std::string loads;
  for (int load = 0; load < 20 && loads.find("patient") == std::string::npos; ++load) {
    report(std::to_string(load), 1, 1);
    report("patient", 3, 0);  // The gateway says that they are still there.
    useToken();
    const auto steps = plan(engine, {workerWith("w", {})});
    loads += storeLoads(steps);
    report(std::to_string(load), 0, 0);
    now += 670ms;
    waited += 670ms;
  }
  CHECK_TRUE_TEXT(waited < 8s, loads.c_str());
}

/// Guards against a model whose loads are postponed, for up to 32 s, that keeps the store from
/// others although it can't use it.
TEST(StoreSharingTest, aPostponedModelDoesNotMakeTheStoreScarce) {
  useToken();
  report("crashing", 1, 1);
  report("copied", 1, 1);
  const auto steps =
      plan(slowStoreEngine({"crashing", "copied", "x"}),
           {busyWorkerWithCopy("copied", 20s), workerWith("idle", {})}, {"crashing"});
  STRCMP_EQUAL("copied ", storeLoads(steps).c_str());
}

/// The same for a model that no worker can hold.
TEST(StoreSharingTest, aModelLargerThanAWorkerDoesNotMakeTheStoreScarce) {
  useToken();
  report("huge", 1, 1);
  report("copied", 1, 1);
  auto engine = slowStoreEngine({"huge", "copied", "x"});
  engine.models[0].weightsMegabytes = 1000;
  const auto steps = plan(engine, {busyWorkerWithCopy("copied", 20s), workerWith("idle", {})});
  STRCMP_EQUAL("copied ", storeLoads(steps).c_str());
}

/// Guards against a model with a copy on a worker that is busy for long, whose callers come and
/// leave while the store's loads go to single callers of other models without a copy.
TEST(StoreSharingTest, aModelWhoseDiskIsBusyForLongIsServedFromTheStore) {
  const auto engine =
      slowStoreEngine({"copied", "0",  "1",  "2",  "3",  "4",  "5",  "6",  "7",  "8",  "9",
                       "10",     "11", "12", "13", "14", "15", "16", "17", "18", "19", "x"});
  base::Duration asked{0};
  std::string loads;
  for (int load = 0; load < 20 && loads.find("copied") == std::string::npos; ++load) {
    report(std::to_string(load), 1, 1);
    report("copied", 3, 1);
    useToken();
    // Its order is overdue, and is taken to last as long again as it is late.
    loads += storeLoads(
        plan(engine, {busyWorkerWithCopy("copied", 5s + asked), workerWith("idle", {})}));
    report(std::to_string(load), 0, 0);
    now += 670ms;
    asked += 670ms;
  }
  CHECK_TRUE_TEXT(asked < 8s, loads.c_str());
}

/// Guards against loads that were started without a limit and are owed once there is one.
TEST(StoreSharingTest, aLimitThatIsSetLaterOwesNothingForEarlierLoads) {
  StoreRate rate(PreviousLoads{std::nullopt});
  for (int load = 1; load <= 100; ++load) {
    now += 1s;
    rate.setLimit(0, {}, now);
    rate.recordStart();
  }
  now += 6s;  // No start is left in the window.
  rate.setLimit(1, {}, now);
  CHECK_TRUE(rate.allows());
}

/// Guards against a model that nobody waits for any more, and that is not to be loaded, which keeps
/// the store from callers of others for up to 20 s after its last caller.
TEST(StoreSharingTest, aModelWhoseCallersAreGoneDoesNotMakeTheStoreScarce) {
  report("left", 1, 1);
  report("left", 0, 0);
  now += 12s;
  useToken();
  report("copied", 1, 1);
  const auto steps = plan(slowStoreEngine({"left", "copied", "x"}),
                          {busyWorkerWithCopy("copied", 5s), workerWith("idle", {})});
  STRCMP_EQUAL("copied ", storeLoads(steps).c_str());
}

/// Guards against tokens that don't come back while there is no limit.
TEST(StoreSharingTest, aLimitThatIsSetAgainOwesNothingForLongPastLoads) {
  StoreRate rate(PreviousLoads{std::nullopt});
  rate.setLimit(0.01, {}, now);
  while (rate.allows()) {
    rate.recordStart();
  }
  for (int minute = 0; minute < 60; ++minute) {
    now += 1min;
    rate.setLimit(0, {}, now);
  }
  now += 100ms;
  rate.setLimit(0.01, {}, now);
  CHECK_TRUE(rate.allows());
}
