#pragma once
/// @file
/// One connection of the transport: socket, protocol state, and buffers for both directions.

#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <string>
#include <string_view>

#include "event/output_buffer.h"
#include "transport/frame.h"
#include "walnut/base/error.h"
#include "walnut/base/ids.h"
#include "walnut/base/time.h"
#include "walnut/protocol/messages.h"

namespace walnut::transport {

/// State of a connection. Transitions: connecting -> greeting (the socket is connected) -> open
/// (the peer's Hello was accepted). Accepted connections begin in `greeting`. An error in any state
/// ends the connection.
enum class ConnectionState : std::uint8_t { connecting, greeting, open };

/// Connection to a peer. Owned and used by the poll thread only. Methods that do I/O return the
/// typed error that ends the connection; none throws.
class Connection {
 public:
  /// Callback for each message, including Hello, in the order of arrival.
  /// @return an error to end the connection.
  using MessageHandler = std::function<base::Result<void>(protocol::Message)>;

  /// @param socket non-blocking socket; connecting, or connected if `accepted`.
  Connection(protocol::ConnectionId id, const Poco::Net::StreamSocket& socket,
             base::Endpoint remote, bool accepted, base::TimePoint now);

  /// Leaves the state `connecting`; called once the socket is writable.
  base::Result<void> finishConnecting(base::TimePoint now);
  /// Leaves the state `greeting` for `open`.
  void markOpen() { state_ = ConnectionState::open; }

  /// Reads the available data, up to a fixed amount so that other connections are served too.
  /// @return the number of bytes read.
  base::Result<std::size_t> receive(base::TimePoint now, const MessageHandler& onMessage);

  /// Queues a frame.
  /// @return `inputTooLarge` if the queue would exceed `limit` bytes.
  base::Result<void> queue(std::string_view frame, std::size_t limit);
  /// Writes as much of the queue as the socket accepts.
  /// @return the number of bytes written.
  base::Result<std::size_t> flush();

  /// @return true if writable events are needed, to finish connecting or to continue writing.
  bool needsWrite() const { return state_ == ConnectionState::connecting || !output_.empty(); }

  protocol::ConnectionId id() const { return id_; }
  const Poco::Net::StreamSocket& socket() const { return socket_; }
  const base::Endpoint& remote() const { return remote_; }
  bool accepted() const { return accepted_; }
  ConnectionState state() const { return state_; }
  base::TimePoint startedAt() const { return startedAt_; }
  /// @return the time at which bytes were last received from the peer.
  base::TimePoint lastReceivedAt() const { return lastReceivedAt_; }

  /// Event mask registered with the poll set; stored so that the poll set is only updated on
  /// changes.
  int pollMode = 0;

 private:
  base::Result<void> dispatch(const MessageHandler& onMessage);

  const protocol::ConnectionId id_;
  Poco::Net::StreamSocket socket_;
  const base::Endpoint remote_;
  const bool accepted_;
  ConnectionState state_;
  const base::TimePoint startedAt_;
  base::TimePoint lastReceivedAt_;
  FrameReader reader_;
  event::OutputBuffer output_;
};

}  // namespace walnut::transport
