/// Tests that a stream goes on only at the software version that began it.

#include "gateway/gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

TEST_GROUP(StreamVersionTest) {
  GatewayHarness harness;

  const SentRequest& sent(std::size_t index) { return *harness.launcher.sent.at(index); }
  const SentRequest& lastSent() { return *harness.launcher.sent.back(); }
  std::size_t sentCount() { return harness.launcher.sent.size(); }

  /// Announces workers w1, w2, ... with these software versions.
  void declare(std::initializer_list<const char*> versions, const char* model = nullptr) {
    harness.declare(0);
    registry::ViewUpdate update;
    std::size_t number = 0;
    for (const char* version : versions) {
      registry::WorkerView worker = GatewayHarness::worker(++number);
      worker.record.softwareVersion = version;
      worker.holdingsKnown = model != nullptr;
      if (model != nullptr) {
        worker.models = {{model, 1, {}}};
      }
      update.changed.push_back(std::move(worker));
    }
    harness.gateway.viewReceived(update);
  }
  void removeWorker(const char* id) {
    registry::ViewUpdate update;
    update.removed = {{id}};
    harness.gateway.viewReceived(update);
  }
  /// Makes a stream's first events come from the worker of its only attempt.
  std::unique_ptr<Caller> beginStream(const char* id) {
    auto caller = harness.request("stream", id);
    harness.head(lastSent(), 200, id, true);
    lastSent().callbacks->onResponseBody("id: 1\n\n");
    return caller;
  }
  std::unique_ptr<Caller> takeUp(const char* id, const char* stream, const char* model = "") {
    net::HttpRequest made;
    made.method = "POST";
    made.target = "/stream/x";
    made.headers.add("Host", "h");
    made.headers.add("Id", id);
    made.headers.add("Deadline-Ms", "5000");
    made.headers.add("Resume", "1");
    made.headers.add("Stream", stream);
    if (*model != 0) {
      made.headers.add("Model", model);
    }
    auto caller = std::make_unique<Caller>();
    harness.gateway.onRequest(std::move(made), *caller);
    harness.scheduler.settle();
    return caller;
  }
  /// Breaks the connection to the caller, with all that is under way for it.
  void leave(Caller & caller) {
    caller.gone();
    harness.scheduler.settle();
  }
  void checkVersion(const char* version) {
    STRCMP_EQUAL(version, lastSent().worker.softwareVersion.c_str());
  }
};

/// Guards against a stream that the gateway continues at a worker of another version.
TEST(StreamVersionTest, aBrokenStreamGoesOnAtItsOwnVersion) {
  declare({"v1", "v2", "v2", "v1"});
  const auto caller = beginStream("r1");
  const std::string version = sent(0).worker.softwareVersion;
  harness.lose(sent(0));
  CHECK_EQUAL(2, sentCount());
  checkVersion(version.c_str());
}

/// Guards against a stream that leaves a silent worker for one of another version.
TEST(StreamVersionTest, aStreamStaysAtASilentWorkerIfAllOthersHaveAnotherVersion) {
  declare({"v1", "v2"});
  const auto caller = beginStream("r1");
  harness.scheduler.advance(1900ms);
  CHECK_EQUAL(1, sentCount());
  CHECK_FALSE(sent(0).cancelled);
}

TEST(StreamVersionTest, aBrokenStreamIsCutAtOnceIfNoWorkerOfItsVersionIsLeft) {
  declare({"v1", "v2"});
  const auto caller = beginStream("r1");
  removeWorker(sent(0).worker.id.value.c_str());
  harness.lose(sent(0));
  CHECK_EQUAL(1, sentCount());
  CHECK_TRUE(caller->aborted);
}

/// Guards against two unknown versions that are taken for the same one.
TEST(StreamVersionTest, aStreamOfAnUnknownVersionGoesOnAtNoOtherWorker) {
  declare({"", ""});
  const auto caller = beginStream("r1");
  removeWorker(sent(0).worker.id.value.c_str());
  harness.lose(sent(0));
  CHECK_EQUAL(1, sentCount());
  CHECK_TRUE(caller->aborted);
}

/// Guards against a stream that a caller takes up at a worker of another version.
TEST(StreamVersionTest, aStreamThatIsTakenUpGoesOnAtItsOwnVersion) {
  declare({"v1", "v2", "v2", "v1"});
  const auto first = beginStream("r1");
  const std::string version = sent(0).worker.softwareVersion;
  removeWorker(sent(0).worker.id.value.c_str());
  leave(*first);
  const auto second = takeUp("r2", "r1");
  CHECK_EQUAL(2, sentCount());
  checkVersion(version.c_str());
  harness.head(lastSent(), 200, "r2", true);
  lastSent().callbacks->onResponseBody("id: 2\n\n");
  lastSent().callbacks->onResponseComplete();
  STRCMP_EQUAL("id: 2\n\n", second->body.c_str());
}

