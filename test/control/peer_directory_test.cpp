#include "control/peer_directory.h"

#include <CppUTest/TestHarness.h>

using namespace walnut;
using control::PeerDirectory;

namespace {

constexpr base::CellId kCell{1, 1};
constexpr base::ServerId kServer{7};

protocol::Hello helloOf(protocol::PeerRole role, std::uint64_t id) {
  protocol::Hello hello;
  hello.role = role;
  hello.cell = kCell;
  hello.id = id;
  return hello;
}

protocol::ConnectionId connectionOf(const std::optional<control::ControllerAction>& action) {
  CHECK(action.has_value());
  const auto* send = std::get_if<control::SendToConnection>(&*action);
  CHECK(send != nullptr);
  return send->connection;
}

}  // namespace

TEST_GROUP(PeerDirectory) { PeerDirectory peers{kCell}; };

TEST(PeerDirectory, ignoresPeersOfAnotherCellOrProtocol) {
  protocol::Hello otherCell = helloOf(protocol::PeerRole::router, 1);
  otherCell.cell = base::CellId{1, 2};
  protocol::Hello otherProtocol = helloOf(protocol::PeerRole::router, 2);
  otherProtocol.protocolVersion = protocol::kProtocolVersion + 1;
  peers.opened(protocol::ConnectionId{1}, otherCell);
  peers.opened(protocol::ConnectionId{2}, otherProtocol);
  CHECK_FALSE(peers.isRouter(protocol::ConnectionId{1}));
  CHECK_FALSE(peers.isRouter(protocol::ConnectionId{2}));
  CHECK_EQUAL(0, peers.routerCount());
}

TEST(PeerDirectory, countsARouterWithTwoConnectionsOnce) {
  peers.opened(protocol::ConnectionId{1}, helloOf(protocol::PeerRole::router, 5));
  peers.opened(protocol::ConnectionId{2}, helloOf(protocol::PeerRole::router, 5));
  CHECK_EQUAL(1, peers.routerCount());
}

/// A restarted server leaves a connection behind, and its peers may not notice that it is closed.
TEST(PeerDirectory, repliesOverTheConnectionThatWasLastUsed) {
  for (const std::uint64_t number : {1U, 2U}) {
    peers.opened(protocol::ConnectionId{number},
                 helloOf(protocol::PeerRole::controller, kServer.value));
    peers.recordContact(protocol::ConnectionId{number}, kServer);
  }
  CHECK_EQUAL(2, connectionOf(peers.sendTo(kServer, protocol::ProbeReply{})).value);
  peers.closed(protocol::ConnectionId{2});
  CHECK_FALSE(peers.sendTo(kServer, protocol::ProbeReply{}).has_value());
}

TEST(PeerDirectory, prefersTheEndpointOnceItIsKnown) {
  peers.opened(protocol::ConnectionId{1}, helloOf(protocol::PeerRole::controller, kServer.value));
  peers.recordContact(protocol::ConnectionId{1}, kServer);
  consensus::Membership membership;
  membership.members.push_back({kServer, consensus::MemberRole::voter, {"10.0.0.7", 7000}, {}, {}});
  peers.updateEndpoints(membership);
  const auto action = peers.sendTo(kServer, protocol::ProbeReply{});
  CHECK(action.has_value());
  const auto* send = std::get_if<control::SendToServer>(&*action);
  CHECK(send != nullptr);
  CHECK_EQUAL(7000, send->endpoint.port);
}
