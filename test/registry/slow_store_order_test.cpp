/// Tests the order of loads from a store that is slower than the demand, by scripts that force the
/// order of requests, reports, tokens of the store, forecasts, refusals and returns. In the pattern
/// of SlowStoreTest a caller waits 2.4 s, a load takes 0.9 s and the store takes one each 0.67 s.

#include "registry/placement.h"
#include "registry/scripted_store.h"
#include "registry/slow_store_fixture.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kTokenInterval = 670ms;

}  // namespace

TEST_GROUP(SlowStoreOrderTest) {
  base::TimePoint now = base::TimePoint(100s);
  PlacementPolicy policy{"svc"};
  StoreScheduler store;
  DemandBook demand;
  std::map<std::string, std::uint64_t> gateways;

  /// Reports the requests for a model; it replaces the last report of those that wait.
  void report(const std::string& model, std::uint32_t waiting, std::uint32_t arrivals,
              std::uint32_t answered = 0) {
    DemandUpdate update;
    update.demands.push_back({"svc", model, "", waiting, arrivals, 0, 600ms, answered, 0});
    const auto gateway = gateways.try_emplace(model, gateways.size() + 1).first->second;
    demand.update({gateway}, update, now);
  }
  std::vector<PlacementStep> plan(const catalog::EngineSpec& engine,
                                  const std::vector<PlacementWorker>& workers) {
    store.setLimit(engine.storeLoadsPerSecond, {}, now);
    return policy.plan(engine, workers, demand, store, now);
  }
  /// Uses the token that a store has at first.
  void useToken() {
    store.setLimit(ScriptedStore::kLoadsPerSecond, {}, now);
    store.recordOrdered({"elsewhere"}, ScriptedStore::kLoadTime, now);
  }
  std::optional<base::Duration> forecastOf(const char* model) const {
    for (const LateModelForecast& forecast : policy.outlook()) {
      if (forecast.model == model) {
        return forecast.availableIn;
      }
    }
    return std::nullopt;
  }
  /// @return the models loaded from the store by these steps, each followed by a space.
  static std::string storeLoads(const std::vector<PlacementStep>& steps) {
    std::string models;
    for (const PlacementStep& step : steps) {
      models += step.fromStore ? step.model + " " : "";
    }
    return models;
  }
};

/// Guards against a load that ends after the last caller of its model has left, while another
/// model's caller would still have been there.
TEST(SlowStoreOrderTest, theStoreLoadsAModelWhoseCallerWillStillWaitAtTheEnd) {
  useToken();
  report("leaving", 1, 3);
  now += 2s;
  report("staying", 1, 1);
  const auto steps = plan(slowStoreEngine({"leaving", "staying"}), {workerWithCopies("w", {})});
  STRCMP_EQUAL("staying ", storeLoads(steps).c_str());
}

/// Guards against a load for callers that were refused and have left for good, while another
/// model's caller waits.
TEST(SlowStoreOrderTest, aWaitingCallerComesBeforeManyThatHaveLeft) {
  useToken();
  for (int request = 0; request < 5; ++request) {
    report("left", 0, 1);
    now += 1500ms;
  }
  now += 3s;
  report("waited-for", 1, 1);
  const auto steps = plan(slowStoreEngine({"left", "waited-for"}), {workerWithCopies("w", {})});
  STRCMP_EQUAL("waited-for ", storeLoads(steps).c_str());
}

/// Guards against an order of the youngest caller first, in which an older caller leaves although
/// the store could serve both in time.
TEST(SlowStoreOrderTest, ofTwoCallersInTimeTheOneThatLeavesFirstIsServedFirst) {
  ScriptedStore script(4);
  for (const char* model : {"first", "first", "second", "second"}) {
    script.call(model, 0ms);
  }
  const std::size_t older = script.call("older", 0ms);
  const std::size_t younger = script.call("younger", 1200ms);
  script.run(5s);
  CHECK_TRUE(script.callers()[older].servedAt.has_value());
  CHECK_TRUE(script.callers()[younger].servedAt.has_value());
}

/// Guards against the same order while callers of other models keep coming: each of them overtakes
/// the older one until it has left.
TEST(SlowStoreOrderTest, aCallerIsNotOvertakenByLaterOnesUntilItLeaves) {
  ScriptedStore script(4);
  script.call("first", 0ms);
  const std::size_t older = script.call("older", 50ms);
  for (int later = 0; later < 4; ++later) {
    script.call("later" + std::to_string(later), 600ms + later * kTokenInterval);
  }
  script.run(8s);
  CHECK_TRUE(script.callers()[older].servedAt.has_value());
}

