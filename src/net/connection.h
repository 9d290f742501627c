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

namespace walnut::net {

/// Told what happens on a connection. After `onEnd`, and after `close`, nothing follows. A callback
/// must not destroy the connection; Scheduler::destroySoon does.
class ConnectionCallbacks {
 public:
  virtual ~ConnectionCallbacks() = default;
  virtual void onConnected() {}
  virtual void onData(std::string_view bytes) = 0;
  /// The peer sends no more. The connection may still be written to.
  virtual void onEndOfStream() = 0;
  /// The connection failed: `connectFailed` (nothing was sent), `timedOut` or `connectionLost`.
  virtual void onEnd(const base::Error& error) = 0;
  /// All that was written has been handed to the operating system.
  virtual void onDrained() {}
};

/// States: connecting (opened by this side) -> open -> closed. Owned by its user.
class Connection : public event::SocketHandler {
 public:
  /// Around an accepted socket.
  Connection(event::Dispatcher& dispatcher, const Poco::Net::StreamSocket& socket,
             ConnectionCallbacks& callbacks);
  /// Begins to connect. Failures are reported by a later `onEnd`, never from here.
  /// @param unackedTimeout how long sent bytes, or a connect, may stay without an answer.
  Connection(event::Dispatcher& dispatcher, const base::Endpoint& remote,
             base::Duration connectTimeout, base::Duration unackedTimeout,
             ConnectionCallbacks& callbacks);
  ~Connection() override;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Queues the bytes and writes what the socket takes.
  void write(std::string_view bytes);
  /// Closes at once; what was not yet taken by the socket is lost.
  void close();

  /// Pauses or resumes reading, so that a slow reader on the other side holds up the sender.
  void setReading(bool enabled);

  std::size_t bufferedBytes() const { return output_.size(); }
  bool connected() const { return state_ == State::open; }
  bool closed() const { return state_ == State::closed; }

 private:
  enum class State : std::uint8_t { connecting, open, closed };

  void onReady(int mode) override;
  void finishConnecting();
  void receive();
  void flush();
  void updateMode();
  void fail(const base::Error& error);

  event::Dispatcher& dispatcher_;
  ConnectionCallbacks& callbacks_;
  Poco::Net::StreamSocket socket_;
  State state_ = State::connecting;
  event::OutputBuffer output_;
  event::TimerPtr connectTimer_;
  bool reading_ = true;
  bool endOfStream_ = false;
  int mode_ = 0;  ///< As the dispatcher was last told.
};

/// @return a socket address; host names are refused, as POCO would resolve them.
base::Result<Poco::Net::SocketAddress> toSocketAddress(const base::Endpoint& endpoint);

}  // namespace walnut::net