/// Guards against a stream that is taken up and waits until its caller leaves, as resets of
/// connections have opened the breaker of the only worker that can go on with it.
TEST(StreamVersionTest, aStreamThatIsTakenUpGoesOnThoughTheBreakerOfItsWorkerIsOpen) {
  declare({"v1"});
  std::vector<std::unique_ptr<Caller>> callers;
  for (const char* id : {"r1", "r2", "r3"}) {
    callers.push_back(beginStream(id));
  }
  for (std::size_t index = 0; index < callers.size(); ++index) {
    harness.lose(sent(index));
    leave(*callers[index]);
  }
  const std::size_t before = sentCount();
  const auto other = harness.request("stream", "r4");
  CHECK_EQUAL_TEXT(before, sentCount(), "the breaker is open");
  const auto second = takeUp("r5", "r1");
  CHECK_EQUAL(before + 1, sentCount());
  checkVersion("v1");
}

/// Guards against the version of the worker at which a stream went on being taken for the one that
/// began it: what counts is the request that brought the first event.
TEST(StreamVersionTest, aStreamThatWasTakenUpIsKnownByTheRequestThatBeganIt) {
  declare({"v1", "v2", "v2", "v1"});
  const auto first = beginStream("r1");
  const std::string version = sent(0).worker.softwareVersion;
  leave(*first);
  const auto second = takeUp("r2", "r1");
  harness.head(lastSent(), 200, "r2", true);
  lastSent().callbacks->onResponseBody("id: 2\n\n");
  leave(*second);
  const auto third = takeUp("r3", "r1");
  CHECK_EQUAL(3, sentCount());
  checkVersion(version.c_str());
}

TEST(StreamVersionTest, aStreamThatBeganElsewhereGoesOnWhereTheLeaderSays) {
  declare({"v1", "v2"});
  harness.follow();
  const auto caller = takeUp("r2", "r1");
  CHECK_EQUAL(0, sentCount());
  CHECK_EQUAL(1, harness.link.originQuestions.size());
  harness.gateway.streamOriginReceived({harness.link.originQuestions.back().sequence, "svc", "v2"});
  harness.scheduler.settle();
  CHECK_EQUAL(1, sentCount());
  checkVersion("v2");
}

/// Guards against a stream that goes on at any version since nobody knows where it began.
TEST(StreamVersionTest, aStreamOfUnknownOriginIsRefused) {
  declare({"v1", "v1"});
  harness.follow();
  const auto caller = takeUp("r2", "r1");
  std::size_t answered = 0;
  for (int round = 0; round < 10 && caller->status == 0; ++round) {
    for (; answered < harness.link.originQuestions.size(); ++answered) {
      harness.gateway.streamOriginReceived(
          {harness.link.originQuestions[answered].sequence, "svc", ""});
    }
    harness.advanceFollowing(50ms);
  }
  CHECK_EQUAL(503, caller->status);
  CHECK_EQUAL(0, sentCount());
}

TEST(StreamVersionTest, withoutALeaderAStreamThatBeganElsewhereIsRefusedAndMayComeBack) {
  declare({"v1"});
  const auto caller = takeUp("r2", "r1");
  harness.scheduler.advance(1100ms);
  CHECK_EQUAL(503, caller->status);
  CHECK(caller->headers.find("Retry-After") != nullptr);
  CHECK_EQUAL(0, sentCount());
}

TEST(StreamVersionTest, aTakeUpIsRefusedAtOnceIfNoWorkerOfItsVersionIsLeft) {
  declare({"v1", "v2"});
  const auto first = beginStream("r1");
  removeWorker(sent(0).worker.id.value.c_str());
  leave(*first);
  const auto second = takeUp("r2", "r1");
  CHECK_EQUAL(503, second->status);
}

/// Guards against a stream that waits for its model while the leader loads it at another version
/// only.
TEST(StreamVersionTest, theLeaderIsToldForWhichVersionAStreamWaits) {
  declare({"v1", "v2"}, "m");
  harness.follow();
  const auto caller = takeUp("r2", "r1", "m");
  registry::ViewUpdate update;
  update.changed.push_back(GatewayHarness::worker(2));
  update.changed[0].record.softwareVersion = "v2";
  update.changed[0].holdingsKnown = true;
  harness.gateway.viewReceived(update);
  harness.gateway.streamOriginReceived({harness.link.originQuestions.back().sequence, "svc", "v2"});
  harness.scheduler.settle();
  CHECK_EQUAL(0, sentCount());
  CHECK_EQUAL(1, harness.link.versionDemand.size());
  const registry::VersionWait& wait = harness.link.versionDemand.back().waits.at(0);
  STRCMP_EQUAL("m", wait.model.c_str());
  STRCMP_EQUAL("v2", wait.version.c_str());
  leave(*caller);
  harness.advanceFollowing(1s);
  CHECK_EQUAL(0, harness.link.versionDemand.back().waits.size());
}

