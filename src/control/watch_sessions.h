#pragma once
/// @file
/// Sessions of routers that watch the cell's state on this server. Any server serves them from the
/// entries that it has applied.

#include <map>
#include <memory>
#include <vector>

#include "control/cell_state.h"
#include "walnut/control/controller.h"

namespace walnut::control {

/// Sends the state and its changes to each watching router. States of a session:
///   paging    -> following  when the last page of the whole state is sent
///   following -> paging     when the history no longer reaches back to the index sent last
/// Invariant: within one request, the index sent to a router only grows.
class WatchSessions {
 public:
  /// All references outlive this object.
  WatchSessions(const ControllerOptions& options, const CellState& state,
                std::vector<ControllerAction>& actions)
      : options_(options), state_(state), actions_(actions) {}

  /// Starts or restarts a watch.
  void request(base::TimePoint now, protocol::ConnectionId connection,
               const protocol::WatchRequest& request);
  void closed(protocol::ConnectionId connection);
  /// Schedules deltas after entries that changed the watched state.
  void stateChanged(base::TimePoint now);
  /// Schedules deltas after entries that only raised the index.
  void indexAdvanced(base::TimePoint now);
  void tick(base::TimePoint now);
  base::TimePoint nextWakeup() const { return nextPushAt_; }

 private:
  /// Copy of the whole state at an index, shared by the sessions that page through it.
  struct Capture {
    consensus::LogIndex index = 0;
    base::TimePoint takenAt;
    std::vector<protocol::Change> changes;
  };
  struct Session {
    consensus::LogIndex sentIndex = 0;
    base::TimePoint sentAt;
    std::shared_ptr<const Capture> paging;  ///< Set in state paging.
    std::uint32_t nextPage = 0;
  };
  /// Deltas of one push, by the index at which they begin.
  using Deltas = std::map<consensus::LogIndex, std::optional<std::vector<protocol::Change>>>;

  void push(base::TimePoint now, protocol::ConnectionId connection, Session& session,
            Deltas& deltas);
  void sendDelta(base::TimePoint now, protocol::ConnectionId connection, Session& session,
                 std::vector<protocol::Change> changes);
  void sendPages(base::TimePoint now, protocol::ConnectionId connection, Session& session);
  void beginPaging(base::TimePoint now, Session& session);
  base::TimePoint dueAt(const Session& session) const;
  void schedule(base::TimePoint at) { nextPushAt_ = std::min(nextPushAt_, at); }

  const ControllerOptions& options_;
  const CellState& state_;
  std::vector<ControllerAction>& actions_;
  std::map<protocol::ConnectionId, Session> sessions_;
  std::shared_ptr<const Capture> capture_;  ///< The latest capture.
  consensus::LogIndex changedIndex_ = 0;    ///< Index of the last change.
  base::TimePoint nextPushAt_ = base::kNever;
};

}  // namespace walnut::control
