#pragma once
/// @file
/// Simulated transport between the system's own processes, with the contract of
/// transport::Transport: Hello first, in order per connection, Closed at either side, a silent
/// connection closed when idle.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "simulator/network.h"
#include "simulator/process.h"
#include "walnut/base/ids.h"
#include "walnut/protocol/messages.h"

namespace walnut::simulator {

class PeerTransport;

/// Which process listens where.
class PeerDirectory {
 public:
  void listen(const base::Endpoint& endpoint, PeerTransport* transport) {
    listeners_[endpoint] = transport;
  }
  void unlisten(const base::Endpoint& endpoint) { listeners_.erase(endpoint); }
  void setHost(const base::Endpoint& endpoint, HostIndex host) { hosts_[endpoint] = host; }
  PeerTransport* find(const base::Endpoint& endpoint) const;
  /// @return the machine with that address; none: nobody has it.
  const HostIndex* findHost(const base::Endpoint& endpoint) const;

 private:
  std::map<base::Endpoint, PeerTransport*> listeners_;
  std::map<base::Endpoint, HostIndex> hosts_;
};

/// What a transport tells its process; called on the process's own turn.
struct PeerEvents {
  std::function<void(protocol::ConnectionId, const base::Endpoint& remote, bool accepted,
                     const protocol::Hello&)>
      opened;
  std::function<void(protocol::ConnectionId, const base::Endpoint& remote)> closed;
  std::function<void(const base::Endpoint& remote)> openFailed;
  std::function<void(protocol::ConnectionId, const protocol::Message&)> received;
};

/// Connections of one life of a process. Owned by shared pointers, because packets under way refer
/// to it after its process has died.
class PeerTransport : public std::enable_shared_from_this<PeerTransport> {
 public:
  PeerTransport(Network& network, PeerDirectory& directory, Process& process, protocol::Hello hello,
                PeerEvents events);

  void open(const base::Endpoint& remote);
  void close(protocol::ConnectionId connection);
  void send(protocol::ConnectionId connection, std::shared_ptr<const protocol::Message> message);
  /// The process died: its machine resets all connections, as far as the network carries that.
  void shutDown();
  /// Both sides learn that the connection is gone. @return false if there is no open connection.
  bool resetOne(std::uint64_t choice);

 private:
  struct Connection {
    protocol::ConnectionId id;
    base::Endpoint remote;
    bool accepted = false;
    bool opened = false;  ///< The peer's Hello was read.
    std::shared_ptr<PeerTransport> peer;
    protocol::ConnectionId peerId;
    std::shared_ptr<Pipe> outgoing;
    std::shared_ptr<Pipe> incoming;
    base::TimePoint lastActivity;
  };

  void failOpen(const base::Endpoint& remote, base::Duration after);
  protocol::ConnectionId accept(const std::shared_ptr<PeerTransport>& client,
                                protocol::ConnectionId clientId, std::shared_ptr<Pipe> toClient,
                                std::shared_ptr<Pipe> fromClient);
  /// Of an accepted connection, after its client has heard that it was accepted.
  void sendHello(protocol::ConnectionId id);
  void connected(protocol::ConnectionId id, const std::shared_ptr<PeerTransport>& peer,
                 protocol::ConnectionId peerId);
  void handleHello(protocol::ConnectionId id, const protocol::Hello& hello);
  void handleMessage(protocol::ConnectionId id, const protocol::Message& message);
  void drop(protocol::ConnectionId id, bool tellPeer);
  void watchIdle(protocol::ConnectionId id);
  void post(std::function<void()> input) { process_.post(life_, std::move(input)); }

  static constexpr base::Duration kConnectTimeout = std::chrono::seconds(1);
  static constexpr base::Duration kIdleClose = std::chrono::seconds(10);
  static constexpr base::Duration kIdleCheckInterval = std::chrono::seconds(2);

  Network& network_;
  PeerDirectory& directory_;
  Process& process_;
  std::uint64_t life_;
  protocol::Hello hello_;
  PeerEvents events_;
  bool shutDown_ = false;
  std::uint64_t nextConnection_ = 1;
  std::map<protocol::ConnectionId, Connection> connections_;
};

}  // namespace walnut::simulator
