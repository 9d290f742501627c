#pragma once
/// @file
/// Connections of a router to the controllers of its cell: selects which ones to keep open, which
/// one to watch, and determines which one is the leader.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "walnut/base/random.h"
#include "walnut/routing/router.h"

namespace walnut::routing {

/// State of one session. Transitions:
///   opening -> connected | backingOff        connected -> backingOff
///   backingOff -> opening (backoff over) | connected (late success of the driver)
enum class SessionState : std::uint8_t { opening, connected, backingOff };

/// Session with the leader, once it is known and connected.
struct LeaderSession {
  protocol::ConnectionId connection;
  consensus::Term term = 0;
  bool operator==(const LeaderSession&) const = default;
};

/// Manages the sessions with the controllers. Invariant: there is a session for each wanted
/// endpoint and no other. The wanted endpoints are those of the cell's members; until the
/// membership is known, and while none of its members can be reached, also those of the configured
/// controllers.
class ControllerSessions {
 public:
  /// @param actions receives the outputs; must outlive this object.
  ControllerSessions(const RouterOptions& options, base::RouterId id, base::Random& random,
                     std::vector<RouterAction>& actions);

  void start(base::TimePoint now);
  void handleConnected(base::TimePoint now, const ControllerConnected& event,
                       consensus::LogIndex viewIndex);
  /// @return the connection that was closed, if there was one.
  std::optional<protocol::ConnectionId> handleDisconnected(base::TimePoint now,
                                                           const base::Endpoint& endpoint);
  void membershipChanged(base::TimePoint now, const consensus::Membership& membership);
  /// Determines the leader from the reply with the greatest term.
  void probeReply(const protocol::ProbeReply& reply);
  /// Switches to another controller, if there is one, because the watched one does not send
  /// committed changes.
  void replaceLaggingWatch(base::TimePoint now, consensus::LogIndex viewIndex);
  /// Restarts the watch at the watched controller from the view's index.
  void renewWatch(base::TimePoint now, consensus::LogIndex viewIndex);
  /// Runs the timers that are due.
  void tick(base::TimePoint now, consensus::LogIndex viewIndex);
  base::TimePoint nextWakeup() const;

  void sendToAll(const protocol::Message& message);
  std::optional<LeaderSession> leader() const;
  std::optional<base::Endpoint> watched() const { return watched_; }
  /// @return when the current watch was requested.
  base::TimePoint watchedSince() const { return watchedSince_; }

 private:
  struct Session {
    SessionState state = SessionState::opening;
    protocol::ConnectionId connection;
    base::ServerId server;
    base::ZoneId zone;
    std::uint32_t failures = 0;
    base::TimePoint reopenAt = base::kNever;
    base::TimePoint avoidWatchUntil;  ///< Set when it lagged behind as the watched controller.
  };

  std::set<base::Endpoint> wantedEndpoints() const;
  void reconcile();
  void open(const base::Endpoint& endpoint, Session& session);
  void backOff(base::TimePoint now, Session& session);
  void chooseWatch(base::TimePoint now, consensus::LogIndex viewIndex);
  bool memberConnected() const;
  void updateFallback(base::TimePoint now);
  bool isAcceptable(const protocol::Hello& hello) const;

  const RouterOptions& options_;
  base::RouterId id_;
  base::Random& random_;
  std::vector<RouterAction>& actions_;
  std::map<base::Endpoint, Session> sessions_;
  std::set<base::Endpoint> members_;
  bool fallback_ = false;
  base::TimePoint noMemberSince_ = base::kNever;
  std::optional<base::Endpoint> watched_;
  base::TimePoint watchedSince_;
  base::TimePoint chooseWatchAt_ =
      base::kNever;  ///< Set while waiting for a controller of the same zone.
  consensus::Term leaderTerm_ = 0;
  base::ServerId leader_;
};

}  // namespace walnut::routing
