#include "walnut/transport/transport.h"

#include <Poco/Net/ServerSocket.h>

#include <chrono>
#include <map>
#include <set>
#include <thread>
#include <vector>

#include "harness.h"

using namespace walnut;
using namespace walnut::transport;
using base::ErrorCode;

namespace {

TransportOptions clientOptions() {
  TransportOptions options;
  options.listen = false;
  options.hello.id = 7;
  return options;
}

/// @return a loopback port on which no process listens.
std::uint16_t closedPort() {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
  return socket.address().port();
}

}  // namespace

TEST_GROUP(TransportTest){};

TEST(TransportTest, bothSidesOpenWithTheOthersHello) {
  TestTransport server;
  TestTransport client(clientOptions());
  client->open(server.endpoint());
  const auto opened = client.expect<Opened>();
  CHECK_TRUE(opened.remote == server.endpoint());
  CHECK_FALSE(opened.accepted);
  const auto accepted = server.expect<Opened>();
  CHECK_TRUE(accepted.accepted);
  LONGS_EQUAL(7, accepted.hello.id);
}

TEST(TransportTest, messagesOfEachThreadArriveInOrder) {
  constexpr std::uint64_t kThreads = 4;
  constexpr std::uint64_t kMessages = 500;
  TestTransport server;
  TestTransport client(clientOptions());
  client->open(server.endpoint());
  const auto connection = client.expect<Opened>().connection;
  std::vector<std::thread> threads;
  for (std::uint64_t thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&client, connection, thread] {
      for (std::uint64_t index = 0; index < kMessages; ++index) {
        client->send(connection, protocol::ProbeRequest{thread * kMessages + index});
      }
    });
  }
  server.expect<Opened>();
  std::map<std::uint64_t, std::uint64_t> nextOfThread;
  for (std::uint64_t count = 0; count < kThreads * kMessages; ++count) {
    const auto received = server.expect<Received>();
    const auto sequence = std::get<protocol::ProbeRequest>(received.message).sequence;
    LONGS_EQUAL(nextOfThread[sequence / kMessages]++, sequence % kMessages);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  // A message is handed over before the bytes of its read are counted.
  const auto countersDiffer = [&client, &server] {
    return client->counters().bytesSent != server->counters().bytesReceived;
  };
  for (int round = 0; round < 500 && countersDiffer(); ++round) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  const TrafficCounters sent = client->counters();
  const TrafficCounters received = server->counters();
  LONGS_EQUAL(kThreads * kMessages + 1, sent.messagesSent);
  LONGS_EQUAL(kThreads * kMessages + 1, received.messagesReceived);
  LONGS_EQUAL(sent.bytesSent, received.bytesReceived);
}

TEST(TransportTest, largeMessagesPassInBothDirections) {
  TestTransport server;
  TestTransport client(clientOptions());
  client->open(server.endpoint());
  const auto atClient = client.expect<Opened>().connection;
  const auto atServer = server.expect<Opened>().connection;
  consensus::Message large;
  large.body = consensus::SnapshotChunk{1, 1, 1, 0, 0, 0, std::string(3U << 20U, 'x')};
  client->send(atClient, large);
  server->send(atServer, large);
  for (TestTransport* side : {&client, &server}) {
    const auto received = side->expect<Received>();
    const auto& message = std::get<consensus::Message>(received.message);
    LONGS_EQUAL(3U << 20U, std::get<consensus::SnapshotChunk>(message.body).data.size());
  }
}

