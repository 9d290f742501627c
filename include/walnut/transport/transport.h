#pragma once
/// @file
/// Transport of framed messages over TCP between the system's processes. Frame: magic "WLN1",
/// 32-bit length, 64-bit xxHash of the payload, payload (protocol/codec.h). A frame that is
/// oversized, has a wrong magic or hash, or does not decode closes its connection with a typed
/// error.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "walnut/base/error.h"
#include "walnut/base/ids.h"
#include "walnut/protocol/messages.h"

namespace walnut::transport {

/// Event: a connection is open. The peer's Hello was accepted, and this process has sent its own.
struct Opened {
  protocol::ConnectionId connection;
  base::Endpoint remote;  ///< As passed to `open`, or the remote address if accepted.
  bool accepted = false;
  protocol::Hello hello;
};
/// Event: an open connection ended.
struct Closed {
  protocol::ConnectionId connection;
  base::Endpoint remote;
  base::Error error;
};
/// Event: a call of `open` failed.
struct OpenFailed {
  base::Endpoint remote;
  base::Error error;
};
/// Event: a message was received.
struct Received {
  protocol::ConnectionId connection;
  protocol::Message message;
};
using Event = std::variant<Opened, Closed, OpenFailed, Received>;

/// Traffic counters since the transport was created.
struct TrafficCounters {
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  std::uint64_t messagesSent = 0;
  std::uint64_t messagesReceived = 0;
};

/// Configuration of a transport.
struct TransportOptions {
  protocol::Hello hello;
  std::string listenAddress = "127.0.0.1";
  std::uint16_t listenPort = 0;             ///< 0: selected by the kernel.
  bool listen = true;                       ///< False for routers, which only connect.
  std::size_t maxQueuedBytes = 16U << 20U;  ///< Limit per connection, which is closed above it.
  int connectTimeoutMillis = 1000;
  int idleCloseMillis = 10000;  ///< A connection is closed if nothing is received for this long.
};

/// Owner of the connections of one process, all served by one thread with a Poco::Net::PollSet.
/// Events are passed to the event sink on that thread. All methods may be called from any thread.
class Transport {
 public:
  virtual ~Transport() = default;
  /// @return the port that the transport listens on.
  virtual std::uint16_t port() const = 0;
  /// Starts to connect; an Opened or OpenFailed event follows.
  virtual void open(const base::Endpoint& remote) = 0;
  virtual void close(protocol::ConnectionId connection) = 0;
  /// Queues a message, which is dropped if the connection has ended.
  virtual void send(protocol::ConnectionId connection, const protocol::Message& message) = 0;
  virtual TrafficCounters counters() const = 0;
};

using EventSink = std::function<void(Event)>;

/// Creates the transport implementation of src/transport.
base::Result<std::unique_ptr<Transport>> makeTransport(const TransportOptions& options,
                                                       EventSink sink);

}  // namespace walnut::transport
