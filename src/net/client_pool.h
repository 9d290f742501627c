#pragma once
/// @file
/// Pool of idle HTTP client connections, kept for reuse.

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/client_connection.h"

namespace walnut::net {

/// Settings of a client pool.
struct ClientPoolOptions {
  ClientTimeouts timeouts;
  /// Idle connections are closed this long before the server's own time-out closes them.
  base::Duration keepAliveMargin = std::chrono::milliseconds(700);
  /// Idle time-out for servers that don't state theirs.
  base::Duration defaultIdleTimeout = std::chrono::seconds(20);
};

/// Which connection a request may use. A server may send an answer once more, late, in the place of
/// the next one: a connection that carried a request can therefore bring another answer to it.
struct ConnectionChoice {
  std::vector<std::uint64_t> excluded;  ///< Numbers of connections that must not be used.
  bool mustBeNew = false;               ///< No answer to any other request can come.
};

/// Pool of client connections by a key that identifies one incarnation of one server: if an address
/// is reassigned to another server, that server has another key. The most recently used idle
/// connection is reused first, so that surplus connections expire.
class ClientPool {
 public:
  ClientPool(event::Dispatcher& dispatcher, const ClientPoolOptions& options)
      : dispatcher_(dispatcher), options_(options) {}
  ClientPool(const ClientPool&) = delete;
  ClientPool& operator=(const ClientPool&) = delete;

  /// @return an idle connection that the choice permits, or a new one that is connecting.
  std::unique_ptr<ClientConnection> acquire(const std::string& key, const base::Endpoint& remote,
                                            const ConnectionChoice& choice = {});
  /// @return true if `acquire` would return an idle connection.
  bool hasIdle(const std::string& key) const;
  /// @return true if some idle connection was established by then, and has been open since.
  bool hasIdleSince(const std::string& key, base::TimePoint time) const;
  /// Returns a connection to the pool after its response; closes it if it is not reusable. May be
  /// called from within a callback of the connection.
  void release(const std::string& key, std::unique_ptr<ClientConnection> connection);
  /// Closes the idle connections to a server that no longer exists.
  void forget(const std::string& key);

 private:
  struct Idle {
    std::unique_ptr<ClientConnection> connection;
    event::TimerPtr expiry;
  };
  using IdleList = std::list<Idle>;

  /// @return the idle connection with that key that the choice permits, removed from the pool, or
  /// nullptr.
  std::unique_ptr<ClientConnection> takeIdle(const std::string& key,
                                             const ConnectionChoice& choice);
  void drop(const std::string& key, const ClientConnection* connection);

  event::Dispatcher& dispatcher_;
  const ClientPoolOptions options_;
  std::map<std::string, IdleList> idle_;
  std::uint64_t lastNumber_ = 0;  ///< Of the connections that were opened.
};

}  // namespace walnut::net