TEST(TransportTest, fourHundredConnectionsAreServed) {
  constexpr std::uint64_t kConnections = 400;
  TestTransport server;
  TestTransport client(clientOptions());
  for (std::uint64_t count = 0; count < kConnections; ++count) {
    client->open(server.endpoint());
  }
  for (std::uint64_t count = 0; count < kConnections; ++count) {
    client->send(client.expect<Opened>().connection, protocol::ProbeRequest{count});
  }
  std::set<protocol::ConnectionId> opened;
  std::set<std::uint64_t> sequences;
  while (sequences.size() < kConnections) {
    // The order of events of different connections is undefined.
    const Event event = server.expectAny();
    if (const auto* open = std::get_if<Opened>(&event)) {
      opened.insert(open->connection);
      continue;
    }
    const auto& received = std::get<Received>(event);
    CHECK_TRUE(opened.count(received.connection) == 1);
    sequences.insert(std::get<protocol::ProbeRequest>(received.message).sequence);
  }
  LONGS_EQUAL(kConnections, opened.size());
}

TEST(TransportTest, closeIsSeenByBothSidesAndSendsWhatWasQueued) {
  TestTransport server;
  TestTransport client(clientOptions());
  client->open(server.endpoint());
  const auto connection = client.expect<Opened>().connection;
  server.expect<Opened>();
  client->send(connection, protocol::ProbeRequest{1});
  client->close(connection);
  CHECK_TRUE(client.expect<Closed>().connection == connection);
  server.expect<Received>();
  CHECK_TRUE(server.expect<Closed>().error.code == ErrorCode::connectionLost);
  client->send(connection, protocol::ProbeRequest{2});  // Dropped, since the connection has ended.
  client->close(connection);
}

TEST(TransportTest, destructionClosesTheConnections) {
  TestTransport server;
  {
    TestTransport client(clientOptions());
    client->open(server.endpoint());
    client.expect<Opened>();
    server.expect<Opened>();
  }
  CHECK_TRUE(server.expect<Closed>().error.code == ErrorCode::connectionLost);
}

TEST(TransportTest, openToAClosedPortFails) {
  TestTransport client(clientOptions());
  const base::Endpoint remote = {"127.0.0.1", closedPort()};
  client->open(remote);
  const auto failed = client.expect<OpenFailed>();
  CHECK_TRUE(failed.remote == remote);
  CHECK_TRUE(failed.error.code == ErrorCode::connectFailed);
}

TEST(TransportTest, hostNamesAreNeverResolved) {
  TestTransport client(clientOptions());
  client->open({"localhost", 80});
  CHECK_TRUE(client.expect<OpenFailed>().error.code == ErrorCode::malformedInput);
}

TEST(TransportTest, aPortInUseIsATypedError) {
  TestTransport server;
  TransportOptions options;
  options.listenPort = server->port();
  const auto made = makeTransport(options, [](const Event&) {});
  CHECK_TRUE(made.has_error());
  CHECK_TRUE(made.error().code == ErrorCode::connectFailed);
}

TEST(TransportTest, peersOfAnotherVersionOrCellAreRefusedByBoth) {
  TransportOptions otherVersion = clientOptions();
  otherVersion.hello.protocolVersion = protocol::kProtocolVersion + 1;
  TransportOptions otherCell = clientOptions();
  otherCell.hello.cell.region = 9;
  struct Case {
    TransportOptions options;
    ErrorCode code;
  };
  for (const Case& testCase : {Case{otherVersion, ErrorCode::unsupportedVersion},
                               Case{otherCell, ErrorCode::outOfRange}}) {
    TestTransport server;
    TestTransport client(testCase.options);
    client->open(server.endpoint());
    CHECK_TRUE(client.expect<OpenFailed>().error.code == testCase.code);
    CHECK_TRUE(server.hasNoEvents());
  }
}

TEST(TransportTest, listenerWithoutHelloTimesOut) {
  Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
  TransportOptions options = clientOptions();
  options.connectTimeoutMillis = 20;
  TestTransport client(options);
  client->open({"127.0.0.1", silent.address().port()});
  const auto failed = client.expect<OpenFailed>();
  CHECK_TRUE(failed.error.code == ErrorCode::timedOut);
  STRCMP_EQUAL("hello", failed.error.field.c_str());
}
