/// Tests of streams that can't begin in time, at a gateway. The load: one model, its only replicas
/// have all 4 slots taken and a queue; streams take 1 s, so that a slot is free every 250 ms. Loads
/// from the weight store take 10.2 s.

#include "gateway/gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;
using runtime::LogEvent;

TEST_GROUP(LateStartTest) {
  GatewayHarness harness;

  std::size_t sentCount() { return harness.launcher.sent.size(); }
  const SentRequest& lastSent() { return *harness.launcher.sent.back(); }
  std::string sentHeader(std::size_t index, const char* name) {
    return *harness.launcher.sent.at(index)->request.headers.find(name);
  }
  /// Puts a document in force in which loads of the service's only model take that time.
  void declareLoads(base::Duration storeLoadTime) {
    auto document = std::make_shared<catalog::Document>(*harness.gateway.document());
    ++document->version;
    document->services.front().engine.emplace();
    document->services.front().engine->models.emplace_back();
    document->services.front().engine->models.front().name = "m";
    document->services.front().engine->models.front().storeLoadTime = storeLoadTime;
    harness.gateway.documentReceived(std::move(document));
  }
  /// Announces the workers as holders of the model with that many requests of other gateways.
  void announce(std::size_t workers, std::uint32_t running) {
    registry::ViewUpdate update;
    update.complete = true;
    update.gateways = 1;
    for (std::size_t number = 1; number <= workers; ++number) {
      update.changed.push_back(GatewayHarness::worker(number));
      update.changed.back().holdingsKnown = true;
      update.changed.back().models = {{"m", 1, {}}};
      update.loads.push_back({{"w" + std::to_string(number)}, "", running});
    }
    harness.gateway.viewReceived(update);
    harness.scheduler.settle();
  }
  /// Reports the load of the first worker, with no other change.
  void reportLoad(std::uint32_t running) {
    registry::ViewUpdate update;
    update.gateways = 1;
    update.loads = {{{"w1"}, "", running}};
    harness.gateway.viewReceived(update);
    harness.scheduler.settle();
  }
  std::unique_ptr<Caller> stream(const std::string& id, base::Duration deadline = 10s) {
    net::HttpRequest made;
    made.method = "POST";
    made.target = "/stream/x";
    made.headers.add("Host", "h");
    made.headers.add("Id", id);
    made.headers.add("Deadline-Ms", std::to_string(deadline / 1ms));
    made.headers.add("Model", "m");
    auto caller = std::make_unique<Caller>();
    harness.gateway.onRequest(std::move(made), *caller);
    harness.scheduler.settle();
    return caller;
  }
  /// Completes a stream of 1 s and lets the worker have a queue.
  void prepare(base::Duration storeLoadTime, std::uint32_t running) {
    harness.declare(1);
    declareLoads(storeLoadTime);
    harness.follow();
    announce(1, 0);
    const auto first = stream("r0");
    harness.head(lastSent(), 200, "r0", true);
    lastSent().callbacks->onResponseBody("id: 1\n\n");
    harness.advanceFollowing(1s);
    lastSent().callbacks->onResponseComplete();
    harness.scheduler.settle();
    harness.launcher.sent.clear();
    announce(1, running);
  }
  /// The expected wait is then 750 ms.
  void prepareFull() { prepare(10200ms, 6); }
  std::string outcomes() {
    std::string joined;
    for (const LoggedLine& line : harness.log.of(LogEvent::lateStartDecided)) {
      joined += (joined.empty() ? "" : " ") + line.fields.find("outcome")->second;
    }
    return joined;
  }
};

