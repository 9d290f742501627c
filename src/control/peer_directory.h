#pragma once
/// @file
/// Directory of a controller's open connections, the peers at their other ends, and the endpoints
/// of the cell's servers.

#include <map>
#include <optional>
#include <vector>

#include "walnut/base/ids.h"
#include "walnut/consensus/messages.h"
#include "walnut/control/controller.h"

namespace walnut::control {

/// Maps connections to peers and servers to endpoints.
/// Invariant: only connections whose Hello contains this cell and this protocol version are known;
/// messages of all others are ignored.
class PeerDirectory {
 public:
  explicit PeerDirectory(base::CellId cell) : cell_(cell) {}

  void opened(protocol::ConnectionId connection, const protocol::Hello& hello);
  void closed(protocol::ConnectionId connection);

  bool isRouter(protocol::ConnectionId connection) const;
  /// @return true if the connection belongs to this server.
  bool isServer(protocol::ConnectionId connection, base::ServerId server) const;
  bool isController(protocol::ConnectionId connection) const;
  /// Returns the number of connected routers; a router with several connections counts once.
  std::uint64_t routerCount() const;

  /// Records that the server has sent a message over the connection, so that replies can be sent
  /// over it.
  void recordContact(protocol::ConnectionId connection, base::ServerId server);
  /// Adds the endpoints of the members. Endpoints of servers that have left the membership are
  /// kept, so that they can be informed.
  void updateEndpoints(const consensus::Membership& membership);
  /// @return the action that sends to the server: to its endpoint or, while that is unknown, over
  /// the connection that the server last used; empty if neither is known.
  std::optional<ControllerAction> sendTo(base::ServerId server, protocol::Message message) const;

 private:
  bool hasRole(protocol::ConnectionId connection, protocol::PeerRole role) const;

  base::CellId cell_;
  std::map<protocol::ConnectionId, protocol::Hello> peers_;
  std::map<base::ServerId, base::Endpoint> endpoints_;
  std::map<base::ServerId, protocol::ConnectionId> lastConnection_;
};

}  // namespace walnut::control
