/// @file
/// A cell whose servers run in turn, so that no two of them run at the same time.

#include <algorithm>

#include "registry/cluster.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;
using namespace std::chrono_literals;

namespace {

const std::vector<std::uint16_t> kServers = {1, 2, 3};

bool contains(const std::vector<MessageBody>& messages, bool (*isWanted)(const MessageBody&)) {
  return std::any_of(messages.begin(), messages.end(), isWanted);
}

bool isView(const MessageBody& body) { return std::holds_alternative<PackedView>(body); }
bool isDocument(const MessageBody& body) { return std::holds_alternative<DocumentPart>(body); }
bool isConfirmation(const MessageBody& body) {
  return std::holds_alternative<DocumentConfirmed>(body);
}

}  // namespace

TEST_GROUP(WakingServersTest) {
  Cluster cluster{1};

  void setup() override {
    for (const std::uint16_t server : kServers) {
      cluster.start(server, server, kServers, kServers);
    }
    CHECK_TRUE(cluster.callUntilDone(1, ReplaceDocument{"1 one"}, 20s));
    for (const std::uint16_t server : kServers) {
      cluster.suspend(server);
    }
  }
  void runAlone(std::uint16_t server) {
    cluster.resume(server);
    cluster.run(200ms);
    cluster.suspend(server);
    cluster.run(300ms);
  }
  void takeTurns(int rounds) {
    for (int round = 0; round < rounds; ++round) {
      for (const std::uint16_t server : kServers) {
        runAlone(server);
      }
    }
  }
};

// Guards against gateways that are told nothing unless a majority runs within the time of a lease
// (RECOVER).
TEST(WakingServersTest, aGatewayIsServedThoughNoTwoServersRunAtTheSameTime) {
  takeTurns(10);
  const std::uint16_t leader = cluster.leader().value_or(0);
  CHECK_TRUE(leader != 0);
  cluster.resume(leader);
  (void)cluster.subscribe(leader, 100ms);
  cluster.suspend(leader);
  CHECK_FALSE(contains(cluster.sentToGateway(), isView));
  takeTurns(3);
  CHECK_TRUE(contains(cluster.sentToGateway(), isView));
  CHECK_TRUE(contains(cluster.sentToGateway(), isDocument));
}

TEST(WakingServersTest, aDocumentIsConfirmedThoughNoTwoServersRunAtTheSameTime) {
  takeTurns(10);
  const std::uint16_t leader = cluster.leader().value_or(0);
  CHECK_TRUE(leader != 0);
  cluster.resume(leader);
  CHECK_FALSE(contains(cluster.sendAsGateway(leader, ConfirmDocument{1}, 100ms), isConfirmation));
  cluster.suspend(leader);
  takeTurns(3);
  CHECK_TRUE(contains(cluster.sentToGateway(), isConfirmation));
}

// A deposed leader must not serve what came after it was deposed.
TEST(WakingServersTest, aDeposedLeaderServesNoGatewayThatSubscribesLater) {
  takeTurns(10);
  const std::uint16_t former = cluster.leader().value_or(0);
  CHECK_TRUE(former != 0);
  for (const std::uint16_t server : kServers) {
    if (server != former) {
      cluster.resume(server);
    }
  }
  cluster.run(30s);
  CHECK_TRUE(cluster.leader().has_value());
  cluster.partition(former);
  cluster.resume(former);
  const std::vector<MessageBody> received = cluster.subscribe(former, 3s);
  CHECK_FALSE(contains(received, isView));
  CHECK_FALSE(contains(received, isDocument));
}