/// Guards against refusing streams that could be served before their callers leave, and against a
/// lower rank, with which a busy worker begins them only after their callers have left.
TEST(LateStartTest, aStreamWaitsForAShortQueueAndIsSentWithTheRankOfItsRoute) {
  prepareFull();
  const auto caller = stream("r1");
  CHECK_EQUAL(0, caller->status);
  CHECK_EQUAL(0, sentCount());
  harness.advanceFollowing(500ms);
  CHECK_EQUAL(0, sentCount());
  reportLoad(3);
  CHECK_EQUAL(1, sentCount());
  STRCMP_EQUAL("0", sentHeader(0, "Priority").c_str());
  STRCMP_EQUAL("waited sent-late", outcomes().c_str());
}

TEST(LateStartTest, aStreamThatCanStillBeginInTimeKeepsItsRank) {
  prepareFull();
  const auto caller = stream("r1");
  harness.advanceFollowing(100ms);
  reportLoad(4);
  CHECK_EQUAL(1, sentCount());
  STRCMP_EQUAL("0", sentHeader(0, "Priority").c_str());
}

/// Guards against new behaviour where another replica is added while callers wait.
TEST(LateStartTest, whereReplicasAreQuickToAddALateStreamIsRefused) {
  prepare(9600ms, 6);
  const auto caller = stream("r1");
  CHECK_EQUAL(503, caller->status);
  STRCMP_EQUAL("0.75", caller->headers.find("Retry-After")->c_str());
  STRCMP_EQUAL("", outcomes().c_str());
}

/// Guards against callers held until they leave, and against callers told the same time.
TEST(LateStartTest, aStreamThatCannotBeServedIsRefusedAtOnceWithATimeOfItsOwn) {
  prepare(10200ms, 20);
  const auto first = stream("r1");
  const auto second = stream("r2");
  CHECK_EQUAL(503, first->status);
  STRCMP_EQUAL("4.25", first->headers.find("Retry-After")->c_str());
  STRCMP_EQUAL("4.50", second->headers.find("Retry-After")->c_str());
  STRCMP_EQUAL("no", harness.log.of(LogEvent::requestRefused).back().fields["executed"].c_str());
}

/// Guards against a stream held until its caller leaves: the queue has grown since it came.
TEST(LateStartTest, aWaitingStreamThatCanNoLongerBeginIsRefused) {
  prepareFull();
  const auto caller = stream("r1");
  reportLoad(20);
  CHECK_EQUAL(503, caller->status);
  STRCMP_EQUAL("waited refused", outcomes().c_str());
}

TEST(LateStartTest, aFirstAttemptIsRefusedAfterHalfOfTheCallerTimeout) {
  prepareFull();
  const auto caller = stream("r1");
  harness.advanceFollowing(1190ms);
  CHECK_EQUAL(0, caller->status);
  harness.advanceFollowing(10ms);
  CHECK_EQUAL(503, caller->status);
}

/// Guards against returning callers who find the capacity they were told of taken by first
/// attempts.
TEST(LateStartTest, streamsAreSentInTheOrderOfTheirDeadlines) {
  prepareFull();
  const auto first = stream("r1");
  const auto retry = stream("r2", 6s);
  harness.advanceFollowing(500ms);
  reportLoad(2);
  harness.advanceFollowing(1ms);
  CHECK_EQUAL(2, sentCount());
  STRCMP_EQUAL("r2", sentHeader(0, "Id").c_str());
  STRCMP_EQUAL("r1", sentHeader(1, "Id").c_str());
}

/// Guards against late streams that fill the queues of the workers, where they can't be taken back.
TEST(LateStartTest, noMoreAreSentThanTheWorkerHasRoomFor) {
  prepareFull();
  std::vector<std::unique_ptr<Caller>> callers;
  for (const char* id : {"r1", "r2", "r3"}) {
    callers.push_back(stream(id, 6s));
  }
  harness.advanceFollowing(500ms);
  reportLoad(2);
  harness.advanceFollowing(300ms);
  CHECK_EQUAL(2, sentCount());
}

/// Guards against a queue that the leader does not see, so that it adds no replica.
TEST(LateStartTest, waitingStreamsAreReportedAsDemand) {
  prepareFull();
  const auto caller = stream("r1");
  CHECK_EQUAL(1, harness.link.demand.back().demands.front().waiting);
  STRCMP_EQUAL("full", harness.log.of(LogEvent::requestWaiting).back().fields["reason"].c_str());
}

