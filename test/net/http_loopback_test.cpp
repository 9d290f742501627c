/// Tests of the HTTP server and client together, on one event loop over the loopback interface.

#include <functional>
#include <optional>

#include "net/http_client.h"
#include "net/http_server.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::net;
using namespace std::chrono_literals;

namespace {

constexpr int kMaxIterations = 5000;

struct FunctionHandler : RequestHandler {
  std::function<void(HttpRequest, ResponseSink&)> handle;
  void onRequest(HttpRequest request, ResponseSink& sink) override {
    handle(std::move(request), sink);
  }
};

HttpResponse textResponse(std::string body) {
  HttpResponse response;
  response.head.status = 200;
  response.body = std::move(body);
  return response;
}

HttpRequest postRequest(std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/x";
  request.headers.add("Host", "loopback");
  request.headers.add("Content-Length", std::to_string(body.size()));
  request.body = std::move(body);
  return request;
}

}  // namespace

TEST_GROUP(HttpLoopbackTest) {
  event::Dispatcher dispatcher;
  FunctionHandler handler;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client;

  void setup() override {
    server = std::move(HttpServer::open(dispatcher, {"127.0.0.1", 0}, {}, handler).value());
    client = std::make_unique<HttpClient>(dispatcher, ClientPoolOptions{});
  }
  void teardown() override {
    client.reset();
    server.reset();
  }

  void runUntil(const std::function<bool()>& done) {
    for (int iteration = 0; iteration < kMaxIterations && !done(); ++iteration) {
      dispatcher.runOnce(10ms);
    }
    CHECK_TRUE(done());
  }

  CallOutcome call(const HttpRequest& request) {
    std::optional<CallOutcome> outcome;
    client->call("server", server->endpoint(), request, 10s,
                 [&outcome](CallOutcome result) { outcome = std::move(result); });
    runUntil([&outcome] { return outcome.has_value(); });
    return std::move(*outcome);
  }
};

TEST(HttpLoopbackTest, oneConnectionCarriesManyRequests) {
  handler.handle = [](HttpRequest request, ResponseSink& sink) {
    sink.respond(textResponse(request.body + "!"));
  };
  for (int round = 0; round < 20; ++round) {
    const CallOutcome outcome = call(postRequest("body" + std::to_string(round)));
    CHECK_TRUE(outcome.response.has_value());
    CHECK_EQUAL("body" + std::to_string(round) + "!", outcome.response.value().body);
  }
  CHECK_EQUAL(1, server->connectionCount());
}

TEST(HttpLoopbackTest, aLongBodyIsTransferredCompletely) {
  const std::string body(3U << 20U, 'b');
  handler.handle = [](HttpRequest request, ResponseSink& sink) {
    sink.respond(textResponse(std::move(request.body)));
  };
  CHECK_TRUE(call(postRequest(body)).response.value().body == body);
}

TEST(HttpLoopbackTest, aBodyOverTheLimitIsRefused) {
  ServerLimits limits;
  limits.maxBodyBytes = 10;
  server->setLimits(limits);
  handler.handle = [](HttpRequest, ResponseSink& sink) { sink.respond(textResponse("")); };
  CHECK_EQUAL(413, call(postRequest(std::string(100000, 'x'))).response.value().head.status);
}

TEST(HttpLoopbackTest, chunksArriveAsOneBody) {
  handler.handle = [](HttpRequest, ResponseSink& sink) {
    HttpResponseHead head;
    head.status = 200;
    sink.beginChunked(head);
    sink.writeChunk("ab");
    sink.writeChunk("cd");
    sink.endChunked();
  };
  CHECK_EQUAL(std::string("abcd"), call(postRequest("")).response.value().body);
}

TEST(HttpLoopbackTest, anAbortedResponseFails) {
  handler.handle = [](HttpRequest, ResponseSink& sink) {
    HttpResponseHead head;
    head.status = 200;
    sink.beginChunked(head);
    sink.writeChunk("ab");
    sink.abort();
  };
  const CallOutcome outcome = call(postRequest(""));
  CHECK_TRUE(outcome.response.has_error());
  CHECK_TRUE(outcome.sent);
}

TEST(HttpLoopbackTest, theServerNoticesThatACallerDisconnects) {
  bool gone = false;
  handler.handle = [&gone](HttpRequest, ResponseSink& sink) {
    sink.setGoneCallback([&gone] { gone = true; });
  };
  client->call("server", server->endpoint(), postRequest(""), 1ms, [](const CallOutcome&) {});
  runUntil([&gone] { return gone; });
}

TEST(HttpLoopbackTest, aRefusedConnectionReportsThatNothingWasSent) {
  const base::Endpoint endpoint = server->endpoint();
  server.reset();
  std::optional<CallOutcome> outcome;
  client->call("server", endpoint, postRequest(""), 10s,
               [&outcome](CallOutcome result) { outcome = std::move(result); });
  runUntil([&outcome] { return outcome.has_value(); });
  CHECK_TRUE(outcome->response.has_error());
  CHECK_FALSE(outcome->sent);
}

TEST(HttpLoopbackTest, afterAnnounceCloseResponsesAskToCloseTheConnection) {
  handler.handle = [](HttpRequest, ResponseSink& sink) { sink.respond(textResponse("")); };
  server->announceClose();
  const CallOutcome outcome = call(postRequest(""));
  CHECK_EQUAL(std::string("close"), *outcome.response.value().head.headers.find("Connection"));
  runUntil([this] { return server->connectionCount() == 0; });
}
