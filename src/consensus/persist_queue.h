#pragma once
/// @file
/// Queue of changes for storage, which also tracks which changes are durable.

#include <cstddef>
#include <cstdint>
#include <deque>

#include "consensus/raft_log.h"
#include "walnut/consensus/raft.h"

namespace walnut::consensus {

/// Collects the changes that storage must write into the next batch, and tracks which are durable.
/// Invariants: several batches are in flight only if all of them may overlap; durableIndex() <=
/// lastBatchedIndex_ <= last log index.
class PersistQueue {
 public:
  /// @param hardState hard state recovered from disk.
  /// @param lastIndex index of the last entry of the recovered log.
  /// @param needsSync what was recovered is durable only with the first batch.
  /// @param maxInFlight batches that may be in flight at the same time.
  PersistQueue(const HardState& hardState, LogIndex lastIndex, bool needsSync,
               std::size_t maxInFlight);

  void hardStateChanged(const HardState& hardState);
  /// Records that the log has an entry on which elections or majorities depend: its batch needn't
  /// wait until one of the others is synced.
  void urgentEntryAppended() { isUrgent_ = true; }
  /// Records that the log entries with an index >= `index` were removed.
  void logTruncated(LogIndex index);
  /// Records a snapshot of the local state machine; entries up to `compactTo` were removed.
  void snapshotTaken(const Snapshot& snapshot, LogIndex compactTo);
  /// Records that a snapshot from the leader replaced the log.
  void snapshotInstalled(const Snapshot& snapshot);

  /// Asks for a batch even if nothing has changed, if what was recovered still needs a sync.
  void requestSync() { syncRequested_ = true; }
  /// @return the next batch, including all entries of `log` that were in no earlier batch.
  PersistBatch take(const RaftLog& log);
  /// @param batch number of the batch that is synced; kAllBatches: all in flight.
  /// @return the number of the latest batch that is durable with all before it.
  std::uint64_t onPersisted(std::uint64_t batch);

  /// @return true if another batch may be taken now.
  bool mayTake() const;
  bool isBatchInFlight() const { return !inFlight_.empty(); }
  /// @return the number of the latest batch.
  std::uint64_t latestBatch() const { return latestBatch_; }
  /// @return the last index that was put into a batch or recovered.
  LogIndex lastBatchedIndex() const { return lastBatchedIndex_; }
  /// @return the index up to which all entries are synced.
  LogIndex durableIndex() const { return durableIndex_; }
  /// @return the hard state that is synced; empty while what was recovered is not.
  const HardState& durableHardState() const { return durableHardState_; }
  /// @return true if what was recovered is synced.
  bool isRecoveryDurable() const { return !needsSync_ && !syncsRecovered_; }
  /// @return true while a hard state waits for a sync, but for the recovered one.
  bool isHardStateChanging() const;

 private:
  /// What is durable once a batch is synced.
  struct InFlight {
    std::uint64_t number = 0;
    LogIndex lastIndex = 0;  // lastBatchedIndex_ at its `take`, lowered by truncation.
    HardState hardState;
    bool changesHardState = false;
    bool mayOverlap = false;
    bool isSynced = false;  // It waits for an earlier one.
  };

  std::size_t maxInFlight_;
  PersistBatch pending_;       // Excludes entries: they stay in the log until `take`.
  LogIndex lastBatchedIndex_;  // Last index that was put into a batch or recovered.
  HardState batchedHardState_;
  std::deque<InFlight> inFlight_;  // Ordered from oldest to latest.
  std::uint64_t latestBatch_ = 0;
  std::uint64_t durableBatch_ = 0;
  bool syncsRecovered_ = false;  // A batch in flight syncs what was recovered.
  bool needsSync_;               // No batch has been taken that syncs what was recovered.
  bool syncRequested_ = false;
  bool isUrgent_ = false;  // The next batch is not held back by those of ordinary entries.

  LogIndex durableIndex_;
  HardState durableHardState_;
};

}  // namespace walnut::consensus
