/// Tests of the expected time at a worker, and of the selection by it. The load: 60 gateways that
/// act on the same estimates of workers with three speeds.

#include "gateway/worker_time_model.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <vector>

#include "gateway/gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kTokens = 1460;

std::uint32_t percent(double value) { return static_cast<std::uint32_t>(std::lround(100 * value)); }

}  // namespace

TEST_GROUP(WorkerTimeModelTest) {
  base::TimePoint now = base::TimePoint(100s);
  WorkerTimeModel model;
  WorkerDirectory directory;

  void setup() override { model.setServices({"svc"}); }
  void setWorkers(std::size_t count) {
    registry::ViewUpdate update;
    update.complete = true;
    for (std::size_t number = 1; number <= count; ++number) {
      update.changed.push_back(GatewayHarness::worker(number));
      update.changed.back().record.slots = 16;
    }
    directory.apply(update);
  }
  void setTimings(std::vector<registry::WorkerTiming> timings) {
    model.timingsReceived({true, std::move(timings)}, now);
  }
  WorkerSelector makeSelector(std::uint64_t seed) {
    WorkerSelectorOptions options;
    options.seed = seed;
    return {directory, options, [](const registry::WorkerId&) { return true; }, nullptr, &model};
  }
  static RequestFacts facts() {
    RequestFacts made;
    made.promptTokens = kTokens;
    return made;
  }
  /// @return how many of `gateways` select each worker.
  std::map<std::string, int> select(int gateways) {
    std::map<std::string, int> selections;
    for (int gateway = 1; gateway <= gateways; ++gateway) {
      WorkerSelector selector = makeSelector(static_cast<std::uint64_t>(gateway));
      ++selections[selector.select("svc", facts(), {}, now).worker->view.record.id.value];
    }
    return selections;
  }
  Worker& worker(const char* id) { return *directory.workers().at({id}); }
  double total(double slowness, double share, std::uint32_t running = 8) {
    return expectedTime({slowness, share, running, 16, 0, 1460, {0.05, 40e-6}}).total();
  }
};

TEST(WorkerTimeModelTest, theTimeGrowsSteeplyWithThePromptShare) {
  CHECK(total(2.5, 0.2) > 2 * total(1, 0.2));
  CHECK(total(1, 0.8) - total(1, 0.6) > 3 * (total(1, 0.3) - total(1, 0.1)));
  CHECK(total(1, 0.6, 2) > total(1, 0.2, 12));  // The running requests count far less.
  CHECK(std::isfinite(total(4, 1)));
}

/// The load: 60 gateways, 30 workers with the speeds 0.6, 1.0 and 1.6 and the prompt share that
/// follows from their selections, published every 500 ms.
TEST(WorkerTimeModelTest, streamsAreSharedBySpeedWithoutAHerd) {
  constexpr int kWorkers = 30;
  constexpr int kGateways = 60;
  constexpr int kRounds = 40;
  constexpr double kSeconds = 0.5;
  constexpr double kSecondsPerToken = 40e-6;
  const std::vector<double> speeds = {0.6, 1.0, 1.6};
  setWorkers(kWorkers);
  std::vector<double> tokens(kWorkers + 1, 0);
  std::vector<int> bySpeed(3, 0);
  int most = 0;
  std::vector<WorkerSelector> selectors;
  for (int gateway = 1; gateway <= kGateways; ++gateway) {
    selectors.push_back(makeSelector(static_cast<std::uint64_t>(gateway)));
  }
  for (int round = 0; round < kRounds; ++round) {
    std::vector<registry::WorkerTiming> timings;
    for (int number = 1; number <= kWorkers; ++number) {
      const double slowness = 1 / speeds[static_cast<std::size_t>(number % 3)];
      const auto index = static_cast<std::size_t>(number);
      const double share = tokens[index] / kSeconds * kSecondsPerToken * slowness;
      timings.push_back(
          {{"w" + std::to_string(number)}, percent(slowness), percent(std::min(0.99, share))});
      tokens[index] = 0;
    }
    setTimings(std::move(timings));
    std::vector<int> chosen(kWorkers + 1, 0);
    for (WorkerSelector& selector : selectors) {
      const std::string id = selector.select("svc", facts(), {}, now).worker->view.record.id.value;
      const int number = std::stoi(id.substr(1));
      ++chosen[static_cast<std::size_t>(number)];
      ++bySpeed[static_cast<std::size_t>(number % 3)];
      tokens[static_cast<std::size_t>(number)] += kTokens;
    }
    most = std::max(most, *std::max_element(chosen.begin(), chosen.end()));
    now += 500ms;
  }
  // An equal share of a worker is 2 of 60 in a round.
  CHECK(most <= 12);
  CHECK(bySpeed[0] > 0);
  CHECK(bySpeed[1] > 2 * bySpeed[0]);
  CHECK(bySpeed[2] > bySpeed[1]);
  CHECK(bySpeed[2] < kGateways * kRounds * 3 / 4);
}

