#pragma once
/// @file
/// Idle HTTP connections to servers, kept for reuse.

#include <list>
#include <map>
#include <memory>
#include <string>

#include "net/client_connection.h"

namespace walnut::net {

struct ClientPoolOptions {
  ClientTimeouts timeouts;
  /// Idle connections are closed this long before the server would.
  base::Duration keepAliveMargin = std::chrono::milliseconds(700);
  /// For servers that don't say.
  base::Duration defaultIdleTimeout = std::chrono::seconds(20);
};

/// Hands out connections by a key that names one life of one server: an address that was handed to
/// another server is another key. The most recently used idle connection is taken first, so that
/// surplus ones lapse.
class ClientPool {
 public:
  ClientPool(event::Dispatcher& dispatcher, const ClientPoolOptions& options)
      : dispatcher_(dispatcher), options_(options) {}
  ClientPool(const ClientPool&) = delete;
  ClientPool& operator=(const ClientPool&) = delete;

  /// @return an idle connection, or a new one that is connecting.
  std::unique_ptr<ClientConnection> acquire(const std::string& key, const base::Endpoint& remote);
  /// @return true if `acquire` would have an idle one.
  bool hasIdle(const std::string& key) const;
  /// Takes back a connection after its answer; closes it if it is not reusable. May be called from
  /// within a callback of the connection.
  void release(const std::string& key, std::unique_ptr<ClientConnection> connection);
  /// Closes the idle connections of a server that is gone.
  void forget(const std::string& key);

 private:
  struct Idle {
    std::unique_ptr<ClientConnection> connection;
    event::TimerPtr expiry;
  };
  using IdleList = std::list<Idle>;

  void drop(const std::string& key, const ClientConnection* connection);

  event::Dispatcher& dispatcher_;
  const ClientPoolOptions options_;
  std::map<std::string, IdleList> idle_;
};

}  // namespace walnut::net
