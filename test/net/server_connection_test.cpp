/// Tests of the time-outs and of the closing of a server's connections, with a raw caller over the
/// loopback interface.

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <functional>
#include <thread>

#include "net/http_server.h"
#include "walnut/runtime/clock.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::net;
using namespace std::chrono_literals;

namespace {

struct FunctionHandler : RequestHandler {
  std::function<void(HttpRequest, ResponseSink&)> handle;
  std::size_t room = 64U << 20U;  ///< For bodies that are being received.
  std::size_t reserved = 0;

  bool reserveBody(std::size_t bytes) override {
    const bool fits = reserved + bytes <= room;
    reserved += fits ? bytes : 0;
    return fits;
  }
  void releaseBody(std::size_t bytes) override { reserved -= bytes; }
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

std::string requestText(const std::string& body) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// Larger than the buffers of both sockets.
const std::size_t kLargeBody = 16U << 20U;

}  // namespace

TEST_GROUP(ServerConnectionTest) {
  event::Dispatcher dispatcher;
  FunctionHandler handler;
  std::unique_ptr<HttpServer> server;
  Poco::Net::StreamSocket caller;
  std::string received;
  bool ended = false;  ///< The server has closed the caller's connection.

  void begin(base::Duration idleTimeout) {
    server = std::move(HttpServer::open(dispatcher, {"127.0.0.1", 0}, {}, handler).value());
    setIdleTimeout(idleTimeout);
    connect();
  }
  void teardown() override {
    caller.close();
    server.reset();
  }
  void connect() {
    caller = Poco::Net::StreamSocket();
    received.clear();
    ended = false;
    caller.connect(Poco::Net::SocketAddress("127.0.0.1", server->endpoint().port));
    caller.setBlocking(false);
  }
  void setIdleTimeout(base::Duration idleTimeout) {
    ServerLimits limits;
    limits.headTimeout = idleTimeout;
    limits.idleTimeout = idleTimeout;
    server->setLimits(limits);
  }
  void runFor(base::Duration duration) {
    const base::TimePoint end = runtime::now() + duration;
    while (runtime::now() < end) {
      dispatcher.runOnce(5ms);
    }
  }
  /// Sends as much as the caller's socket takes.
  /// @return the number of bytes.
  std::size_t send(std::string_view bytes) {
    try {
      const int count = caller.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
      return count < 0 ? 0 : static_cast<std::size_t>(count);
    } catch (const Poco::Exception&) {
      return 0;
    }
  }
  /// Reads at the caller what has come, up to about that many bytes.
  void read(std::size_t limit) {
    static std::array<char, 1U << 16U> buffer;
    const std::size_t end = received.size() + limit;
    try {
      int count = 1;
      while (received.size() < end &&
             (count = caller.receiveBytes(buffer.data(), buffer.size())) > 0) {
        received.append(buffer.data(), static_cast<std::size_t>(count));
      }
      ended = ended || count == 0;
    } catch (const Poco::TimeoutException&) {
      return;
    } catch (const Poco::Exception& exception) {
      ended = ended || exception.code() != EAGAIN;
    }
  }
  void readUntil(const std::function<bool()>& done, std::size_t stepBytes = kLargeBody) {
    const base::TimePoint end = runtime::now() + 5s;
    while (!done() && runtime::now() < end) {
      dispatcher.runOnce(5ms);
      read(stepBytes);
    }
    CHECK_TRUE(done());
  }
};

/// Guards against closing a connection sooner than its answer has told the caller, if the limits
/// change while that answer is under way.
TEST(ServerConnectionTest, aConnectionStaysOpenForTheIdleTimeThatItsAnswerHasTold) {
  ResponseSink* stream = nullptr;
  handler.handle = [&stream](HttpRequest, ResponseSink& sink) {
    if (stream != nullptr) {
      sink.respond(textResponse("second"));
      return;
    }
    stream = &sink;
    HttpResponseHead head;
    head.status = 200;
    sink.beginChunked(head);
  };
  begin(2s);
  send(requestText(""));
  readUntil([this] { return received.find("timeout=2") != std::string::npos; });
  setIdleTimeout(100ms);
  stream->endChunked();
  runFor(400ms);
  send(requestText(""));
  readUntil([this] { return received.find("second") != std::string::npos; });
}

/// Guards against closing a connection that is idle at a change of the limits sooner than the new
/// ones say.
TEST(ServerConnectionTest, anIdleConnectionKeepsToALongerIdleTimeOutThatComes) {
  handler.handle = [](HttpRequest, ResponseSink& sink) { sink.respond(textResponse("answer")); };
  begin(500ms);
  runFor(20ms);
  setIdleTimeout(2s);
  runFor(900ms);
  send(requestText(""));
  readUntil([this] { return received.find("answer") != std::string::npos; });
  readUntil([this] { return ended; });
}

/// Guards against an answer that is cut by the idle time-out while its caller still reads it.
TEST(ServerConnectionTest, theIdleTimeOutDoesNotCutAnAnswerThatIsStillBeingRead) {
  handler.handle = [](HttpRequest, ResponseSink& sink) {
    sink.respond(textResponse(std::string(kLargeBody, 'b')));
  };
  begin(100ms);
  send(requestText(""));
  runFor(400ms);
  readUntil([this] { return ended || received.size() > kLargeBody; });
  CHECK_TRUE(received.size() > kLargeBody);
  readUntil([this] { return ended; });
}

/// Guards against an answer that is cut after a fixed time though its caller reads on, and against
/// one that is kept for ever for a caller that does not.
TEST(ServerConnectionTest, anAnswerThatEndsItsConnectionIsCutOnlyIfNothingOfItIsRead) {
  handler.handle = [](HttpRequest, ResponseSink& sink) {
    sink.respond(textResponse(std::string(kLargeBody, 'b')));
  };
  begin(10s);
  ServerLimits limits;
  limits.writeTimeout = 1s;
  server->setLimits(limits);
  server->announceClose();
  send(requestText(""));
  const std::size_t step = kLargeBody / 16;
  for (std::size_t wanted = step; wanted < kLargeBody; wanted += step) {
    readUntil([this, wanted] { return ended || received.size() >= wanted; }, step);
    runFor(50ms);
  }
  readUntil([this] { return ended; });
  CHECK_TRUE(received.size() > kLargeBody);
  connect();
  send(requestText(""));
  runFor(2500ms);
  CHECK_EQUAL(0, server->connectionCount());
}

/// Guards against an answer that a stopping process cuts while its caller still reads it.
TEST(ServerConnectionTest, closingIdleConnectionsDoesNotCutAnAnswerThatIsStillBeingRead) {
  handler.handle = [](HttpRequest, ResponseSink& sink) {
    sink.respond(textResponse(std::string(kLargeBody, 'b')));
  };
  begin(10s);
  send(requestText(""));
  runFor(50ms);
  server->closeIdle();
  readUntil([this] { return ended || received.size() > kLargeBody; });
  CHECK_TRUE(received.size() > kLargeBody);
  readUntil([this] { return ended; });
}

/// Guards against losing a request that came while the process was busy before it closes its idle
/// connections.
TEST(ServerConnectionTest, aRequestThatIsNotReadYetIsAnsweredBeforeItsConnectionIsClosed) {
  handler.handle = [](HttpRequest, ResponseSink& sink) { sink.respond(textResponse("answer")); };
  begin(10s);
  runFor(50ms);
  send(requestText(""));
  server->closeIdle();
  readUntil([this] { return ended; });
  CHECK_TRUE(received.find("answer") != std::string::npos);
  CHECK_TRUE(received.find("Connection: close") != std::string::npos);
}

/// Guards against losing a request that lies whole in the socket of a process that was suspended.
TEST(ServerConnectionTest, aRequestThatCameInTimeIsReadAfterASuspension) {
  handler.handle = [](HttpRequest request, ResponseSink& sink) {
    sink.respond(textResponse("size " + std::to_string(request.body.size())));
  };
  begin(100ms);
  const std::string text = requestText(std::string(200000, 'b'));
  const std::size_t first = send(std::string_view(text).substr(0, 1000));
  dispatcher.runOnce(5ms);
  dispatcher.runOnce(5ms);
  const std::size_t rest = send(std::string_view(text).substr(first));
  CHECK_EQUAL(text.size(), first + rest);
  std::this_thread::sleep_for(300ms);
  readUntil([this] { return ended || received.find("size 200000") != std::string::npos; });
  CHECK_TRUE(received.find("size 200000") != std::string::npos);
}

/// Guards against connections that stay open for callers that send no whole request.
TEST(ServerConnectionTest, anIncompleteRequestEndsByTheTimeOut) {
  begin(100ms);
  send("POST /x HTTP/1.1\r\nHost: h\r\n");
  readUntil([this] { return ended; });
  CHECK_EQUAL(0, server->connectionCount());
}

/// Guards against a caller that keeps its connection for ever by sending a little now and then.
TEST(ServerConnectionTest, aRequestThatComesInDripsEndsByTheTimeOut) {
  begin(200ms);
  send("POST /x HTTP/1.1\r\nHost: h\r\nX: ");
  const base::TimePoint start = runtime::now();
  while (!ended && runtime::now() < start + 2s) {
    send("x");
    runFor(5ms);
    read(kLargeBody);
  }
  CHECK_TRUE(ended);
  CHECK_TRUE(runtime::now() < start + 1s);
}

/// Guards against a stopping process that closes a connection before its first request has come.
TEST(ServerConnectionTest, aNewConnectionIsLeftTimeForItsFirstRequest) {
  handler.handle = [](HttpRequest, ResponseSink& sink) { sink.respond(textResponse("answer")); };
  begin(10s);
  runFor(50ms);
  server->closeIdle();
  runFor(50ms);
  send(requestText(""));
  readUntil([this] { return ended; });
  CHECK_TRUE(received.find("answer") != std::string::npos);
  connect();
  const base::TimePoint start = runtime::now();
  while (!ended && runtime::now() < start + 5s) {
    server->closeIdle();
    runFor(10ms);
    read(kLargeBody);
  }
  CHECK_TRUE(ended);
}

TEST(ServerConnectionTest, aServerThatStopsListeningRefusesNewConnections) {
  begin(10s);
  server->stopListening();
  CHECK_THROWS(Poco::Exception, connect());
}

/// Guards against uploads that take a process beyond its memory while they are received.
TEST(ServerConnectionTest, aBodyWithoutRoomIsRefusedBeforeItIsReceived) {
  handler.room = 100'000;
  begin(10s);
  send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n");
  readUntil([this] { return received.find("\r\n\r\n") != std::string::npos; });
  CHECK_TRUE(received.find(" 503 ") != std::string::npos);
  CHECK_TRUE(received.find("Retry-After: 1") != std::string::npos);
  readUntil([this] { return ended; });
  CHECK_EQUAL(0, handler.reserved);
}

TEST(ServerConnectionTest, aChunkedBodyTakesRoomAsItGrows) {
  handler.room = 300'000;
  begin(10s);
  send("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "8000\r\n" + std::string(0x8000, 'b') + "\r\n";
  const base::TimePoint start = runtime::now();
  while (received.find(" 503 ") == std::string::npos && runtime::now() < start + 5s) {
    CHECK(handler.reserved <= handler.room);
    send(chunk);
    runFor(5ms);
    read(kLargeBody);
  }
  CHECK_TRUE(received.find(" 503 ") != std::string::npos);
  readUntil([this] { return ended; });
  CHECK_EQUAL(0, handler.reserved);
}

TEST(ServerConnectionTest, theRoomOfABodyIsReleasedWhenItIsHandedOverOrItsCallerLeaves) {
  std::size_t reservedThen = 1;
  handler.handle = [this, &reservedThen](HttpRequest, ResponseSink& sink) {
    reservedThen = handler.reserved;
    sink.respond(textResponse("answer"));
  };
  begin(10s);
  send(requestText(std::string(100'000, 'b')));
  readUntil([this] { return received.find("answer") != std::string::npos; });
  CHECK_EQUAL(0, reservedThen);
  send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\nbegin");
  runFor(50ms);
  CHECK_EQUAL(200'000, handler.reserved);
  caller.close();
  runFor(50ms);
  CHECK_EQUAL(0, handler.reserved);
}

/// Guards against callers that leave a process no descriptor for its workers.
TEST(ServerConnectionTest, atTheLimitAnIdleConnectionMakesRoomOrTheNewOneIsClosed) {
  ResponseSink* running = nullptr;
  handler.handle = [&running](HttpRequest request, ResponseSink& sink) {
    if (request.body == "runs") {
      running = &sink;
    } else {
      sink.respond(textResponse("answer"));
    }
  };
  begin(10s);
  server->setMaxConnections(1);
  send(requestText(""));
  readUntil([this] { return received.find("answer") != std::string::npos; });
  const Poco::Net::StreamSocket idle = caller;
  connect();
  send(requestText("runs"));
  readUntil([&running] { return running != nullptr; });
  CHECK_EQUAL(1, server->connectionCount());
  const Poco::Net::StreamSocket busy = caller;
  connect();
  readUntil([this] { return ended; });
  CHECK_EQUAL(1, server->connectionCount());
}
