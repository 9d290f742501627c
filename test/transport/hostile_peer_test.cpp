
#include <vector>

#include "harness.h"
#include "walnut/base/random.h"
#include "walnut/protocol/codec.h"

using namespace walnut;
using namespace walnut::transport;
using base::ErrorCode;

namespace {

std::string withLength(std::string frame, std::uint32_t length) {
  return frame.replace(4, sizeof(length), reinterpret_cast<const char*>(&length), sizeof(length));
}

std::string helloWithVersion(std::uint32_t version) {
  protocol::Hello hello;
  hello.protocolVersion = version;
  return encodeFrame(hello).value();
}

std::string flipped(std::string bytes, std::size_t position) {
  bytes[position] = static_cast<char>(bytes[position] ^ 0x20);
  return bytes;
}

/// Checks that the transport still serves a well-behaved peer.
void checkStillServes(TestTransport& server) {
  RawPeer peer(server.endpoint());
  peer.write(helloFrame() + probeFrame(99));
  const auto connection = server.expect<Opened>().connection;
  CHECK_TRUE(server.expect<Received>().connection == connection);
  peer.finishWriting();
  CHECK_TRUE(server.expect<Closed>().connection == connection);
}

}  // namespace

/// Tests with peers that violate the protocol, over real sockets.
TEST_GROUP(HostilePeerTest){};

TEST(HostilePeerTest, aBadGreetingEndsTheConnectionUnopened) {
  const std::vector<std::string> greetings = {
      "",
      "GET / HTTP/1.1\r\n\r\n",
      "W",
      helloFrame().substr(0, 10),
      helloFrame().substr(0, helloFrame().size() - 1),
      withLength(helloFrame(), protocol::kMaxFrameBytes + 1),
      withLength(helloFrame(), 0xffffffffU),
      withLength(helloFrame(), protocol::kMaxFrameBytes),
      withLength(helloFrame(), 0),
      probeFrame(1),
      helloWithVersion(protocol::kProtocolVersion + 1),
      helloWithVersion(0),
  };
  TestTransport server;
  for (const std::string& greeting : greetings) {
    RawPeer peer(server.endpoint());
    peer.write(greeting);
    peer.finishWriting();
    peer.readToEnd();
    CHECK_TRUE(server.hasNoEvents());
  }
  checkStillServes(server);
}

TEST(HostilePeerTest, anOpenConnectionEndsWithTheTypedError) {
  struct Fault {
    std::string bytes;
    ErrorCode code;
  };
  const std::vector<Fault> faults = {
      {"garbage", ErrorCode::malformedInput},
      {helloFrame(), ErrorCode::malformedInput},
      {flipped(probeFrame(1), kFrameHeaderBytes), ErrorCode::malformedInput},
      {withLength(probeFrame(1), protocol::kMaxFrameBytes + 1), ErrorCode::inputTooLarge},
      {probeFrame(1).substr(0, 20), ErrorCode::connectionLost},
      {"", ErrorCode::connectionLost},
  };
  TestTransport server;
  for (const Fault& fault : faults) {
    RawPeer peer(server.endpoint());
    peer.write(helloFrame() + fault.bytes);
    peer.finishWriting();
    const auto connection = server.expect<Opened>().connection;
    const auto closed = server.expect<Closed>();
    CHECK_TRUE(closed.connection == connection);
    CHECK_TRUE(closed.error.code == fault.code);
    peer.readToEnd();
  }
  checkStillServes(server);
}

TEST(HostilePeerTest, aChangedByteNeverBecomesAMessage) {
  const std::string bytes = helloFrame() + probeFrame(1);
  TestTransport server;
  for (std::size_t position = helloFrame().size(); position < bytes.size(); ++position) {
    RawPeer peer(server.endpoint());
    peer.write(flipped(bytes, position));
    peer.finishWriting();
    server.expect<Opened>();
    server.expect<Closed>();
    peer.readToEnd();
  }
  checkStillServes(server);
}

TEST(HostilePeerTest, randomBytesNeverBecomeAMessage) {
  TestTransport server;
  base::Random random(20261202);
  for (int round = 0; round < 200; ++round) {
    std::string bytes = random.chance(0.5) ? "WLN1" : "";
    const std::uint64_t length = random.uniform(0, 300);
    for (std::uint64_t index = 0; index < length; ++index) {
      bytes += static_cast<char>(random.uniform(0, 255));
    }
    RawPeer peer(server.endpoint());
    peer.write(bytes);
    peer.finishWriting();
    peer.readToEnd();
    CHECK_TRUE(server.hasNoEvents());
  }
  checkStillServes(server);
}

TEST(HostilePeerTest, aSlowWriterIsServedByteByByte) {
  TestTransport server;
  RawPeer peer(server.endpoint());
  for (const char byte : helloFrame() + probeFrame(5)) {
    peer.write(std::string(1, byte));
  }
  server.expect<Opened>();
  const auto received = server.expect<Received>();
  LONGS_EQUAL(5, std::get<protocol::ProbeRequest>(received.message).sequence);
}

TEST(HostilePeerTest, aPeerWithoutHelloIsClosed) {
  TransportOptions options;
  options.connectTimeoutMillis = 20;
  TestTransport server(options);
  RawPeer peer(server.endpoint());
  peer.readToEnd();
  CHECK_TRUE(server.hasNoEvents());
}

TEST(HostilePeerTest, anIdleConnectionIsClosed) {
  TransportOptions options;
  options.idleCloseMillis = 20;
  TestTransport server(options);
  RawPeer peer(server.endpoint());
  peer.write(helloFrame());
  server.expect<Opened>();
  CHECK_TRUE(server.expect<Closed>().error.code == ErrorCode::timedOut);
  peer.readToEnd();
}

TEST(HostilePeerTest, aPeerThatNeverReadsIsClosedAtTheQueueLimit) {
  TransportOptions options;
  options.maxQueuedBytes = 1U << 20U;
  TestTransport server(options);
  RawPeer peer(server.endpoint());
  peer.write(helloFrame());
  const auto connection = server.expect<Opened>().connection;
  consensus::Message large;
  large.body = consensus::SnapshotChunk{1, 1, 1, 0, 0, 0, std::string(512U << 10U, 'x')};
  // The total size exceeds the kernel's buffers and the queue together.
  for (int count = 0; count < 64; ++count) {
    server->send(connection, large);
  }
  const auto closed = server.expect<Closed>();
  CHECK_TRUE(closed.error.code == ErrorCode::inputTooLarge);
  STRCMP_EQUAL("outputQueue", closed.error.field.c_str());
  checkStillServes(server);
}