/// Guards against a forecast that is true only because it sends the callers away: with one caller
/// waiting the model would be the next to be loaded.
TEST(SlowStoreOrderTest, aModelIsNotAnnouncedAsLateIfItsNextCallerWouldBeServedInTime) {
  const auto engine =
      slowStoreEngine({"often", "m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9"});
  const std::vector<PlacementWorker> workers = {workerWithCopies("w0", {}),
                                                workerWithCopies("w1", {})};
  useToken();
  for (int request = 0; request < 4; ++request) {
    report("often", 0, 1);
    now += 4s;
  }
  useToken();
  useToken();
  for (int model = 0; model < 10; ++model) {
    report("m" + std::to_string(model), 1, 2);
  }
  CHECK_TRUE(plan(engine, workers).empty());
  const std::optional<base::Duration> forecast = forecastOf("often");
  report("often", 1, 1);
  now += kTokenInterval;
  STRCMP_EQUAL("often ", storeLoads(plan(engine, workers)).c_str());
  CHECK_TRUE(!forecast || *forecast <= ScriptedStore::kPatience);
}

/// Guards against a caller that returns when it was told to and is refused again: while it was away
/// its model was overtaken by models whose callers came after it.
TEST(SlowStoreOrderTest, aCallerThatReturnsWhenToldFindsItsModel) {
  ScriptedStore script(8);
  for (int model = 0; model < 9; ++model) {
    script.call("early" + std::to_string(model), model * 10ms);
    script.call("early" + std::to_string(model), model * 10ms);
  }
  const std::size_t told = script.call("told", 100ms, CallerReturn::atRetryAfter);
  for (int model = 0; model < 20; ++model) {
    script.call("later" + std::to_string(model), 1s + model * 500ms);
  }
  script.run(12s);
  const ScriptedCaller& caller = script.callers()[told];
  CHECK_TRUE(caller.toldAt.has_value());
  CHECK_EQUAL(1, caller.refusals);
  CHECK_TRUE(caller.servedAt.has_value());
}

/// Guards against a load that another disk could do, while a model without any copy has had its
/// caller leave a moment ago and isn't counted among those that need the store.
TEST(SlowStoreOrderTest, aModelWhoseCallerJustLeftCountsInThePriceOfTheStore) {
  const auto engine = slowStoreEngine({"copied", "cold1", "cold2", "cold3", "cold4", "x"});
  const std::vector<PlacementWorker> workers = {busyWorkerWithCopy("copied", 2s),
                                                workerWithCopies("idle", {})};
  for (const char* model : {"cold1", "cold2", "cold3", "cold4"}) {
    report(model, 1, 1);
  }
  now += ScriptedStore::kPatience;
  for (const char* model : {"cold1", "cold2", "cold3", "cold4"}) {
    report(model, 0, 0);
  }
  useToken();
  CHECK_TRUE(plan(engine, workers).empty());
  now += kTokenInterval;
  report("copied", 1, 9);
  const std::string loads = storeLoads(plan(engine, workers));
  CHECK_TRUE(loads != "copied ");
}

