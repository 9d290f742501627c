/// Tests of a worker that restarts under the same name: no state of the previous incarnation
/// applies to the present one, and late messages of the previous one change nothing.

#include "registry/leader_duties_fixture.h"
#include "walnut/registry/view_codec.h"

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;

TEST_GROUP_BASE(WorkerLivesTest, LeaderDutiesFixture) {
  static constexpr std::uint64_t kFirstStart = 1000;
  static constexpr std::uint64_t kSecondStart = 2000;

  static WorkerRecord incarnation(std::uint64_t startMillis) {
    WorkerRecord record{workerIdOf("w", startMillis), "svc", {"10.0.2.1", 80}, {}, 4, false};
    record.name = "w";
    record.bornMillis = startMillis;
    return record;
  }
  static Heartbeat makeHeartbeat(std::uint64_t startMillis, std::uint64_t sequence,
                                 std::initializer_list<const char*> models = {}) {
    Heartbeat heartbeat;
    heartbeat.worker = incarnation(startMillis);
    heartbeat.sequence = sequence;
    heartbeat.holdingsKnown = true;
    for (const char* model : models) {
      heartbeat.holdings.models.push_back({model, 1, {}});
    }
    return heartbeat;
  }
  /// Delivers the heartbeat, and commits the worker's record if that is required.
  bool deliver(const Heartbeat& heartbeat) {
    const bool stores = duties->heartbeat(heartbeat, now);
    if (stores) {
      commit(StoreWorker{heartbeat.worker});
    }
    return stores;
  }
  const WorkerRecord* present() { return state.findIncarnation("w"); }
};

TEST(WorkerLivesTest, aNewLifeIsHeardAtOnceThoughItsCountStartsAnew) {
  lead();
  CHECK_TRUE(deliver(makeHeartbeat(kFirstStart, 50, {"a"})));
  CHECK_TRUE(deliver(makeHeartbeat(kSecondStart, 1)));
  CHECK(present()->id == workerIdOf("w", kSecondStart));
  CHECK(state.wasForgotten(workerIdOf("w", kFirstStart)));
}

TEST(WorkerLivesTest, aNewLifeMayHaveAnotherAddress) {
  lead();
  deliver(makeHeartbeat(kFirstStart, 50));
  Heartbeat next = makeHeartbeat(kSecondStart, 1);
  next.worker.endpoint.port = 81;
  CHECK_TRUE(deliver(next));
  CHECK_EQUAL(81, present()->endpoint.port);
  CHECK_EQUAL(3, state.workers().size());
}

TEST(WorkerLivesTest, aLateHeartbeatOfTheFormerLifeChangesNothing) {
  lead();
  deliver(makeHeartbeat(kFirstStart, 50, {"a"}));
  deliver(makeHeartbeat(kSecondStart, 1));
  CHECK_FALSE(deliver(makeHeartbeat(kFirstStart, 51, {"a"})));
  CHECK_FALSE(deliver(makeHeartbeat(kFirstStart, 52, {"a"})));
  CHECK(present()->id == workerIdOf("w", kSecondStart));
}

/// The new leader had no contact with either incarnation.
TEST(WorkerLivesTest, aNewLeaderIsNotTakenInByALateHeartbeatEither) {
  state.apply(StoreWorker{incarnation(kSecondStart)});
  lead();
  CHECK_FALSE(deliver(makeHeartbeat(kFirstStart, 51, {"a"})));
  CHECK(present()->id == workerIdOf("w", kSecondStart));
}

/// Two proposals may be committed in a different order than they were made.
TEST(WorkerLivesTest, anEarlierLifeThatIsCommittedLaterIsNotAdded) {
  state.apply(StoreWorker{incarnation(kSecondStart)});
  state.apply(StoreWorker{incarnation(kFirstStart)});
  CHECK(present()->id == workerIdOf("w", kSecondStart));
  CHECK_FALSE(state.wasForgotten(workerIdOf("w", kSecondStart)));
}

