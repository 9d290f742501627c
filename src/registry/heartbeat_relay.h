#pragma once
/// @file
/// Acknowledgement of heartbeats by servers that don't lead, on behalf of the leader.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "registry/cell_state.h"
#include "walnut/base/time.h"
#include "walnut/registry/messages.h"

namespace walnut::registry {

/// Relay that acknowledges heartbeats which change no replicated state and reports them to the
/// leader in batches: in full if the worker's holdings are new to the leader, else as contact only.
/// So the leader's work grows with the number of changes, and all servers share the parsing of
/// heartbeats.
///
/// Invariant: a heartbeat is taken only if it matches the committed record of its worker. The owner
/// must ensure that this server has contact with the leader: a heartbeat taken without it would be
/// acknowledged while the leader considers the worker unresponsive.
class HeartbeatRelay {
 public:
  /// @return true if the heartbeat was taken; otherwise the leader has to decide on it.
  bool take(const Heartbeat& heartbeat, const CellState& state);
  /// Drops all state, as a new leader knows nothing of what was sent to the previous one.
  void leaderChanged();
  /// Schedules full heartbeats of workers whose holdings the leader does not know.
  void requestFull(const HeartbeatRequest& request);

  /// @return the batch to send to the leader now, if one is due.
  std::optional<HeartbeatBatch> takeBatch(base::TimePoint now);
  /// @return when the next batch is due; kNever: not before another heartbeat.
  base::TimePoint nextBatch() const;
  /// @return the number of workers that recently sent heartbeats to this server.
  std::size_t workerCount() const { return workers_.size(); }

  /// @name Time between two batches: if some heartbeat has changes, and if none has
  /// @{
  static constexpr base::Duration kChangeSpacing = std::chrono::milliseconds(10);
  static constexpr base::Duration kBatchInterval = std::chrono::milliseconds(100);
  /// @}
  /// Most full heartbeats in one batch: some ms of the leader's time.
  static constexpr std::size_t kMaxFullHeartbeats = 64;

 private:
  struct Worker {
    Heartbeat latest;
    std::uint64_t hash = 0;
    bool sentInFull = false;
  };

  void removeForgotten(const CellState& state);

  std::map<WorkerId, Worker> workers_;
  std::set<WorkerId> changed_;   ///< Workers to be reported in full.
  std::set<WorkerId> contacts_;  ///< Workers to be reported as contact; none is in `changed_`.
  base::TimePoint lastBatchAt_;
  std::uint64_t workerChanges_ = 0;  ///< Count of CellState's worker changes, as last processed.
};

}  // namespace walnut::registry
