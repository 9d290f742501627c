#pragma once
/// @file
/// A non-blocking TCP connection on the event loop.

#include <Poco/Net/StreamSocket.h>

#include <string_view>

#include "event/dispatcher.h"
#include "event/output_buffer.h"
#include "walnut/base/error.h"
#include "walnut/base/ids.h"
#include "walnut/event/scheduler.h"
#include "walnut/net/byte_counter.h"

namespace walnut::net {

/// Receives the events of a connection. No callback follows `onEnd` or `close`. A callback must not
/// destroy the connection; use Scheduler::destroySoon instead.
class ConnectionCallbacks {
 public:
  virtual ~ConnectionCallbacks() = default;
  virtual void onConnected() {}
  virtual void onData(std::string_view bytes) = 0;
  /// The peer has closed its sending side. The connection may still be written to.
  virtual void onEndOfStream() = 0;
  /// The connection failed: `connectFailed` (nothing was sent), `timedOut` or `connectionLost`.
  virtual void onEnd(const base::Error& error) = 0;
  /// All buffered output has been handed to the operating system.
  virtual void onDrained() {}
};

/// Non-blocking TCP connection. States: connecting (if opened by this side) -> open -> closed.
/// Owned by its user.
class Connection : public event::SocketHandler {
 public:
  /// Wraps an accepted socket.
  Connection(event::Dispatcher& dispatcher, const Poco::Net::StreamSocket& socket,
             ConnectionCallbacks& callbacks);
  /// Begins to connect. Failures are reported by `onEnd` from the event loop, never synchronously.
  /// @param unackedTimeout longest time for which sent bytes, or a connect, may stay
  /// unacknowledged.
  Connection(event::Dispatcher& dispatcher, const base::Endpoint& remote,
             base::Duration connectTimeout, base::Duration unackedTimeout,
             ConnectionCallbacks& callbacks);
  ~Connection() override;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Buffers the bytes and writes as many as the socket accepts.
  void write(std::string_view bytes);
  /// The same for a large buffer, which is not copied if nothing else is buffered.
  void writeOwned(std::string bytes);
  /// Closes at once; output that the socket has not yet accepted is lost.
  void close();

  /// Pauses or resumes reading. While reading is paused, TCP flow control slows the sender down
  /// (backpressure).
  void setReading(bool enabled);

  /// @return true if received bytes, or the end of the stream, have not been read yet.
  bool hasUnread() const;
  std::size_t bufferedBytes() const { return output_.size(); }
  /// Counts the buffered output from now on until the connection is closed.
  void countOutput(ByteCounter& counter) { counter_ = &counter; }
  /// Counts at least this many bytes of output as committed.
  void reserveOutput(std::size_t bytes);
  bool connected() const { return state_ == State::open; }
  bool closed() const { return state_ == State::closed; }

 private:
  enum class State : std::uint8_t { connecting, open, closed };

  void onReady(int mode) override;
  void finishConnecting();
  void receive();
  void flush();
  void updateMode();
  void updateCount();
  void fail(const base::Error& error);

  event::Dispatcher& dispatcher_;
  ConnectionCallbacks& callbacks_;
  Poco::Net::StreamSocket socket_;
  State state_ = State::connecting;
  event::OutputBuffer output_;
  ByteCounter* counter_ = nullptr;
  ByteCount count_;  ///< As last told to `counter_`.
  std::size_t reservedOutput_ = 0;
  event::TimerPtr connectTimer_;
  bool reading_ = true;
  bool endOfStream_ = false;
  int mode_ = 0;  ///< Poll mode that is registered with the dispatcher.
};

/// @return the socket address of an endpoint with a numeric IP address; host names are rejected,
/// since POCO would resolve them.
base::Result<Poco::Net::SocketAddress> toSocketAddress(const base::Endpoint& endpoint);

}  // namespace walnut::net
