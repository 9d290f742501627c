#pragma once
/// @file
/// An HTTP/1.1 server on the event loop.

#include <limits>
#include <memory>
#include <unordered_map>

#include "net/listener.h"
#include "net/server_connection.h"
#include "walnut/net/server.h"

namespace walnut::net {

/// HTTP/1.1 server. Owns its connections; the handler must outlive it.
class HttpServer {
 public:
  /// Opens a listening socket on `endpoint`; port 0 lets the kernel choose a port.
  static base::Result<std::unique_ptr<HttpServer>> open(event::Dispatcher& dispatcher,
                                                        const base::Endpoint& endpoint,
                                                        const ServerLimits& limits,
                                                        RequestHandler& handler);

  HttpServer(event::Dispatcher& dispatcher, const ServerLimits& limits, RequestHandler& handler)
      : dispatcher_(dispatcher), limits_(limits), handler_(handler) {}
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  const base::Endpoint& endpoint() const { return endpoint_; }
  /// Sets the limits for requests that begin after this call.
  void setLimits(const ServerLimits& limits) { limits_ = limits; }

  /// Counts the output that callers have not read, of connections that are accepted from now on.
  void setByteCounter(ByteCounter* counter) { counter_ = counter; }

  /// Sets the limit on open connections. At the limit an idle one makes room for a new one; a new
  /// one that finds none idle is closed at once.
  void setMaxConnections(std::size_t connections) { maxConnections_ = connections; }

  /// From now on, responses ask callers to close the connection (`Connection: close`).
  void announceClose();
  /// Closes idle connections now, and the others once their current request is answered. One that
  /// has just been opened is left some time for its first request.
  void closeIdle();
  /// Refuses new connections from now on.
  void stopListening();
  std::size_t connectionCount() const { return connections_.size(); }

 private:
  void accept(const Poco::Net::StreamSocket& socket);
  void release(ServerConnection& connection);
  bool closeOneIdle();

  event::Dispatcher& dispatcher_;
  ServerLimits limits_;
  RequestHandler& handler_;
  std::unique_ptr<Listener> listener_;
  base::Endpoint endpoint_;
  std::unordered_map<ServerConnection*, std::unique_ptr<ServerConnection>> connections_;
  std::size_t maxConnections_ = std::numeric_limits<std::size_t>::max();
  bool announceClose_ = false;
  ByteCounter* counter_ = nullptr;
};

}  // namespace walnut::net
