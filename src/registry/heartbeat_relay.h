#pragma once
/// @file
/// Heartbeats that a server which doesn't lead takes for the leader.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "registry/cell_state.h"
#include "walnut/base/time.h"
#include "walnut/registry/messages.h"

namespace walnut::registry {

/// Acknowledges heartbeats by which nothing replicated changes, and tells the leader of them in
/// batches: what a worker holds only when that is new to the leader, else that it was heard. So the
/// leader's work grows with what changes, and the reading of heartbeats is shared by all servers.
///
/// Invariant: a heartbeat is taken only if the worker's record is committed as the heartbeat says.
/// The owner sees to it that this server hears the leader: what it takes while it doesn't would be
/// acknowledged, and its worker held to be silent.
class HeartbeatRelay {
 public:
  /// @return true if the heartbeat is taken; else the leader has to decide on it.
  bool take(const Heartbeat& heartbeat, const CellState& state);
  /// Another leader is followed, who knows nothing of what was sent before.
  void leaderChanged();
  /// The leader doesn't know what these hold.
  void wanted(const HeartbeatsWanted& wanted);

  /// @return what to tell the leader now, if anything.
  std::optional<HeartbeatBatch> takeBatch(base::TimePoint now);
  /// @return when `takeBatch` has something; kNever: not without another heartbeat.
  base::TimePoint nextBatch() const;
  /// @return how many workers called here lately.
  std::size_t workerCount() const { return workers_.size(); }

  /// @name Between two batches: if some worker said something new, and else
  /// @{
  static constexpr base::Duration kChangeSpacing = std::chrono::milliseconds(10);
  static constexpr base::Duration kBatchInterval = std::chrono::milliseconds(100);
  /// @}
  /// Heartbeats in full in one batch, at most: some ms of the leader's time.
  static constexpr std::size_t kMostChanged = 64;

 private:
  struct Worker {
    Heartbeat latest;
    std::uint64_t hash = 0;
    bool toldInFull = false;
  };

  void forgetEnded(const CellState& state);

  std::map<WorkerId, Worker> workers_;
  std::set<WorkerId> changed_;  ///< To be told in full.
  std::set<WorkerId> heard_;    ///< To be told of; none is in `changed_`.
  base::TimePoint lastBatchAt_;
  std::uint64_t workerChanges_ = 0;  ///< Of the state, as taken.
};

}  // namespace walnut::registry
