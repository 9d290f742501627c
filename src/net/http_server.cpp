#include "net/http_server.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace walnut::net {

base::Result<std::unique_ptr<HttpServer>> HttpServer::open(event::Dispatcher& dispatcher,
                                                           const base::Endpoint& endpoint,
                                                           const ServerLimits& limits,
                                                           RequestHandler& handler) {
  auto server = std::make_unique<HttpServer>(dispatcher, limits, handler);
  HttpServer* const accepting = server.get();
  BOOST_OUTCOME_TRY(listener, Listener::open(dispatcher, endpoint,
                                             [accepting](const Poco::Net::StreamSocket& socket) {
                                               accepting->accept(socket);
                                             }));
  server->endpoint_ = listener->endpoint();
  server->listener_ = std::move(listener);
  return server;
}

void HttpServer::accept(const Poco::Net::StreamSocket& socket) {
  if (connections_.size() >= maxConnections_ && !closeOneIdle()) {
    return;  // The socket is closed with its last owner.
  }
  auto connection =
      std::make_unique<ServerConnection>(dispatcher_, socket, limits_, handler_,
                                         [this](ServerConnection& closed) { release(closed); });
  if (counter_ != nullptr) {
    connection->countOutput(*counter_);
  }
  if (announceClose_) {
    connection->announceClose();
  }
  ServerConnection* const key = connection.get();
  connections_.emplace(key, std::move(connection));
}

/// @return false if no connection is idle.
bool HttpServer::closeOneIdle() {
  const auto idle = std::find_if(connections_.begin(), connections_.end(),
                                 [](const auto& entry) { return entry.second->mayClose(); });
  if (idle == connections_.end()) {
    return false;
  }
  idle->second->closeWhenIdle();
  return true;
}

void HttpServer::release(ServerConnection& connection) {
  const auto found = connections_.find(&connection);
  if (found != connections_.end()) {
    dispatcher_.destroySoon(std::move(found->second));
    connections_.erase(found);
  }
}

void HttpServer::announceClose() {
  announceClose_ = true;
  for (const auto& [key, connection] : connections_) {
    connection->announceClose();
  }
}

void HttpServer::stopListening() { listener_.reset(); }

void HttpServer::closeIdle() {
  std::vector<ServerConnection*> all;
  for (const auto& [key, connection] : connections_) {
    all.push_back(key);
  }
  for (ServerConnection* const connection : all) {
    connection->closeWhenIdle();
  }
}

}  // namespace walnut::net