/// Guards against refusing a stream as late where the leader has announced the model as late: it
/// has replicas, and the stream waits for one of them.
TEST(LateStartTest, aModelAnnouncedAsLateDoesNotEndTheWaitForItsReplica) {
  prepareFull();
  registry::LateModels late;
  late.models = {{"svc", "m", 10s}};
  harness.gateway.lateModelsReceived(late);
  const auto caller = stream("r1");
  CHECK_EQUAL(0, caller->status);
}

/// Guards against a stream that is lost with the worker that it waits for.
TEST(LateStartTest, aWaitingStreamOutlivesItsWorker) {
  prepareFull();
  const auto caller = stream("r1");
  registry::ViewUpdate update;
  update.gateways = 1;
  update.removed = {{"w1"}};
  update.changed = {GatewayHarness::worker(2)};
  update.changed.front().holdingsKnown = true;
  update.changed.front().models = {{"m", 1, {}}};
  harness.gateway.viewReceived(update);
  harness.scheduler.settle();
  CHECK_EQUAL(1, sentCount());
  STRCMP_EQUAL("w2", lastSent().worker.id.value.c_str());
}

/// Without a leader the last known loads are used, and the wait still ends.
TEST(LateStartTest, withoutALeaderTheWaitEndsAsWell) {
  prepareFull();
  harness.loseLeader();
  const auto caller = stream("r1");
  CHECK_EQUAL(0, caller->status);
  harness.scheduler.advance(1200ms);
  CHECK_EQUAL(503, caller->status);
}

TEST(LateStartTest, aGatewayThatStopsRefusesWaitingStreamsAsNotRun) {
  prepareFull();
  const auto caller = stream("r1");
  harness.gateway.refuseAll();
  harness.scheduler.settle();
  CHECK_EQUAL(503, caller->status);
  STRCMP_EQUAL("no", harness.log.of(LogEvent::requestRefused).back().fields["executed"].c_str());
  CHECK_EQUAL(0, sentCount());
}

/// Guards against the place of a caller that has left: the next one would wait for it.
TEST(LateStartTest, aCallerThatLeavesGivesUpItsPlace) {
  prepareFull();
  const auto first = stream("r1", 6s);
  const auto second = stream("r2", 6s);
  first->gone();
  harness.advanceFollowing(500ms);
  reportLoad(3);
  CHECK_EQUAL(1, sentCount());
  STRCMP_EQUAL("r2", sentHeader(0, "Id").c_str());
}

/// Guards against streams that are left in the queue of a service which a document takes out of it.
TEST(LateStartTest, aWaitingStreamIsDecidedIfADocumentMakesItsServiceQuickToLoad) {
  prepareFull();
  const auto first = stream("r1");
  const auto second = stream("r2");
  CHECK_EQUAL(0, first->status);
  CHECK_EQUAL(0, second->status);
  declareLoads(1s);
  harness.scheduler.settle();
  CHECK_EQUAL(503, first->status);
  CHECK_EQUAL(503, second->status);
  CHECK_EQUAL(0, harness.gateway.exchangeCount());
}

/// Guards against streams that are left in the queue of a service which a document removes.
TEST(LateStartTest, aWaitingStreamIsDecidedIfItsServiceVanishes) {
  prepareFull();
  const auto caller = stream("r1");
  CHECK_EQUAL(0, caller->status);
  auto document = std::make_shared<catalog::Document>(*harness.gateway.document());
  ++document->version;
  document->services.clear();
  document->routes.clear();
  harness.gateway.documentReceived(std::move(document));
  harness.advanceFollowing(10100ms);
  CHECK_EQUAL(503, caller->status);
  CHECK_EQUAL(0, sentCount());
  CHECK_EQUAL(0, harness.gateway.exchangeCount());
}
