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
  /// @param documentVersion that the gateway holds.
  void setDocumentVersion(std::uint64_t documentVersion) { documentVersion_ = documentVersion; }

  void opened(protocol::ConnectionId connection, const base::Endpoint& server);
  void openFailed(const base::Endpoint& server);
  void closed(protocol::ConnectionId connection);
  void notLeading(protocol::ConnectionId connection, const registry::NotLeading& message);
  /// @return false if the update is not from the server that is followed.
  bool viewReceived(protocol::ConnectionId connection, const registry::ViewUpdate& update);

  /// To the leader; lost if none is followed.
  void send(registry::MessageBody message);
  bool following() const { return state_ == State::following; }

 private:
  void search();
  void tryNext();
  void leaveServer();
  void onTimer();
  void enter(State state, base::Duration patience);
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
  std::optional<protocol::ConnectionId> connection_;
  std::uint64_t documentVersion_ = 0;
  base::TimePoint lostAt_;
  bool lost_ = true;
};

}  // namespace walnut::gateway