TEST(WorkerLivesTest, aWorkerWhoseClockWasSetBackIsHeardOnceTheOtherLifeIsSilent) {
  lead();
  deliver(makeHeartbeat(kSecondStart, 50));
  run(6s);
  CHECK_FALSE(deliver(makeHeartbeat(kFirstStart, 1)));
  run(100ms);
  CHECK_TRUE(deliver(makeHeartbeat(kFirstStart, 2)));
  CHECK(present()->id == workerIdOf("w", kFirstStart));
}

TEST(WorkerLivesTest, aNewLifeHoldsNothingOfBefore) {
  lead();
  deliver(makeHeartbeat(kFirstStart, 50, {"a"}));
  run(1s);
  CHECK(state.findHoldings(workerIdOf("w", kFirstStart)) != nullptr);
  deliver(makeHeartbeat(kSecondStart, 1));
  run(1s);
  CHECK(state.findHoldings(workerIdOf("w", kFirstStart)) == nullptr);
  const std::vector<HeldModel>* held = state.findHoldings(workerIdOf("w", kSecondStart));
  CHECK(held == nullptr || held->empty());
}

TEST(WorkerLivesTest, whoOrderedTheFormerLifeIsBoundAsBefore) {
  state.apply(StoreWorker{incarnation(kFirstStart)});
  state.apply(StoreOrderedWorkers{kFormer, 1, 1, {workerIdOf("w", kFirstStart)}});
  state.apply(StoreWorker{incarnation(kSecondStart)});
  CHECK(state.lastOrderedBy(workerIdOf("w", kSecondStart)) == kFormer);
  OrderTimes times{base::TimePoint(1s)};
  times.ordered({workerIdOf("w", kFirstStart)}, now);
  const base::TimePoint before = times.allowedAt(workerIdOf("w", kFirstStart), now + 10s, kLease);
  times.succeeded(workerIdOf("w", kFirstStart), workerIdOf("w", kSecondStart));
  CHECK(times.allowedAt(workerIdOf("w", kSecondStart), now + 10s, kLease) == before);
}

/// Three incarnations of one worker that end under one request count as three crashes.
TEST(WorkerLivesTest, eachLifeThatEndsIsACrashOfItsOwn) {
  const RequestDigest request{};
  RequestCrashLedger ledger;
  for (const std::uint64_t startMillis : {kFirstStart, kSecondStart, kSecondStart + 1}) {
    ledger.add(workerIdOf("w", startMillis), {request}, {});
  }
  CHECK_EQUAL(1, ledger.requestsToRefuse().count(request));
}

TEST(WorkerLivesTest, aReportOfAnotherLifeIsNotTaken) {
  lead();
  deliver(makeHeartbeat(kSecondStart, 1));
  WorkerReport report;
  report.bornMillis = kFirstStart;
  report.orderCount = 7;
  report.holdings.models.push_back({"a", 1, {}});
  duties->reportFinished({workerIdOf("w", kSecondStart), report}, now);
  run(1s);
  const std::vector<HeldModel>* held = state.findHoldings(workerIdOf("w", kSecondStart));
  CHECK(held == nullptr || held->empty());
}

TEST(WorkerLivesTest, gatewaysAreToldByWhichNameToSpeakToIt) {
  ViewEncoder encoder;
  ViewCursor cursor;
  ViewUpdate view;
  view.complete = true;
  view.changed.push_back({incarnation(kSecondStart)});
  const ViewUpdate decoded = decoder.decode(encoder.encode(view, cursor)).value();
  CHECK(decoded.changed.at(0).record == incarnation(kSecondStart));
  STRCMP_EQUAL("w", decoded.changed.at(0).record.calledName().c_str());
}

/// A foreign sender must not move a worker out of its service.
TEST(WorkerLivesTest, aHeartbeatOfAnUnknownServiceHarmsNobody) {
  lead();
  deliver(makeHeartbeat(kFirstStart, 1));
  Heartbeat foreign = makeHeartbeat(kFirstStart, 2);
  foreign.worker.service = "other";
  CHECK_FALSE(deliver(foreign));
  STRCMP_EQUAL("svc", present()->service.c_str());
  foreign.worker = incarnation(kSecondStart);
  foreign.worker.service = "other";
  CHECK_FALSE(deliver(foreign));
  CHECK(present()->id == workerIdOf("w", kFirstStart));
}
