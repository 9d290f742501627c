/// Tests of the selection of a worker.

#include "gateway/worker_selector.h"

#include "gateway/gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

TEST_GROUP(WorkerSelectorTest) {
  const base::TimePoint now = base::TimePoint(100s);
  WorkerDirectory directory;
  std::set<std::string> unconnected;
  WorkerSelector selector{directory, {{"here"}, 0, 0}, [this](const registry::WorkerId& id) {
                            return unconnected.count(id.value) == 0;
                          }};

  void setWorkers(std::size_t count) {
    registry::ViewUpdate update;
    update.complete = true;
    for (std::size_t number = 1; number <= count; ++number) {
      update.changed.push_back(GatewayHarness::worker(number));
      update.changed.back().record.zone = {"here"};
    }
    directory.apply(update);
  }
  Worker& worker(const char* id) { return *directory.workers().at({id}); }
  std::string selectedWorker(const RequestFacts& facts = {}) {
    const Selection selection = selector.select("svc", facts, {}, now);
    return selection.worker == nullptr ? "" : selection.worker->view.record.id.value;
  }
};

TEST(WorkerSelectorTest, theLessLoadedWorkerIsChosen) {
  setWorkers(2);
  worker("w1").requestBegan("");
  STRCMP_EQUAL("w2", selectedWorker().c_str());
  worker("w2").runningElsewhere = 3;
  STRCMP_EQUAL("w1", selectedWorker().c_str());
}

TEST(WorkerSelectorTest, aWorkerWithFailuresIsAvoidedForAWhile) {
  setWorkers(2);
  for (int count = 0; count < 5; ++count) {
    worker("w1").failures.observe(true, now);
  }
  worker("w2").requestBegan("");
  STRCMP_EQUAL("w2", selectedWorker().c_str());
  CHECK_TRUE(worker("w1").failures.value(now + 60s) < 0.01);
}

TEST(WorkerSelectorTest, theOwnZoneIsPreferredAtEqualLoad) {
  setWorkers(2);
  worker("w1").view.record.zone = {"there"};
  STRCMP_EQUAL("w2", selectedWorker().c_str());
}

TEST(WorkerSelectorTest, aWorkerThatKnowsThePromptIsPreferred) {
  setWorkers(3);
  for (const char* id : {"w1", "w2", "w3"}) {
    worker(id).view.models = {{"m", 1, {}}};
  }
  RequestFacts facts;
  facts.model = "m";
  facts.promptParts = {"p1", "p2", "own"};
  selector.affinity().recordSent(facts, {"w3"});
  facts.promptParts = {"p1", "p2", "another"};
  STRCMP_EQUAL("w3", selectedWorker(facts).c_str());
}

TEST(WorkerSelectorTest, aNewConnectionIsAvoidedAtEqualLoad) {
  setWorkers(2);
  unconnected = {"w1"};
  STRCMP_EQUAL("w2", selectedWorker().c_str());
}

TEST(WorkerSelectorTest, theReasonIsGivenWhenNoWorkerIsAvailable) {
  CHECK_TRUE(selector.select("svc", {}, {}, now).reason == NoWorkerReason::noWorkers);
  setWorkers(1);
  RequestFacts facts;
  facts.model = "m";
  CHECK_TRUE(selector.select("svc", facts, {}, now).reason == NoWorkerReason::notHeld);
  CHECK_TRUE(selector.select("svc", {}, {{{"w1"}}, {}}, now).reason == NoWorkerReason::excluded);
}

TEST(WorkerSelectorTest, loadsAreKeptUntilUpdated) {
  setWorkers(1);
  registry::ViewUpdate update;
  update.loads = {{{"w1"}, "", 5}};
  directory.apply(update);
  CHECK_EQUAL(5, worker("w1").runningElsewhere);
  directory.apply({});
  CHECK_EQUAL(5, worker("w1").runningElsewhere);
  update.loads = {{{"w1"}, "", 0}};
  directory.apply(update);
  CHECK_EQUAL(0, worker("w1").runningElsewhere);
}

TEST(WorkerSelectorTest, aCompleteUpdateClearsUnlistedLoads) {
  setWorkers(1);
  registry::ViewUpdate update;
  update.loads = {{{"w1"}, "", 5}};
  directory.apply(update);
  registry::ViewUpdate complete;
  complete.complete = true;
  complete.changed = {worker("w1").view};
  directory.apply(complete);
  CHECK_EQUAL(0, worker("w1").runningElsewhere);
}

/// Gateways learn of each other's requests some hundred ms late. Guards against all of them
/// selecting the same worker in that time, whose streams then pause while it processes the prompts.
TEST(WorkerSelectorTest, gatewaysWithTheSameViewSelectDifferentWorkers) {
  constexpr std::size_t kWorkers = 6;
  constexpr int kGateways = 60;
  setWorkers(kWorkers);
  std::map<std::string, int> selections;
  for (int gateway = 1; gateway <= kGateways; ++gateway) {
    WorkerSelectorOptions options;
    options.zone = {"here"};
    options.seed = static_cast<std::uint64_t>(gateway);
    WorkerSelector other(directory, options, [](const registry::WorkerId&) { return true; });
    ++selections[other.select("svc", {}, {}, now).worker->view.record.id.value];
  }
  CHECK_EQUAL(kWorkers, selections.size());
  for (const auto& [worker, count] : selections) {
    CHECK_TRUE(count <= kGateways / 3);
  }
}

TEST(WorkerSelectorTest, aMuchBusierWorkerIsNeverChosen) {
  constexpr std::uint64_t kGateways = 60;
  setWorkers(2);
  worker("w1").runningElsewhere = 2;  // The worker has 4 slots.
  for (std::uint64_t gateway = 1; gateway <= kGateways; ++gateway) {
    WorkerSelector other(directory, {{"here"}, WorkerSelectorOptions().spread, gateway},
                         [](const registry::WorkerId&) { return true; });
    STRCMP_EQUAL("w2", other.select("svc", {}, {}, now).worker->view.record.id.value.c_str());
  }
}
