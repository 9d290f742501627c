/// Answers that have neither a length nor chunks and end with their connection, over loopback: a
/// gateway with a worker that the test scripts.

#include "event/dispatcher.h"
#include "gateway/gateway_harness.h"
#include "gateway/pooled_launcher.h"
#include "net/raw_server.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;
using net::testing::RawServer;

namespace {

constexpr int kMaxIterations = 2000;
const char* const kHead = "HTTP/1.1 200 OK\r\nId: r1\r\nSealed: 1\r\n\r\n";

}  // namespace

TEST_GROUP(UnframedAnswerTest) {
  event::Dispatcher dispatcher;
  RawServer worker{dispatcher};
  TestDialect dialect;
  RecordingRegistryLink link;
  RecordingLog log;
  runtime::NullMetricsSink metrics;
  PooledLauncher launcher{dispatcher, {}};
  RegistrySession session{GatewayHarness::sessionOptions(), dispatcher, link, log, 1};
  Gateway gateway{GatewayHarness::options(), dispatcher, dialect, launcher, session, log, metrics};
  Caller caller;

  void setup() override {
    registry::ViewUpdate update;
    update.complete = true;
    update.documentVersion = 1;
    update.changed.push_back(GatewayHarness::worker(1));
    update.changed.back().record.endpoint = worker.endpoint();
    auto document = std::make_shared<catalog::Document>();
    document->version = 1;
    document->services = {{"svc", "", 0, std::nullopt}};
    document->routes = {GatewayHarness::route("once", catalog::RouteKind::nonIdempotent, false, 1),
                        GatewayHarness::route("bound", catalog::RouteKind::streaming, false, 1)};
    gateway.viewReceived(update);
    gateway.documentReceived(std::move(document));
  }
  /// Sends a request, which the worker answers with these bytes.
  void call(const char* route, const std::string& bytes, RawServer::Then then) {
    worker.bytes = bytes;
    worker.then = then;
    net::HttpRequest request;
    request.method = "POST";
    request.target = std::string("/") + route + "/x";
    request.headers.add("Host", "h");
    request.headers.add("Id", "r1");
    request.headers.add("Deadline-Ms", "5000");
    gateway.onRequest(std::move(request), caller);
    const auto isOver = [this] { return caller.complete || caller.aborted; };
    for (int count = 0; count < kMaxIterations && !isOver(); ++count) {
      dispatcher.runOnce(10ms);
    }
    CHECK_TRUE(isOver());
  }
};

TEST(UnframedAnswerTest, anAnswerIsCompleteWhenItsConnectionEnds) {
  call("once", std::string(kHead) + "body", RawServer::Then::close);
  CHECK_EQUAL(200, caller.status);
  CHECK_EQUAL(std::string("body"), caller.body);
}

TEST(UnframedAnswerTest, anAnswerWhoseConnectionIsResetIsNotComplete) {
  call("once", std::string(kHead) + "body", RawServer::Then::reset);
  CHECK_EQUAL(502, caller.status);
}

TEST(UnframedAnswerTest, aStreamIsCompleteWhenItsConnectionEndsAfterAnEvent) {
  call("bound", std::string(kHead) + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
       RawServer::Then::close);
  CHECK_TRUE(caller.complete);
  CHECK_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), caller.body);
}

TEST(UnframedAnswerTest, aStreamWhoseConnectionEndsInsideAnEventIsBrokenOff) {
  call("bound", std::string(kHead) + "id: 1\ndata: a\n\nid: 2\ndata:", RawServer::Then::close);
  CHECK_TRUE(caller.aborted);
  CHECK_FALSE(caller.complete);
  CHECK_EQUAL(std::string("id: 1\ndata: a\n\n"), caller.body);
}

TEST(UnframedAnswerTest, aStreamWhoseConnectionIsResetAfterAnEventIsBrokenOff) {
  call("bound", std::string(kHead) + "id: 1\ndata: a\n\n", RawServer::Then::reset);
  CHECK_FALSE(caller.complete);
}
