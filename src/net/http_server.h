#pragma once
/// @file
/// An HTTP/1.1 server on the event loop.

#include <memory>
#include <unordered_map>

#include "net/listener.h"
#include "net/server_connection.h"
#include "walnut/net/server.h"

namespace walnut::net {

/// Owns its connections. The handler must outlive it.
class HttpServer {
 public:
  static base::Result<std::unique_ptr<HttpServer>> open(event::Dispatcher& dispatcher,
                                                        const base::Endpoint& endpoint,
                                                        const ServerLimits& limits,
                                                        RequestHandler& handler);

  HttpServer(event::Dispatcher& dispatcher, const ServerLimits& limits, RequestHandler& handler)
      : dispatcher_(dispatcher), limits_(limits), handler_(handler) {}
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  const base::Endpoint& endpoint() const { return listener_->endpoint(); }
  /// For requests that begin from now on.
  void setLimits(const ServerLimits& limits) { limits_ = limits; }

  /// Answers from now on ask callers to open another connection.
  void announceClose();
  /// Closes idle connections now and the others once they are answered.
  void closeIdle();
  std::size_t connectionCount() const { return connections_.size(); }

 private:
  void accept(const Poco::Net::StreamSocket& socket);
  void release(ServerConnection& connection);

  event::Dispatcher& dispatcher_;
  ServerLimits limits_;
  RequestHandler& handler_;
  std::unique_ptr<Listener> listener_;
  std::unordered_map<ServerConnection*, std::unique_ptr<ServerConnection>> connections_;
  bool announceClose_ = false;
};

}  // namespace walnut::net
