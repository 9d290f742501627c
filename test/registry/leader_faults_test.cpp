/// Tests of a leader that was suspended, and of models whose loads crash their workers.

#include "registry/leader_duties_fixture.h"

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;

TEST_GROUP_BASE(SuspendedLeaderTest,
                LeaderDutiesFixture){void setup() override{LeaderDutiesFixture::setup();
lead();
hold("w1", "a");
hold("w2", "b");
runAnswering(1s);
}
/// Advances the time while nothing runs.
void sleep(base::Duration duration) { now += duration; }
bool loggedUnresponsive() const {
  return std::any_of(log.lines.begin(), log.lines.end(), [](runtime::LogEvent event) {
    return event == runtime::LogEvent::workerSilent;
  });
}
}
;

TEST(SuspendedLeaderTest, workersAreNotUnresponsiveRightAfterTheSuspension) {
  sleep(5s);
  run(1s);
  CHECK_FALSE(loggedUnresponsive());
  run(5s);
  CHECK_TRUE(loggedUnresponsive());
}

TEST(SuspendedLeaderTest, workersAreNotForgottenRightAfterTheSuspension) {
  sleep(60s);
  run(1s);
  CHECK(state.findWorker({"w1"}) != nullptr);
}

TEST(SuspendedLeaderTest, aCutBeforeTheSuspensionIsNoCrashUntilContactWasPossible) {
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

TEST(SuspendedLeaderTest, withoutAValidLeaseNothingIsSentOrOrdered) {
  duties->subscribe(kGateway, {});
  demandModel("b");
  sleep(5s);
  actions.clear();
  duties->run(now, {}, {});
  for (RegistryAction& action : duties->takeActions()) {
    actions.push_back(std::move(action));
  }
  CHECK_EQUAL(0, count<SendOrder>());
  CHECK_EQUAL(0, count<control::SendToConnection>());
}

TEST_GROUP_BASE(EndingLoadTest, LeaderDutiesFixture){};

/// The model crashes each worker that loads it, and is requested all the time.
TEST(EndingLoadTest, loadsOfAModelThatCrashesItsWorkersBackOff) {
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
      // The worker crashes and restarts immediately under another id.
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

TEST_GROUP_BASE(PreviousOrderTest, LeaderDutiesFixture){};

/// Guards against a model whose callers wait in vain: the worker with a copy of its weights carries
/// out an order of the previous leader for as long as the callers wait, and the load of 2 s that
/// another worker could begin at once is not ordered.
TEST(PreviousOrderTest, aWorkerBusyWithAPreviousLeadersOrderKeepsNoModelWaiting) {
  lead();
  WorkerReport busy;
  busy.orderUnderWay = true;
  busy.holdings.inMemory = {"a"};
  for (const base::TimePoint end = now + 4s; now < end;) {
    demandModel("a");
    run(50ms);
    for (const RegistryAction& action : actions) {
      if (const auto* read = std::get_if<ReadReport>(&action)) {
        const bool first = read->worker.id == WorkerId{"w1"};
        duties->reportFinished({read->worker.id, first ? busy : WorkerReport{}}, now);
      }
    }
    std::erase_if(actions, [](const RegistryAction& action) {
      return std::holds_alternative<ReadReport>(action);
    });
  }
  const std::vector<std::string> workers = ordered();
  CHECK_EQUAL(1, workers.size());
  STRCMP_EQUAL("w2", workers.front().c_str());
}
