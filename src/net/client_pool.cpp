#include "net/client_pool.h"

#include <algorithm>
#include <utility>

namespace walnut::net {

std::unique_ptr<ClientConnection> ClientPool::acquire(const std::string& key,
                                                      const base::Endpoint& remote,
                                                      const ConnectionChoice& choice) {
  std::unique_ptr<ClientConnection> idle = takeIdle(key, choice);
  if (idle != nullptr) {
    return idle;
  }
  return std::make_unique<ClientConnection>(dispatcher_, remote, options_.timeouts, ++lastNumber_);
}

std::unique_ptr<ClientConnection> ClientPool::takeIdle(const std::string& key,
                                                       const ConnectionChoice& choice) {
  const auto found = idle_.find(key);
  if (found == idle_.end() || choice.mustBeNew) {
    return nullptr;
  }
  IdleList& list = found->second;
  const auto permitted = std::find_if(list.begin(), list.end(), [&choice](const Idle& idle) {
    return std::find(choice.excluded.begin(), choice.excluded.end(), idle.connection->number()) ==
           choice.excluded.end();
  });
  if (permitted == list.end()) {
    return nullptr;
  }
  std::unique_ptr<ClientConnection> connection = std::move(permitted->connection);
  list.erase(permitted);
  connection->setIdleEndCallback(nullptr);
  return connection;
}

bool ClientPool::hasIdle(const std::string& key) const {
  const auto found = idle_.find(key);
  return found != idle_.end() && !found->second.empty();
}

bool ClientPool::hasIdleSince(const std::string& key, base::TimePoint time) const {
  const auto found = idle_.find(key);
  return found != idle_.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [time](const Idle& idle) { return idle.connection->connectedAt() <= time; });
}

void ClientPool::release(const std::string& key, std::unique_ptr<ClientConnection> connection) {
  const base::Duration limit =
      connection->keepAliveTimeout().value_or(options_.defaultIdleTimeout) -
      options_.keepAliveMargin;
  if (!connection->reusable() || limit <= base::Duration::zero()) {
    connection->cancel();
    dispatcher_.destroySoon(std::move(connection));
    return;
  }
  const ClientConnection* const raw = connection.get();
  connection->setIdleEndCallback([this, key, raw] { drop(key, raw); });
  event::TimerPtr expiry = dispatcher_.createTimer([this, key, raw] { drop(key, raw); });
  expiry->enableAt(dispatcher_.now() + limit);
  idle_[key].push_front({std::move(connection), std::move(expiry)});
}

void ClientPool::drop(const std::string& key, const ClientConnection* connection) {
  const auto found = idle_.find(key);
  if (found == idle_.end()) {
    return;
  }
  IdleList& list = found->second;
  const auto entry = std::find_if(list.begin(), list.end(), [connection](const Idle& idle) {
    return idle.connection.get() == connection;
  });
  if (entry == list.end()) {
    return;
  }
  entry->connection->cancel();
  dispatcher_.destroySoon(std::move(entry->connection));
  dispatcher_.destroySoon(std::move(entry->expiry));
  list.erase(entry);
}

void ClientPool::forget(const std::string& key) {
  const auto found = idle_.find(key);
  if (found == idle_.end()) {
    return;
  }
  for (Idle& idle : found->second) {
    idle.connection->cancel();
    dispatcher_.destroySoon(std::move(idle.connection));
    dispatcher_.destroySoon(std::move(idle.expiry));
  }
  idle_.erase(found);
}

}  // namespace walnut::net
