/// Requests that end early, at each of their bytes.

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <string>

#include "http/http_server.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::http;

namespace {

constexpr std::size_t kMaxBytes = 1U << 20U;

/// What a handler saw of the requests that it was given.
struct Seen {
  std::atomic<int> requests{0};
  std::atomic<int> wholeBodies{0};
};

std::unique_ptr<HttpServer> startServer(Seen& seen, bool readsBody) {
  auto server = HttpServer::start({}, [&seen, readsBody](Exchange& exchange) {
    ++seen.requests;
    if (readsBody && exchange.readBody(kMaxBytes).has_value()) {
      ++seen.wholeBodies;
    }
    exchange.sendEmpty(200);
  });
  CHECK_TRUE(server.has_value());
  return std::move(server.value());
}

/// Sends the bytes, closes the sending side and waits until the server has closed its own.
void sendAndEnd(const HttpServer& server, const std::string& bytes) {
  Poco::Net::StreamSocket socket(
      Poco::Net::SocketAddress(server.endpoint().address, server.endpoint().port));
  if (!bytes.empty()) {
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  }
  socket.shutdownSend();
  char block[1024];
  while (socket.receiveBytes(block, sizeof(block)) > 0) {
  }
}

}  // namespace

TEST_GROUP(CutRequestTest){};

/// Guards against a request that is carried out without the condition that was cut off its head.
TEST(CutRequestTest, aRequestWithoutItsWholeHeadIsNotCarriedOut) {
  const std::string whole =
      "DELETE /v1/resources/models/m HTTP/1.1\r\nHost: h\r\nIf-Match: 17\r\n\r\n";
  Seen seen;
  const std::unique_ptr<HttpServer> server = startServer(seen, false);
  for (std::size_t bytes = 0; bytes < whole.size(); ++bytes) {
    sendAndEnd(*server, whole.substr(0, bytes));
    const std::string text = "carried out after byte " + std::to_string(bytes);
    CHECK_EQUAL_TEXT(0, seen.requests, text.c_str());
  }
  sendAndEnd(*server, whole);
  CHECK_EQUAL(1, seen.requests);
}

TEST(CutRequestTest, noPartOfABodyIsTakenForWhole) {
  const std::string head = "PUT /v1/resources/models/m HTTP/1.1\r\nHost: h\r\n";
  for (const std::string& rest :
       {std::string("Content-Length: 12\r\n\r\ntwelve bytes"),
        std::string("Transfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n")}) {
    Seen seen;
    const std::unique_ptr<HttpServer> server = startServer(seen, true);
    for (std::size_t bytes = rest.find("\r\n\r\n") + 4; bytes < rest.size(); ++bytes) {
      sendAndEnd(*server, head + rest.substr(0, bytes));
      const std::string text = rest.substr(0, bytes) + " was taken for whole";
      CHECK_EQUAL_TEXT(0, seen.wholeBodies, text.c_str());
    }
    sendAndEnd(*server, head + rest);
    CHECK_EQUAL(1, seen.wholeBodies);
  }
}
