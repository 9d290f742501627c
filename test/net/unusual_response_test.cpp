/// Tests of responses that never end, and of those that only the end of their connection ends.

#include <optional>

#include "net/http_client.h"
#include "net/raw_server.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::net;
using namespace walnut::net::testing;
using namespace std::chrono_literals;

namespace {

constexpr int kMaxIterations = 5000;

/// Collects a response as a proxy does, and takes only those of its own request.
struct Collector : ResponseCallbacks {
  bool onResponseHead(MessageHead head) override {
    return head.headers.find("Id") == nullptr || *head.headers.find("Id") == "own";
  }
  void onResponseBody(std::string_view bytes) override { body.append(bytes); }
  void onResponseComplete() override { complete = true; }
  void onResponseFailure(const base::Error& failure, bool) override { error = failure; }
  bool isOver() const { return complete || error.has_value(); }

  std::string body;
  bool complete = false;
  std::optional<base::Error> error;
};

}  // namespace

TEST_GROUP(UnusualResponseTest) {
  event::Dispatcher dispatcher;
  RawServer server{dispatcher};
  Collector collector;
  std::unique_ptr<ClientConnection> connection;

  void teardown() override { connection.reset(); }

  /// Sends a request and runs until its response is over.
  void call() {
    connection =
        std::make_unique<ClientConnection>(dispatcher, server.endpoint(), ClientTimeouts{});
    HttpRequest request;
    request.method = "GET";
    request.target = "/x";
    request.headers.add("Host", "h");
    connection->send(request, collector);
    for (int count = 0; count < kMaxIterations && !collector.isOver(); ++count) {
      dispatcher.runOnce(10ms);
    }
    CHECK_TRUE(collector.isOver());
  }
  void checkFailed(base::ErrorCode code) {
    CHECK_TRUE(collector.error.has_value());
    CHECK(collector.error->code == code);
    CHECK_FALSE(connection->reusable());
  }
};

// Guards against a server that holds a request with interim responses that follow each other.
TEST(UnusualResponseTest, interimResponsesWithoutEndFailTheRequest) {
  server.bytes = "HTTP/1.1 102 Processing\r\n\r\n";
  server.endless = true;
  call();
  checkFailed(base::ErrorCode::malformedInput);
}

TEST(UnusualResponseTest, afterAFewInterimResponsesTheRequestIsAnswered) {
  server.bytes =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  call();
  CHECK_TRUE(collector.complete);
  CHECK_EQUAL(std::string("ok"), collector.body);
}

// Guards against a late response to another request that is read for as long as it lasts.
TEST(UnusualResponseTest, aResponseToAnotherRequestWithoutEndFailsTheRequest) {
  server.bytes = "HTTP/1.1 200 OK\r\nId: other\r\n\r\n" + std::string(60000, 'x');
  server.endless = true;
  call();
  checkFailed(base::ErrorCode::inputTooLarge);
}

TEST(UnusualResponseTest, aHeadWithoutEndFailsTheRequest) {
  server.bytes = "HTTP/1.1 200 OK\r\nField: " + std::string(60000, 'x');
  server.endless = true;
  call();
  checkFailed(base::ErrorCode::inputTooLarge);
}

TEST(UnusualResponseTest, bytesWithoutEndThatAreNoResponseFailTheRequest) {
  server.bytes = std::string(60000, 'x');
  server.endless = true;
  call();
  checkFailed(base::ErrorCode::malformedInput);
}
