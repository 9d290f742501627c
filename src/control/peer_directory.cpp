#include "control/peer_directory.h"

#include <set>
#include <utility>

namespace walnut::control {

void PeerDirectory::opened(protocol::ConnectionId connection, const protocol::Hello& hello) {
  if (hello.cell == cell_ && hello.protocolVersion == protocol::kProtocolVersion) {
    peers_[connection] = hello;
  }
}

void PeerDirectory::closed(protocol::ConnectionId connection) {
  peers_.erase(connection);
  std::erase_if(lastConnection_, [&](const auto& entry) { return entry.second == connection; });
}

void PeerDirectory::recordContact(protocol::ConnectionId connection, base::ServerId server) {
  lastConnection_[server] = connection;
}

bool PeerDirectory::hasRole(protocol::ConnectionId connection, protocol::PeerRole role) const {
  const auto found = peers_.find(connection);
  return found != peers_.end() && found->second.role == role;
}

bool PeerDirectory::isRouter(protocol::ConnectionId connection) const {
  return hasRole(connection, protocol::PeerRole::router);
}

bool PeerDirectory::isController(protocol::ConnectionId connection) const {
  return hasRole(connection, protocol::PeerRole::controller);
}

bool PeerDirectory::isServer(protocol::ConnectionId connection, base::ServerId server) const {
  return isController(connection) && peers_.at(connection).id == server.value;
}

std::uint64_t PeerDirectory::routerCount() const {
  std::set<std::uint64_t> routers;
  for (const auto& [connection, hello] : peers_) {
    if (hello.role == protocol::PeerRole::router) {
      routers.insert(hello.id);
    }
  }
  return routers.size();
}

void PeerDirectory::updateEndpoints(const consensus::Membership& membership) {
  for (const consensus::Member& member : membership.members) {
    endpoints_[member.id] = member.peerEndpoint;
  }
}

std::optional<ControllerAction> PeerDirectory::sendTo(base::ServerId server,
                                                      protocol::Message message) const {
  const auto endpoint = endpoints_.find(server);
  if (endpoint != endpoints_.end()) {
    return SendToServer{server, endpoint->second, std::move(message)};
  }
  const auto connection = lastConnection_.find(server);
  if (connection != lastConnection_.end()) {
    return SendToConnection{connection->second, std::move(message)};
  }
  return std::nullopt;
}

}  // namespace walnut::control
