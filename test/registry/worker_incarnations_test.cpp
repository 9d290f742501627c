/// Tests of a worker that restarts under the same name: no state of the previous incarnation
/// applies to the present one, and late messages of the previous one change nothing.

#include "registry/leader_duties_kit.h"
#include "walnut/registry/view_codec.h"

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;

TEST_GROUP_BASE(WorkerLivesTest, LeaderDutiesKit) {
  static constexpr std::uint64_t kFirstBorn = 1000;
  static constexpr std::uint64_t kSecondBorn = 2000;

  static WorkerRecord life(std::uint64_t born) {
    WorkerRecord record{workerIdOf("w", born), "svc", {"10.0.2.1", 80}, {}, 4, false};
    record.name = "w";
    record.bornMillis = born;
    return record;
  }
  static Heartbeat beat(std::uint64_t born, std::uint64_t sequence,
                        std::initializer_list<const char*> models = {}) {
    Heartbeat heartbeat;
    heartbeat.worker = life(born);
    heartbeat.sequence = sequence;
    heartbeat.holdingsKnown = true;
    for (const char* model : models) {
      heartbeat.holdings.models.push_back({model, 1, {}});
    }
    return heartbeat;
  }
  /// Delivers the heartbeat, and commits the worker's record if that is required.
  bool hear(const Heartbeat& heartbeat) {
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
  CHECK_TRUE(hear(beat(kFirstBorn, 50, {"a"})));
  CHECK_TRUE(hear(beat(kSecondBorn, 1)));
  CHECK(present()->id == workerIdOf("w", kSecondBorn));
  CHECK(state.wasForgotten(workerIdOf("w", kFirstBorn)));
}

TEST(WorkerLivesTest, aNewLifeMayHaveAnotherAddress) {
  lead();
  hear(beat(kFirstBorn, 50));
  Heartbeat next = beat(kSecondBorn, 1);
  next.worker.endpoint.port = 81;
  CHECK_TRUE(hear(next));
  CHECK_EQUAL(81, present()->endpoint.port);
  CHECK_EQUAL(3, state.workers().size());
}

TEST(WorkerLivesTest, aLateHeartbeatOfTheFormerLifeChangesNothing) {
  lead();
  hear(beat(kFirstBorn, 50, {"a"}));
  hear(beat(kSecondBorn, 1));
  CHECK_FALSE(hear(beat(kFirstBorn, 51, {"a"})));
  CHECK_FALSE(hear(beat(kFirstBorn, 52, {"a"})));
  CHECK(present()->id == workerIdOf("w", kSecondBorn));
}

/// The new leader had no contact with either incarnation.
TEST(WorkerLivesTest, aNewLeaderIsNotTakenInByALateHeartbeatEither) {
  state.apply(StoreWorker{life(kSecondBorn)});
  lead();
  CHECK_FALSE(hear(beat(kFirstBorn, 51, {"a"})));
  CHECK(present()->id == workerIdOf("w", kSecondBorn));
}

/// Two proposals may be committed in a different order than they were made.
TEST(WorkerLivesTest, anEarlierLifeThatIsCommittedLaterIsNotAdded) {
  state.apply(StoreWorker{life(kSecondBorn)});
  state.apply(StoreWorker{life(kFirstBorn)});
  CHECK(present()->id == workerIdOf("w", kSecondBorn));
  CHECK_FALSE(state.wasForgotten(workerIdOf("w", kSecondBorn)));
}

TEST(WorkerLivesTest, aWorkerWhoseClockWasSetBackIsHeardOnceTheOtherLifeIsSilent) {
  lead();
  hear(beat(kSecondBorn, 50));
  run(6s);
  CHECK_FALSE(hear(beat(kFirstBorn, 1)));
  run(100ms);
  CHECK_TRUE(hear(beat(kFirstBorn, 2)));
  CHECK(present()->id == workerIdOf("w", kFirstBorn));
}

TEST(WorkerLivesTest, aNewLifeHoldsNothingOfBefore) {
  lead();
  hear(beat(kFirstBorn, 50, {"a"}));
  run(1s);
  CHECK(state.findHoldings(workerIdOf("w", kFirstBorn)) != nullptr);
  hear(beat(kSecondBorn, 1));
  run(1s);
  CHECK(state.findHoldings(workerIdOf("w", kFirstBorn)) == nullptr);
  const std::vector<HeldModel>* held = state.findHoldings(workerIdOf("w", kSecondBorn));
  CHECK(held == nullptr || held->empty());
}

TEST(WorkerLivesTest, whoOrderedTheFormerLifeIsBoundAsBefore) {
  state.apply(StoreWorker{life(kFirstBorn)});
  state.apply(StoreOrderedWorkers{kFormer, 1, 1, {workerIdOf("w", kFirstBorn)}});
  state.apply(StoreWorker{life(kSecondBorn)});
  CHECK(state.lastOrderedBy(workerIdOf("w", kSecondBorn)) == kFormer);
  OrderTurns times{base::TimePoint(1s)};
  times.ordered({workerIdOf("w", kFirstBorn)}, now);
  const base::TimePoint before = times.allowedAt(workerIdOf("w", kFirstBorn), now + 10s, kLease);
  times.succeeded(workerIdOf("w", kFirstBorn), workerIdOf("w", kSecondBorn));
  CHECK(times.allowedAt(workerIdOf("w", kSecondBorn), now + 10s, kLease) == before);
}

/// Three incarnations of one worker that end under one request count as three crashes.
TEST(WorkerLivesTest, eachLifeThatEndsIsACrashOfItsOwn) {
  const RequestDigest request{};
  RequestCrashLedger ledger;
  for (const std::uint64_t born : {kFirstBorn, kSecondBorn, kSecondBorn + 1}) {
    ledger.add(workerIdOf("w", born), {request}, {});
  }
  CHECK_EQUAL(1, ledger.guilty().count(request));
}

TEST(WorkerLivesTest, aReportOfAnotherLifeIsNotTaken) {
  lead();
  hear(beat(kSecondBorn, 1));
  WorkerReport report;
  report.bornMillis = kFirstBorn;
  report.orderCount = 7;
  report.holdings.models.push_back({"a", 1, {}});
  duties->reportFinished({workerIdOf("w", kSecondBorn), report}, now);
  run(1s);
  const std::vector<HeldModel>* held = state.findHoldings(workerIdOf("w", kSecondBorn));
  CHECK(held == nullptr || held->empty());
}

TEST(WorkerLivesTest, gatewaysAreToldByWhichNameToSpeakToIt) {
  ViewEncoder encoder;
  ViewCursor cursor;
  ViewUpdate view;
  view.complete = true;
  view.changed.push_back({life(kSecondBorn)});
  const ViewUpdate told = decoder.decode(encoder.encode(view, cursor)).value();
  CHECK(told.changed.at(0).record == life(kSecondBorn));
  STRCMP_EQUAL("w", told.changed.at(0).record.calledName().c_str());
}

/// A foreign sender must not move a worker out of its service.
TEST(WorkerLivesTest, aHeartbeatOfAnUnknownServiceHarmsNobody) {
  lead();
  hear(beat(kFirstBorn, 1));
  Heartbeat foreign = beat(kFirstBorn, 2);
  foreign.worker.service = "other";
  CHECK_FALSE(hear(foreign));
  STRCMP_EQUAL("svc", present()->service.c_str());
  foreign.worker = life(kSecondBorn);
  foreign.worker.service = "other";
  CHECK_FALSE(hear(foreign));
  CHECK(present()->id == workerIdOf("w", kFirstBorn));
}
