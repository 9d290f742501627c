#pragma once
/// @file
/// Listening socket that can be drained: what has been connected is still accepted, then it closes.

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/SocketAddress.h>

#include <condition_variable>
#include <mutex>

#include "http/drain_signal.h"
#include "http/open_connections.h"

namespace walnut::http {

/// The socket behind a Poco::Net::TCPServer, whose accept thread alone calls `poll` and
/// `acceptConnection`. States: listening -> draining (the signal is raised; what is in the backlog
/// is still accepted) -> closed (the backlog was seen empty; the accept thread waits in `poll`) ->
/// released (`poll` returns at once, so that the accept thread sees that its server stops).
class ListeningSocketImpl : public Poco::Net::ServerSocketImpl {
 public:
  ListeningSocketImpl(OpenConnections& open, DrainSignal& drain) : open_(open), drain_(drain) {}

  bool poll(const Poco::Timespan& timeout, int mode) override;
  Poco::Net::SocketImpl* acceptConnection(Poco::Net::SocketAddress& clientAddress) override;

  /// Raises the signal; blocks until the accept thread has emptied the backlog and closed the
  /// socket. Any thread.
  void drain();
  /// Lets the accept thread go. After `drain`; any thread.
  void release();

 private:
  enum class State : std::uint8_t { listening, closed, released };

  void moveTo(State state);
  void waitWhile(State state);

  OpenConnections& open_;
  DrainSignal& drain_;
  std::mutex mutex_;
  std::condition_variable changed_;
  State state_ = State::listening;
};

/// Handle of a ListeningSocketImpl, as Poco's servers take it.
class ListeningSocket : public Poco::Net::ServerSocket {
 public:
  explicit ListeningSocket(ListeningSocketImpl* socket) : ServerSocket(socket, true) {}
};

}  // namespace walnut::http