/// Guards against a guess where the caller does not say which stream it takes up.
TEST(StreamVersionTest, aTakeUpThatNamesNoStreamGoesOnWhereTheLeaderIsCertain) {
  declare({"v1", "v2"});
  harness.follow();
  const auto caller = takeUp("r2", "");
  CHECK_EQUAL(0, sentCount());
  CHECK_EQUAL(0, harness.link.originQuestions.back().stream);
  harness.gateway.streamOriginReceived({harness.link.originQuestions.back().sequence, "svc", "v2"});
  harness.scheduler.settle();
  CHECK_EQUAL(1, sentCount());
  checkVersion("v2");
}

/// Guards against a process that has just started and takes the versions in its view for all there
/// were.
TEST(StreamVersionTest, aProcessThatHasJustStartedGoesOnWithNoStreamByItself) {
  GatewayHarness fresh(GatewayHarness::options(), 0s);
  fresh.declare(2);
  net::HttpRequest made;
  made.method = "POST";
  made.target = "/stream/x";
  made.headers.add("Host", "h");
  made.headers.add("Id", "r2");
  made.headers.add("Deadline-Ms", "5000");
  made.headers.add("Resume", "1");
  made.headers.add("Stream", "r1");
  Caller caller;
  fresh.gateway.onRequest(std::move(made), caller);
  fresh.scheduler.advance(1100ms);
  CHECK_EQUAL(503, caller.status);
  CHECK_EQUAL(0, fresh.launcher.sent.size());
}

TEST(StreamVersionTest, theLogTellsWhatWasDecidedOnATakeUp) {
  declare({"v1", "v1"});
  const auto first = beginStream("r1");
  leave(*first);
  const auto second = takeUp("r2", "r1");
  const auto third = takeUp("r3", "r0");
  harness.scheduler.advance(1100ms);
  const auto lines = harness.log.of(runtime::LogEvent::streamTakenUp);
  CHECK_EQUAL(2, lines.size());
  STRCMP_EQUAL("goes-on", lines[0].fields.at("outcome").c_str());
  STRCMP_EQUAL("v1", lines[0].fields.at("version").c_str());
  STRCMP_EQUAL("refused", lines[1].fields.at("outcome").c_str());
  STRCMP_EQUAL("no-leader", lines[1].fields.at("origin").c_str());
  const auto attempts = harness.log.of(runtime::LogEvent::attemptStarted);
  STRCMP_EQUAL("v1", attempts.back().fields.at("version").c_str());
}

// Guards against texts of two versions: a worker that restarted in place takes what is sent to the
// former one, while this gateway still has the former record.
TEST(StreamVersionTest, aStreamWaitsForANewerViewIfTheWorkersMayHaveRestarted) {
  declare({"v1", "v1"});
  const auto caller = beginStream("s1");
  harness.scheduler.advance(600ms);
  harness.launcher.hasLostConnections = true;
  harness.lose(lastSent());
  harness.scheduler.advance(500ms);
  CHECK_EQUAL(1, sentCount());
  harness.gateway.viewReceived({});
  harness.scheduler.advance(100ms);
  CHECK_EQUAL(2, sentCount());
}

TEST(StreamVersionTest, aStreamGoesOnWithoutAViewWhereAConnectionHasBeenOpenSince) {
  declare({"v1", "v1"});
  const auto caller = beginStream("s1");
  harness.scheduler.advance(600ms);
  harness.lose(lastSent());
  CHECK_EQUAL(2, sentCount());
}

TEST(StreamVersionTest, whereAStreamBeganIsUnknownIfItsWorkerMayHaveRestarted) {
  declare({"v1"});
  harness.scheduler.advance(600ms);
  harness.launcher.hasLostConnections = true;
  const auto first = beginStream("s1");
  harness.gateway.viewReceived({});
  const auto second = takeUp("r2", "s1");
  CHECK_EQUAL(1, sentCount());
  harness.launcher.hasLostConnections = false;
  const auto certain = beginStream("s3");
  const auto next = takeUp("r4", "s3");
  CHECK_EQUAL(3, sentCount());
}
