#pragma once
/// @file
/// Finds the registry's leader and stays subscribed to it. Contains the decisions only; the driver
/// manages connections.

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "walnut/base/random.h"
#include "walnut/event/scheduler.h"
#include "walnut/protocol/messages.h"
#include "walnut/registry/messages.h"
#include "walnut/runtime/event_log.h"

namespace walnut::gateway {

struct RegistrySessionOptions {
  std::vector<base::Endpoint> servers;  ///< Initial servers; more are learned.
  base::Duration connectTimeout = std::chrono::milliseconds(400);
  /// Time without a message after which the server is considered lost: the leader sends one each
  /// quarter of a second. From the second one on it doubles with each connected server that is
  /// silent: on an overloaded host they are held up for longer.
  base::Duration leaderTimeout = std::chrono::milliseconds(900);
  base::Duration retryPause = std::chrono::milliseconds(60);
  /// Upper bound of the backoff, which doubles with each round over all servers that found no
  /// leader. It is below the minimum duration of an election, so that the end of one is noticed
  /// soon.
  base::Duration retryPauseMax = std::chrono::milliseconds(400);
};

/// Interface to the driver, which manages the connections.
class RegistryLink {
 public:
  virtual ~RegistryLink() = default;
  /// Begins to connect; RegistrySession::opened or openFailed follows.
  virtual void open(const base::Endpoint& server) = 0;
  virtual void close(protocol::ConnectionId connection) = 0;
  virtual void send(protocol::ConnectionId connection, registry::MessageBody message) = 0;
};

/// Client state machine that subscribes to the registry's leader. States: searching (no server
/// selected) -> connecting -> asking (subscribed, no view received) -> following (views come in) ->
/// searching. One server is contacted at a time; a server that is not the leader names the leader.
/// A server that answers late is taken all the same, unless the leader is known; so is one that was
/// silent and goes on, unless another one is followed.
class RegistrySession {
 public:
  enum class State : std::uint8_t { searching, connecting, subscribing, following };

  RegistrySession(const RegistrySessionOptions& options, event::Scheduler& scheduler,
                  RegistryLink& link, runtime::EventLog& log, std::uint64_t seed);

  void start();
  /// Replaces the initial servers after a change of the settings.
  void setServers(std::vector<base::Endpoint> servers) { options_.servers = std::move(servers); }
  /// Sets the subscription that is sent first on each connection: the version of the held document,
  /// and how much of a newer one has been received.
  void setSubscription(const registry::Subscribe& subscription) { subscription_ = subscription; }

  /// Sets what makes the request to confirm the document that follows each subscription.
  using ConfirmationSource = std::function<std::optional<registry::ConfirmDocument>()>;
  void setConfirmationSource(ConfirmationSource source) { confirmationSource_ = std::move(source); }

  /// @param featureLevel supported by the server (registry/feature_level.h).
  void opened(protocol::ConnectionId connection, const base::Endpoint& server,
              std::uint32_t featureLevel);
  void openFailed(const base::Endpoint& server);
  void closed(protocol::ConnectionId connection);
  void notLeading(protocol::ConnectionId connection, const registry::NotLeading& message);
  /// @return false if the update is not from the server that is followed.
  bool viewReceived(protocol::ConnectionId connection, const registry::ViewUpdate& update);
  /// Takes up a silent server again if a message of a leader came over its connection and no other
  /// server is followed meanwhile. To be called before such a message is handled.
  void messageArrived(protocol::ConnectionId connection);
  /// @return true if the connection is of the current subscription.
  bool isCurrent(protocol::ConnectionId connection) const { return connection_ == connection; }
  /// Counts bytes of a document as a sign of life of the leader, like a view.
  /// @return false if they are not from the server that is followed.
  bool partReceived(protocol::ConnectionId connection);
  /// Ends the connection and subscribes anew, because a message of the followed server can't be
  /// used.
  void subscribeAgain();

  /// Sends a message to the leader, or drops it if none is followed.
  void send(registry::MessageBody message);
  /// Sends a message to the leader, or to all servers that may turn out to lead.
  void sendToCandidates(const registry::MessageBody& message);
  bool following() const { return state_ == State::following; }
  State state() const { return state_; }
  /// @return the server that is contacted or followed, or was last.
  const base::Endpoint& server() const { return server_; }
  /// @return when the present state began; while following, when the leader was first heard.
  base::TimePoint stateSince() const { return stateSince_; }
  /// @return when the last message came from a followed leader, or the time of the start.
  base::TimePoint heardAt() const { return heardAt_; }
  /// @return when the present subscription was sent: every view on its connection is newer.
  base::TimePoint subscribedAt() const { return subscribedAt_; }
  /// @return true if the followed server is a leader that supports the feature level.
  bool followingWith(std::uint32_t featureLevel) const {
    return following() && featureLevel_ >= featureLevel;
  }

 private:
  /// A connected server that was silent for too long, and may only be held up. Its connection is
  /// kept while another leader is searched, and so is what it answers when it goes on.
  struct SilentServer {
    base::Endpoint server;
    protocol::ConnectionId connection;
    std::uint32_t featureLevel = 0;
    base::TimePoint subscribedAt;
    base::TimePoint since;
    bool wasFollowed = false;
  };

  void search();
  void connectNext();
  void disconnect();
  void onTimer();
  void setAsideServer();
  std::vector<SilentServer>::iterator findSilent(protocol::ConnectionId connection);
  void dropSilentServers();
  /// Subscribes to a server that accepted late, beside another one.
  void subscribeAside(protocol::ConnectionId connection, const base::Endpoint& server,
                      std::uint32_t featureLevel);
  void sendSubscription(protocol::ConnectionId connection);
  /// Keeps a connection instead of a former one to the same server.
  void keepSilent(SilentServer server);
  bool isAwaited(const base::Endpoint& server) const;
  void endFollowing();
  void enter(State state, base::Duration timeout);
  base::Duration leaderTimeout() const;
  base::Duration nextBackoff();
  void learnServers(const std::vector<base::Endpoint>& servers);

  RegistrySessionOptions options_;
  event::Scheduler& scheduler_;
  RegistryLink& link_;
  runtime::EventLog& log_;
  base::Random random_;
  event::TimerPtr timer_;
  State state_ = State::searching;
  base::TimePoint stateSince_;
  base::TimePoint timeoutAt_;
  bool isReadingFirst_ = false;  ///< The present timeout passed while this process was held up.
  std::uint32_t silences_ = 0;   ///< Connected servers that were silent, one after the other.
  std::vector<SilentServer> silent_;  ///< At most one connection of each server.
  std::vector<base::Endpoint> learnedServers_;
  std::vector<base::Endpoint> untriedServers_;  ///< In the present search, in random order.
  std::optional<base::Endpoint> hint_;          ///< The leader, as named by another server.
  base::Endpoint server_;
  bool isHinted_ = false;  ///< `server_` was named as the leader by another server.
  std::optional<protocol::ConnectionId> connection_;
  std::uint32_t featureLevel_ = 0;  ///< Of the connected server.
  registry::Subscribe subscription_;
  ConfirmationSource confirmationSource_;
  std::uint32_t failedRounds_ = 0;  ///< Search rounds since a leader was last followed.
  base::TimePoint lostAt_;
  base::TimePoint heardAt_;
  base::TimePoint subscribedAt_;
  bool isLeaderLost_ = true;
};

}  // namespace walnut::gateway
