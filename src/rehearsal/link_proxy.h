#pragma once
/// @file
/// A TCP proxy on loopback that delays what it passes on, drops one direction or falls silent.

#include <cstdint>
#include <memory>
#include <unordered_map>

#include "event/dispatcher.h"
#include "net/connection.h"
#include "net/listener.h"

namespace walnut::rehearsal {

/// What the proxy does with the bytes of all its connections.
enum class LinkFault : std::uint8_t {
  none,
  dropRequests,  ///< What callers send is lost; what the server sends arrives.
  dropAnswers,   ///< What the server sends is lost.
  silent,        ///< Nothing arrives, and nobody is told of the end of a connection.
};

/// Proxy in front of one server. A direction of a connection that has lost bytes stays silent after
/// the fault; all others go on.
class LinkProxy {
 public:
  static base::Result<std::unique_ptr<LinkProxy>> open(event::Dispatcher& dispatcher,
                                                       const base::Endpoint& listen,
                                                       const base::Endpoint& server);
  ~LinkProxy();
  LinkProxy(const LinkProxy&) = delete;
  LinkProxy& operator=(const LinkProxy&) = delete;

  const base::Endpoint& endpoint() const { return listener_->endpoint(); }
  void setFault(LinkFault fault) { fault_ = fault; }
  /// Of what is read from now on, in both directions.
  void setDelay(base::Duration delay) { delay_ = delay; }
  /// Closes all connections at both ends.
  void closeAll();

 private:
  class Pair;

  LinkProxy(event::Dispatcher& dispatcher, const base::Endpoint& server);
  void accept(const Poco::Net::StreamSocket& socket);
  void release(Pair& pair);

  event::Dispatcher& dispatcher_;
  const base::Endpoint server_;
  std::unique_ptr<net::Listener> listener_;
  std::unordered_map<Pair*, std::unique_ptr<Pair>> pairs_;
  LinkFault fault_ = LinkFault::none;
  base::Duration delay_{0};
};

}  // namespace walnut::rehearsal