/// With two replicas all workers are compared: equal estimates must not send all gateways to one.
TEST(WorkerTimeModelTest, gatewaysWithTwoWorkersDoNotAllSelectTheSame) {
  setWorkers(2);
  setTimings({{{"w1"}, 100, 20}, {{"w2"}, 110, 22}});
  const std::map<std::string, int> selections = select(60);
  CHECK(selections.at("w1") < 50);
  CHECK(selections.at("w2") > 10);
}

TEST(WorkerTimeModelTest, aFullWorkerIsNeverChosenWhileAnotherIsFree) {
  setWorkers(3);
  worker("w1").runningElsewhere = 16;
  worker("w2").runningElsewhere = 16;
  setTimings({{{"w1"}, 50, 0}, {{"w2"}, 50, 0}, {{"w3"}, 400, 90}});
  CHECK_EQUAL(60, select(60).at("w3"));
}

TEST(WorkerTimeModelTest, anUnresponsiveWorkerIsNotChosenWhileAnotherIsFree) {
  setWorkers(3);
  worker("w1").view.silent = true;
  worker("w2").view.silent = true;
  CHECK_EQUAL(60, select(60).at("w3"));
}

TEST(WorkerTimeModelTest, theExpectedWaitIsZeroWhileASlotIsFree) {
  setWorkers(1);
  WorkerSelector selector = makeSelector(1);
  selector.slotHeld("svc", 1s);
  CHECK(selector.select("svc", facts(), {}, now).expectedWait == 0s);
  worker("w1").runningElsewhere = 16;
  CHECK(selector.select("svc", facts(), {}, now).expectedWait > 0s);
}

/// Guards against streams that are queued at a slow worker as if its slots became free as soon as
/// those of the others, and are left there by their callers.
TEST(WorkerTimeModelTest, theExpectedWaitAtASlowWorkerIsLonger) {
  setWorkers(1);
  worker("w1").running = 20;
  WorkerSelector selector = makeSelector(1);
  selector.slotHeld("svc", 1600ms);
  const base::Duration usual = selector.select("svc", facts(), {}, now).expectedWait;
  CHECK_TRUE(usual == 500ms);
  setTimings({{{"w1"}, 200, 0}});
  CHECK_TRUE(selector.select("svc", facts(), {}, now).expectedWait == 2 * usual);
}

/// The draws must not change the selections of services that the model doesn't cover.
TEST(WorkerTimeModelTest, otherServicesSelectAsWithoutAModel) {
  setWorkers(10);
  model.setServices({"another"});
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    WorkerSelector with = makeSelector(seed);
    WorkerSelectorOptions options;
    options.seed = seed;
    WorkerSelector without(directory, options, [](const registry::WorkerId&) { return true; });
    for (int count = 0; count < 5; ++count) {
      CHECK(with.select("svc", facts(), {}, now).worker ==
            without.select("svc", facts(), {}, now).worker);
    }
  }
}

/// Without a leader, the last estimates must neither be lost at once nor be used forever.
TEST(WorkerTimeModelTest, withoutALeaderTheEstimatesAreUsedForAWhileAndFade) {
  setTimings({{{"w1"}, 250, 40}});
  DOUBLES_EQUAL(2.5, model.slowness({"w1"}, now + 5s), 0.01);
  DOUBLES_EQUAL(0.4, model.promptShare({"w1"}, now + 5s), 0.01);
  CHECK(model.slowness({"w1"}, now + 7500ms) < 1.7);
  DOUBLES_EQUAL(1, model.slowness({"w1"}, now + 10s), 0.01);
  DOUBLES_EQUAL(0, model.promptShare({"w1"}, now + 10s), 0.01);
}

TEST(WorkerTimeModelTest, ownPromptsCountUntilTheEstimatesContainThem) {
  setTimings({{{"w1"}, 100, 20}});
  const auto time = [this] { return model.timeAt("svc", {"w1"}, 4, 16, kTokens, now).total(); };
  const double before = time();
  for (int count = 0; count < 5; ++count) {
    model.promptSent({"w1"}, kTokens, now);
  }
  CHECK(time() > 1.2 * before);
  now += WorkerTimeModel::kOwnPromptTime;
  DOUBLES_EQUAL(before, time(), 1e-9);
}