/// The same with models that were announced as late, whose callers were refused.
TEST(SlowStoreOrderTest, aLateModelCountsInThePriceOfTheStore) {
  const auto engine =
      slowStoreEngine({"copied", "m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "x"});
  const std::vector<PlacementWorker> workers = {busyWorkerWithCopy("copied", 2s),
                                                workerWithCopies("idle", {})};
  useToken();
  for (int model = 0; model < 8; ++model) {
    report("m" + std::to_string(model), 1, 1);
  }
  plan(engine, workers);
  for (int model = 0; model < 8; ++model) {
    report("m" + std::to_string(model), 0, 0);
  }
  now += 100ms;
  plan(engine, workers);
  now += kTokenInterval;
  report("copied", 1, 9);
  const std::string loads = storeLoads(plan(engine, workers));
  CHECK_TRUE(loads != "copied ");
}

/// Guards against a load that another disk could do soon, while a model without any copy has its
/// room being made: it doesn't wait for the store in that moment, but needs its next load.
TEST(SlowStoreOrderTest, aModelForWhichRoomIsBeingMadeCountsInThePriceOfTheStore) {
  const auto engine = slowStoreEngine({"cold", "copied", "a", "b", "c", "x"});
  PlacementWorker full = workerWithCopies("full", {"a", "b", "c"});
  // It has room, but is so busy that the cold model goes to the other.
  PlacementWorker roomy = workerWithCopies("roomy", {"x"});
  roomy.running = 8;
  const PlacementWorker holder = busyWorkerWithCopy("copied", 1200ms);
  report("cold", 1, 5);
  const auto first = plan(engine, {full, roomy, holder});
  CHECK_EQUAL(1, first.size());
  STRCMP_EQUAL("full", first[0].worker.value.c_str());
  full.unloadingModel = first[0].model;
  full.canTakeOrders = false;
  full.remainingOrderTime = 50ms;
  now += 20ms;
  report("copied", 1, 1);
  STRCMP_EQUAL("", storeLoads(plan(engine, {full, roomy, holder})).c_str());
}

/// Guards against a spare replica that takes the store's load while the only workers that can make
/// room for a cold model are still unloading for it.
TEST(SlowStoreOrderTest, aSpareReplicaLeavesTheStoreToAModelForWhichRoomIsBeingMade) {
  const auto engine = slowStoreEngine({"popular", "cold", "a", "b", "c", "x"});
  PlacementWorker holder = workerWithCopies("holder", {"popular"});
  holder.canLoadModels = false;
  // It has room, but is so busy that the cold model goes to the other.
  PlacementWorker roomy = workerWithCopies("roomy", {"x"});
  roomy.running = 8;
  report("popular", 0, 30, 1);
  report("cold", 1, 1);
  const auto steps = plan(engine, {workerWithCopies("full", {"a", "b", "c"}), holder, roomy});
  CHECK_TRUE(!steps.empty());
  CHECK_TRUE(steps[0].operation == OrderOperation::unload);
  STRCMP_EQUAL("", storeLoads(steps).c_str());
}

/// Guards against models that are unloaded for loads which the store doesn't allow yet.
TEST(SlowStoreOrderTest, noMoreModelsMakeRoomThanTheStoreAllowsLoads) {
  const auto engine =
      slowStoreEngine({"n0", "n1", "n2", "a", "b", "c", "d", "e", "f", "g", "h", "i"});
  for (const char* model : {"n0", "n1", "n2"}) {
    report(model, 1, 1);
  }
  const auto steps = plan(
      engine, {workerWithCopies("w0", {"a", "b", "c"}), workerWithCopies("w1", {"d", "e", "f"}),
               workerWithCopies("w2", {"g", "h", "i"})});
  CHECK_EQUAL(1, steps.size());
  CHECK_TRUE(steps[0].operation == OrderOperation::unload);
}

/// Guards against a load that is wasted: its callers were refused, and the model makes room before
/// the next one comes, for a model that could take the place of one that has answered.
TEST(SlowStoreOrderTest, aModelLoadedForRefusedCallersIsKeptForTheNextOne) {
  const auto engine = slowStoreEngine({"fresh", "used1", "used2", "new"});
  report("used1", 0, 3);
  report("used1", 0, 0, 1);
  report("used2", 0, 3);
  report("used2", 0, 0, 1);
  report("fresh", 0, 2);
  report("fresh", 0, 2);
  now += 10s;
  // It was loaded this moment. The others were used since, about as often.
  report("used1", 0, 1, 1);
  report("used2", 0, 1, 1);
  now += 50ms;
  report("new", 1, 1);
  const auto steps = plan(engine, {workerWithCopies("w", {"fresh", "used1", "used2"})});
  CHECK_EQUAL(1, steps.size());
  CHECK_TRUE(steps[0].operation == OrderOperation::unload);
  CHECK_TRUE(steps[0].model != "fresh");
}

/// Guards against a model whose former callers have long left: a request now and then kept all of
/// them in the count.
TEST(SlowStoreOrderTest, requestsOfLongAgoDoNotCountAlthoughOthersFollowed) {
  useToken();
  report("long-ago", 0, 8);
  now += 15s;
  report("long-ago", 0, 1);
  now += 12s;
  for (int request = 0; request < 3; ++request) {
    report("lately", 0, 1);
    now += 1s;
  }
  report("lately", 1, 1);
  report("long-ago", 1, 1);
  const auto steps = plan(slowStoreEngine({"long-ago", "lately"}), {workerWithCopies("w", {})});
  STRCMP_EQUAL("lately ", storeLoads(steps).c_str());
}

/// Guards against callers that are counted twice, as waiting ones and among the requests without an
/// answer: a few that come together would overtake a model that more have asked for in vain.
TEST(SlowStoreOrderTest, callersThatComeTogetherDoNotOvertakeMoreThatCameInVain) {
  useToken();
  for (int request = 0; request < 5; ++request) {
    report("in-vain", 0, 1);
    now += 3s;
  }
  report("in-vain", 1, 1);
  report("together", 3, 3);
  const auto steps = plan(slowStoreEngine({"in-vain", "together"}), {workerWithCopies("w", {})});
  STRCMP_EQUAL("in-vain ", storeLoads(steps).c_str());
}
