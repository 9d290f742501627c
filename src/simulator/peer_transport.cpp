#include "simulator/peer_transport.h"

#include <utility>

namespace walnut::simulator {

PeerTransport* PeerDirectory::find(const base::Endpoint& endpoint) const {
  const auto found = listeners_.find(endpoint);
  return found == listeners_.end() ? nullptr : found->second;
}

const HostIndex* PeerDirectory::findHost(const base::Endpoint& endpoint) const {
  const auto found = hosts_.find(endpoint);
  return found == hosts_.end() ? nullptr : &found->second;
}

PeerTransport::PeerTransport(Network& network, PeerDirectory& directory, Process& process,
                             protocol::Hello hello, PeerEvents events)
    : network_(network),
      directory_(directory),
      process_(process),
      life_(process.life()),
      hello_(std::move(hello)),
      events_(std::move(events)) {}

void PeerTransport::failOpen(const base::Endpoint& remote, base::Duration after) {
  network_.scheduler().after(after, [self = shared_from_this(), remote] {
    self->post([self, remote] { self->events_.openFailed(remote); });
  });
}

void PeerTransport::open(const base::Endpoint& remote) {
  const HostIndex* remoteHost = directory_.findHost(remote);
  if (remoteHost == nullptr || !network_.reachable(process_.host(), *remoteHost) ||
      !network_.reachable(*remoteHost, process_.host())) {
    failOpen(remote, kConnectTimeout);
    return;
  }
  auto outgoing = std::make_shared<Pipe>(network_, process_.host(), *remoteHost);
  auto incoming = std::make_shared<Pipe>(network_, *remoteHost, process_.host());
  const protocol::ConnectionId id{nextConnection_++};
  Connection& connection = connections_[id];
  connection.id = id;
  connection.remote = remote;
  connection.outgoing = outgoing;
  connection.incoming = incoming;
  connection.lastActivity = network_.scheduler().now();
  watchIdle(id);
  network_.scheduler().after(kConnectTimeout, [self = shared_from_this(), id, remote] {
    const auto found = self->connections_.find(id);
    if (found != self->connections_.end() && !found->second.opened) {
      self->drop(id, true);
      self->post([self, remote] { self->events_.openFailed(remote); });
    }
  });
  outgoing->send([self = shared_from_this(), id, remote, outgoing, incoming] {
    PeerTransport* listener = self->directory_.find(remote);
    if (listener == nullptr || listener->shutDown_) {
      incoming->send([self, id, remote] {
        if (self->connections_.erase(id) > 0) {
          self->post([self, remote] { self->events_.openFailed(remote); });
        }
      });
      return;
    }
    const auto peer = listener->shared_from_this();
    const protocol::ConnectionId peerId = peer->accept(self, id, incoming, outgoing);
    // The client's SYN was answered: its Hello follows once it has heard of that.
    incoming->send([self, id, peer, peerId] { self->connected(id, peer, peerId); });
    peer->sendHello(peerId);
  });
}

protocol::ConnectionId PeerTransport::accept(const std::shared_ptr<PeerTransport>& client,
                                             protocol::ConnectionId clientId,
                                             std::shared_ptr<Pipe> toClient,
                                             std::shared_ptr<Pipe> fromClient) {
  const protocol::ConnectionId id{nextConnection_++};
  Connection& connection = connections_[id];
  connection.id = id;
  connection.accepted = true;
  connection.peer = client;
  connection.peerId = clientId;
  connection.outgoing = std::move(toClient);
  connection.incoming = std::move(fromClient);
  connection.lastActivity = network_.scheduler().now();
  watchIdle(id);
  return id;
}

void PeerTransport::sendHello(protocol::ConnectionId id) {
  // A frozen process does not write its Hello; its kernel accepts all the same.
  post([self = shared_from_this(), id] {
    const auto found = self->connections_.find(id);
    if (found == self->connections_.end()) {
      return;
    }
    const Connection& accepted = found->second;
    accepted.outgoing->send([peer = accepted.peer, peerId = accepted.peerId, hello = self->hello_] {
      peer->handleHello(peerId, hello);
    });
  });
}

void PeerTransport::connected(protocol::ConnectionId id, const std::shared_ptr<PeerTransport>& peer,
                              protocol::ConnectionId peerId) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  found->second.peer = peer;
  found->second.peerId = peerId;
  found->second.outgoing->send(
      [peer, peerId, hello = hello_] { peer->handleHello(peerId, hello); });
}

