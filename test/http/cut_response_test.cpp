/// Responses that end early, at each of their bytes.

#include <chrono>

#include "daemon/raw_server.h"
#include "http/http_client.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::http;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxBytes = 1U << 20U;

/// @return what a client gets that is sent these bytes and then the end of the connection.
base::Result<Reply> exchangeWith(const std::string& bytes, bool keepAlive = true) {
  daemon::RawServer server([&bytes](daemon::RawConnection& connection) {
    if (connection.readRequest()) {
      connection.write(bytes);
    }
  });
  HttpClientConnection connection;
  CHECK_TRUE(connection.connect(server.endpoint(), 5s).has_value());
  CHECK_TRUE(connection.setTimeout(5s).has_value());
  ClientRequest request;
  request.path = "/v1/report";
  return connection.exchange(request, keepAlive, kMaxBytes);
}

/// Cuts the response after each byte and checks that none of the parts is taken for a response.
void checkCuts(const std::string& whole, const std::string& body) {
  for (std::size_t bytes = 0; bytes < whole.size(); ++bytes) {
    const auto reply = exchangeWith(whole.substr(0, bytes));
    const std::string text = "taken for whole after byte " + std::to_string(bytes);
    CHECK_TRUE_TEXT(reply.has_error(), text.c_str());
    CHECK_TRUE(reply.error().code == base::ErrorCode::connectionLost ||
               reply.error().code == base::ErrorCode::malformedInput);
  }
  const auto reply = exchangeWith(whole);
  CHECK_TRUE(reply.has_value());
  CHECK_EQUAL(200, reply.value().status);
  STRCMP_EQUAL(body.c_str(), reply.value().body.c_str());
}

}  // namespace

TEST_GROUP(CutResponseTest){};

/// Guards against a response that ends within its head or its body and is read as a 200 with an
/// empty or short body.
TEST(CutResponseTest, withALengthNoPartIsTakenForWhole) {
  checkCuts(
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 20\r\n\r\n"
      "twenty bytes of text",
      "twenty bytes of text");
}

TEST(CutResponseTest, inChunksNoPartIsTakenForWhole) {
  checkCuts(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n6\r\nsecond\r\n0\r\n\r\n",
      "firstsecond");
}

TEST(CutResponseTest, afterAnInterimResponseNoPartIsTakenForWhole) {
  checkCuts("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok");
}

/// Nothing but the end of the connection ends such a body, so only its head can be seen to be cut.
TEST(CutResponseTest, withoutALengthNoPartOfTheHeadIsTakenForWhole) {
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
  for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
    CHECK_TRUE(exchangeWith(head.substr(0, bytes)).has_error());
  }
  const auto reply = exchangeWith(head + "text");
  STRCMP_EQUAL("text", reply.value().body.c_str());
}

TEST(CutResponseTest, bytesAfterAResponseEndTheUseOfItsConnection) {
  const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  daemon::RawServer server([&whole](daemon::RawConnection& connection) {
    if (connection.readRequest()) {
      connection.write(whole + whole);
      connection.awaitClose();
    }
  });
  HttpClientConnection connection;
  CHECK_TRUE(connection.connect(server.endpoint(), 5s).has_value());
  CHECK_TRUE(connection.exchange({}, true, kMaxBytes).has_value());
  CHECK_FALSE(connection.reusable());
}
