#pragma once
/// @file
/// Finds the registry's leader and stays subscribed to it. Decides only; the driver connects.

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "walnut/base/random.h"
#include "walnut/event/scheduler.h"
#include "walnut/protocol/messages.h"
#include "walnut/registry/messages.h"
#include "walnut/runtime/event_log.h"

namespace walnut::gateway {

struct RegistrySessionOptions {
  std::vector<base::Endpoint> servers;  ///< To begin with; more are learned.
  base::Duration connectTimeout = std::chrono::milliseconds(400);
  /// The leader tells something each quarter of a second.
  base::Duration silenceLimit = std::chrono::milliseconds(900);
  base::Duration retryPause = std::chrono::milliseconds(60);
  /// The pause doubles with each round over all servers that found no leader, up to this: below the
  /// least time that an election takes, so that its end is soon known.
  base::Duration retryPauseMax = std::chrono::milliseconds(400);
};

/// What the session needs of its driver.
class RegistryLink {
 public:
  virtual ~RegistryLink() = default;
  /// Begins to connect; RegistrySession::opened or openFailed follows.
  virtual void open(const base::Endpoint& server) = 0;
  virtual void close(protocol::ConnectionId connection) = 0;
  virtual void send(protocol::ConnectionId connection, registry::MessageBody message) = 0;
};

/// States: searching (no server asked) -> connecting -> asking (subscribed, nothing heard) ->
/// following (views come in) -> searching. One server is asked at a time; one that doesn't lead
/// names the leader.
class RegistrySession {
 public:
  enum class State : std::uint8_t { searching, connecting, asking, following };

  RegistrySession(const RegistrySessionOptions& options, event::Scheduler& scheduler,
                  RegistryLink& link, runtime::EventLog& log, std::uint64_t seed);

  void start();
  /// Other servers to begin with, as of changed settings.
  void setServers(std::vector<base::Endpoint> servers) { options_.servers = std::move(servers); }
  /// What a server is told first: the document that the gateway holds, and what it has of a newer.
  void setSubscription(const registry::Subscribe& subscription) { subscription_ = subscription; }

  /// @param featureLevel that the server knows (registry/feature_level.h).
  void opened(protocol::ConnectionId connection, const base::Endpoint& server,
              std::uint32_t featureLevel);
  void openFailed(const base::Endpoint& server);
  void closed(protocol::ConnectionId connection);
  void notLeading(protocol::ConnectionId connection, const registry::NotLeading& message);
  /// @return false if the update is not from the server that is followed.
  bool viewReceived(protocol::ConnectionId connection, const registry::ViewUpdate& update);
  /// @return true if views on that connection are from the server that is asked or followed.
  bool asks(protocol::ConnectionId connection) const { return connection_ == connection; }
  /// Bytes of a document came, which show as well as a view that the leader is there.
  /// @return false if they are not from the server that is followed.
  bool partReceived(protocol::ConnectionId connection);
  /// What the followed server sent can't be taken: it is asked anew.
  void subscribeAgain();

  /// To the leader; lost if none is followed.
  void send(registry::MessageBody message);
  bool following() const { return state_ == State::following; }
  /// @return true if a leader is followed that knows that level.
  bool followingWith(std::uint32_t featureLevel) const {
    return following() && featureLevel_ >= featureLevel;
  }

 private:
  void search();
  void tryNext();
  void leaveServer();
  void onTimer();
  void enter(State state, base::Duration patience);
  base::Duration drawPause();
  void learn(const std::vector<base::Endpoint>& servers);

  RegistrySessionOptions options_;
  event::Scheduler& scheduler_;
  RegistryLink& link_;
  runtime::EventLog& log_;
  base::Random random_;
  event::TimerPtr timer_;
  State state_ = State::searching;
  std::vector<base::Endpoint> learned_;
  std::vector<base::Endpoint> untried_;  ///< Of the present search, in a drawn order.
  std::optional<base::Endpoint> hint_;   ///< Where the leader is said to be.
  base::Endpoint server_;
  bool asksHinted_ = false;  ///< `server_` is asked because another one named it.
  std::optional<protocol::ConnectionId> connection_;
  std::uint32_t featureLevel_ = 0;  ///< Of the server at the end of the connection.
  registry::Subscribe subscription_;
  std::uint32_t fruitlessRounds_ = 0;  ///< Over all servers, since one was followed.
  base::TimePoint lostAt_;
  bool lost_ = true;
};

}  // namespace walnut::gateway
