/// Tests of what a gateway measures and reports of the speed of workers.

#include "gateway/timing_recorder.h"

#include "gateway/gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

TEST_GROUP(TimingRecorderTest) {
  base::TimePoint now = base::TimePoint(100s);
  TimingRecorder recorder{now};
};

TEST(TimingRecorderTest, streamsAreSummedByWorker) {
  CHECK_TRUE(recorder.streamBegan({"w1"}, 1000, now, now + 100ms, true));
  CHECK_TRUE(recorder.streamBegan({"w1"}, 500, now, now + 80ms, true));
  CHECK_FALSE(recorder.streamBegan({"w1"}, 700, now, now + 900ms, false));
  CHECK_FALSE(recorder.streamBegan({"w2"}, 0, now, now + 900ms, true));
  recorder.streamPaused({"w1"});
  const auto report = recorder.takeReport(now + 1s);
  CHECK_EQUAL(2, report->samples.size());
  CHECK_EQUAL(2, report->samples[0].streams);
  CHECK_EQUAL(1500, report->samples[0].promptTokens);
  CHECK(report->samples[0].firstEvents == 180ms);
  CHECK_EQUAL(1, report->samples[0].pauses);
  CHECK_EQUAL(700, report->samples[1].promptTokens);
  CHECK(report->samples[1].firstEvents == 0ms);
  CHECK(report->span == 1s);
  CHECK_FALSE(recorder.takeReport(now + 2s).has_value());
}

TEST(TimingRecorderTest, pausesAreKeptUntilAStreamBegins) {
  recorder.streamPaused({"w1"});
  CHECK_FALSE(recorder.takeReport(now + 500ms).has_value());
  recorder.streamBegan({"w1"}, 1000, now + 600ms, now + 700ms, true);
  CHECK_EQUAL(1, recorder.takeReport(now + 1s)->samples[0].pauses);
}

/// After a suspension, events that had come meanwhile are read late: their times include it.
TEST(TimingRecorderTest, timesThatIncludeASuspensionDoNotCount) {
  now += 3s;
  CHECK_FALSE(recorder.takeReport(now).has_value());
  CHECK_FALSE(recorder.streamBegan({"w1"}, 1000, now - 2s, now, true));
  CHECK_TRUE(recorder.streamBegan({"w1"}, 1000, now, now + 100ms, true));
}

TEST_GROUP(TimingReportTest) {
  GatewayHarness harness;

  /// Declares a service whose models take 10 s to load, or one of the same kind without models.
  void declare(bool slow) {
    harness.declare(1);
    auto document = std::make_shared<catalog::Document>(*harness.gateway.document());
    ++document->version;
    document->services.front().engine.emplace();
    catalog::ModelSpec model;
    model.name = "m";
    model.storeLoadTime = slow ? 20s : 1s;
    document->services.front().engine->models.push_back(model);
    harness.gateway.documentReceived(std::move(document));
    registry::ViewUpdate update;
    update.changed = {GatewayHarness::worker(1)};
    update.changed.front().models = {{"m", 1, {}}};
    update.changed.front().holdingsKnown = true;
    harness.gateway.viewReceived(update);
    harness.follow();
    harness.scheduler.settle();
  }
  /// Runs one stream with the first event after 120 ms.
  void runStream() {
    net::HttpRequest made;
    made.method = "POST";
    made.target = "/stream/x";
    for (const auto& [name, value] : std::map<std::string, std::string>{{"Host", "h"},
                                                                        {"Id", "r1"},
                                                                        {"Deadline-Ms", "5000"},
                                                                        {"Model", "m"},
                                                                        {"Tokens", "1460"}}) {
      made.headers.add(name, value);
    }
    Caller caller;
    harness.gateway.onRequest(std::move(made), caller);
    harness.scheduler.settle();
    CHECK_EQUAL(1, harness.launcher.sent.size());
    const SentRequest& sent = *harness.launcher.sent.back();
    harness.scheduler.advance(120ms);
    harness.head(sent, 200, "r1", true);
    sent.callbacks->onResponseBody("id: 1\ndata: x\n\n");
    sent.callbacks->onResponseComplete();
    harness.scheduler.settle();
    harness.advanceFollowing(600ms);
  }
};

TEST(TimingReportTest, theLeaderIsToldTheTimeOfAStream) {
  declare(true);
  runStream();
  CHECK_EQUAL(1, harness.link.timings.size());
  const registry::WorkerTimingSample& sample = harness.link.timings.front().samples.front();
  STRCMP_EQUAL("w1", sample.worker.value.c_str());
  CHECK_EQUAL(1460, sample.promptTokens);
  CHECK(sample.firstEvents == 120ms);
}

TEST(TimingReportTest, nothingIsReportedWhereReplicasAreAddedFast) {
  declare(false);
  runStream();
  CHECK_TRUE(harness.link.timings.empty());
}

/// A leader of an older build can't read the message.
TEST(TimingReportTest, nothingIsReportedToALeaderOfALowerLevel) {
  harness.featureLevel = registry::feature::kWorkerLimits;
  declare(true);
  runStream();
  CHECK_TRUE(harness.link.timings.empty());
}
