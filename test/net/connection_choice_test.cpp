/// Tests of which connections requests use, over the loopback interface: servers may send an answer
/// once more, in the place of the next one.

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

constexpr int kMaxIterations = 2000;
const char* const kServer = "server";

struct Echo : RequestHandler {
  void onRequest(HttpRequest request, ResponseSink& sink) override {
    HttpResponse response;
    response.head.status = 200;
    response.body = std::move(request.body);
    sink.respond(std::move(response));
  }
};

struct Completion : ResponseCallbacks {
  bool onResponseHead(MessageHead) override { return true; }
  void onResponseBody(std::string_view) override {}
  void onResponseComplete() override { complete = true; }
  void onResponseFailure(const base::Error&, bool) override {}
  bool complete = false;
};

HttpRequest request() {
  HttpRequest made;
  made.method = "GET";
  made.target = "/x";
  made.headers.add("Host", "loopback");
  return made;
}

}  // namespace

TEST_GROUP(ConnectionChoiceTest) {
  event::Dispatcher dispatcher;
  Echo handler;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<ClientPool> pool;

  void setup() override {
    server = std::move(HttpServer::open(dispatcher, {"127.0.0.1", 0}, {}, handler).value());
    pool = std::make_unique<ClientPool>(dispatcher, ClientPoolOptions{});
  }
  void teardown() override {
    pool.reset();
    server.reset();
  }

  void runUntil(const std::function<bool()>& done) {
    for (int iteration = 0; iteration < kMaxIterations && !done(); ++iteration) {
      dispatcher.runOnce(10ms);
    }
    CHECK_TRUE(done());
  }
  /// Sends a request and returns its connection to the pool.
  /// @return the number of the connection.
  std::uint64_t send(const ConnectionChoice& choice) {
    Completion completion;
    auto connection = pool->acquire(kServer, server->endpoint(), choice);
    connection->send(request(), completion);
    const std::uint64_t number = connection->number();
    runUntil([&completion] { return completion.complete; });
    pool->release(kServer, std::move(connection));
    return number;
  }
};

TEST(ConnectionChoiceTest, anExcludedConnectionStaysIdle) {
  const std::uint64_t first = send({});
  const std::uint64_t second = send({{first}, false});
  CHECK_TRUE(first != second);
  const std::uint64_t third = send({{first, second}, false});
  CHECK_TRUE(third != first && third != second);
  CHECK_EQUAL(second, send({{first, third}, false}));
}

TEST(ConnectionChoiceTest, aNewConnectionIsOpenedBesideIdleOnes) {
  const std::uint64_t first = send({});
  CHECK_TRUE(first != send({{}, true}));
  CHECK_TRUE(pool->hasIdle(kServer));
}

TEST(ConnectionChoiceTest, aConnectionTellsWhetherItCarriedOthers) {
  Completion completion;
  auto connection = pool->acquire(kServer, server->endpoint());
  connection->send(request(), completion);
  CHECK_FALSE(connection->carriedOthers());
  runUntil([&completion] { return completion.complete; });
  connection->send(request(), completion);
  CHECK_TRUE(connection->carriedOthers());
  connection->cancel();
}

// Guards against one more answer to an earlier order that is taken for that to the next one.
TEST(ConnectionChoiceTest, aCallWithAConnectionOfItsOwnNeitherReusesNorLeavesOne) {
  HttpClient client(dispatcher, {});
  for (int count = 0; count < 3; ++count) {
    std::optional<CallOutcome> outcome;
    client.call(
        kServer, server->endpoint(), request(), 10s,
        [&outcome](CallOutcome result) { outcome = std::move(result); }, ConnectionUse::own);
    runUntil([&outcome] { return outcome.has_value(); });
    CHECK_TRUE(outcome->response.has_value());
    runUntil([this] { return server->connectionCount() == 0; });
  }
}