void PeerTransport::handleHello(protocol::ConnectionId id, const protocol::Hello& hello) {
  post([self = shared_from_this(), id, hello] {
    const auto found = self->connections_.find(id);
    if (found == self->connections_.end() || found->second.opened) {
      return;
    }
    found->second.opened = true;
    found->second.lastActivity = self->network_.scheduler().now();
    self->events_.opened(id, found->second.remote, found->second.accepted, hello);
  });
}

void PeerTransport::send(protocol::ConnectionId connection,
                         std::shared_ptr<const protocol::Message> message) {
  const auto found = connections_.find(connection);
  if (found == connections_.end() || !found->second.opened) {
    return;
  }
  const auto self = shared_from_this();
  found->second.outgoing->send([self, connection, peer = found->second.peer,
                                peerId = found->second.peerId, message = std::move(message)] {
    // Delivered: the sender's kernel has an acknowledgement.
    const auto sender = self->connections_.find(connection);
    if (sender != self->connections_.end()) {
      sender->second.lastActivity = self->network_.scheduler().now();
    }
    peer->handleMessage(peerId, *message);
  });
}

void PeerTransport::handleMessage(protocol::ConnectionId id, const protocol::Message& message) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  found->second.lastActivity = network_.scheduler().now();
  post([self = shared_from_this(), id, message] {
    if (self->connections_.contains(id)) {
      self->events_.received(id, message);
    }
  });
}

void PeerTransport::drop(protocol::ConnectionId id, bool tellPeer) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  const Connection connection = found->second;
  connections_.erase(found);
  connection.incoming->close();
  if (!connection.peer) {
    connection.outgoing->close();
    return;
  }
  if (!tellPeer) {
    return;
  }
  // The end of the connection follows what was sent before, as a FIN or a reset does.
  connection.outgoing->send([peer = connection.peer, peerId = connection.peerId] {
    const auto remote = peer->connections_.find(peerId);
    if (remote == peer->connections_.end()) {
      return;
    }
    const Connection ended = remote->second;
    ended.outgoing->close();
    peer->post([peer, peerId, ended] {
      peer->connections_.erase(peerId);
      if (ended.opened) {
        peer->events_.closed(peerId, ended.remote);
      } else if (!ended.accepted) {
        peer->events_.openFailed(ended.remote);
      }
    });
  });
}

void PeerTransport::close(protocol::ConnectionId connection) { drop(connection, true); }

bool PeerTransport::resetOne(std::uint64_t choice) {
  if (shutDown_ || connections_.empty()) {
    return false;
  }
  auto chosen = connections_.begin();
  std::advance(chosen, static_cast<std::ptrdiff_t>(choice % connections_.size()));
  if (!chosen->second.opened) {
    return false;
  }
  const Connection connection = chosen->second;
  drop(connection.id, true);
  post([self = shared_from_this(), connection] {
    self->events_.closed(connection.id, connection.remote);
  });
  return true;
}

void PeerTransport::shutDown() {
  shutDown_ = true;
  while (!connections_.empty()) {
    drop(connections_.begin()->first, true);
  }
}

void PeerTransport::watchIdle(protocol::ConnectionId id) {
  network_.scheduler().after(kIdleCheckInterval, [self = shared_from_this(), id] {
    const auto found = self->connections_.find(id);
    if (found == self->connections_.end()) {
      return;
    }
    const Connection& connection = found->second;
    if (self->network_.scheduler().now() - connection.lastActivity < kIdleClose) {
      self->watchIdle(id);
      return;
    }
    const Connection ended = connection;
    // Decided by the process's own loop, which does not run while it is frozen.
    self->post([self, ended] {
      if (!self->connections_.contains(ended.id)) {
        return;
      }
      self->drop(ended.id, true);
      if (ended.opened) {
        self->events_.closed(ended.id, ended.remote);
      }
    });
  });
}

}  // namespace walnut::simulator
