#pragma once
/// @file
/// Queue of changes for storage, which also tracks which changes are durable.

#include <optional>

#include "consensus/raft_log.h"
#include "walnut/consensus/raft.h"

namespace walnut::consensus {

/// Collects the changes that storage must write into the next batch, and tracks which are durable.
/// Invariants: at most one batch is in flight; durableIndex() <= lastBatchedIndex_ <= last log
/// index.
class PersistQueue {
 public:
  /// @param durable hard state recovered from disk.
  /// @param lastIndex index of the last entry of the recovered log.
  PersistQueue(const HardState& durable, LogIndex lastIndex);

  void hardStateChanged(const HardState& hardState);
  /// Records that the log entries with an index >= `index` were removed.
  void logTruncated(LogIndex index);
  /// Records a snapshot of the local state machine; entries up to `compactTo` were removed.
  void snapshotTaken(const Snapshot& snapshot, LogIndex compactTo);
  /// Records that a snapshot from the leader replaced the log.
  void snapshotInstalled(const Snapshot& snapshot);

  /// @return the next batch, including all entries of `log` that were in no earlier batch.
  PersistBatch take(const RaftLog& log);
  void onPersisted();

  bool isBatchInFlight() const { return batchInFlight_; }
  /// @return the last index that was put into a batch or recovered.
  LogIndex lastBatchedIndex() const { return lastBatchedIndex_; }
  /// @return the index up to which all entries are synced.
  LogIndex durableIndex() const { return durableIndex_; }
  const HardState& durableHardState() const { return durableHardState_; }

 private:
  PersistBatch pending_;       // Excludes entries: they stay in the log until `take`.
  LogIndex lastBatchedIndex_;  // Last index that was put into a batch or recovered.

  bool batchInFlight_ = false;
  LogIndex inFlightIndex_ = 0;  // lastBatchedIndex_ at the last `take`, lowered by truncation.
  HardState inFlightHardState_;

  LogIndex durableIndex_;
  HardState durableHardState_;
};

}  // namespace walnut::consensus
