#pragma once
/// @file
/// In-memory replacement for LogStorage that can crash in the middle of a batch.

#include <cstddef>
#include <optional>

#include "walnut/consensus/raft.h"

namespace walnut::consensus::test {

/// Simulated disk: the synced state of one server, and what its next process reads, which may hold
/// more after a crash of the process alone.
class MemoryDisk {
 public:
  explicit MemoryDisk(base::ServerId self) { state_.self = self; }

  /// Syncs a whole batch.
  void persist(const PersistBatch& batch) { persistPrefix(batch, effectCount(batch)); }
  /// Syncs only the first `effects` effects of a batch, as in a crash during the sync.
  void persistPrefix(const PersistBatch& batch, std::size_t effects);
  /// @return the number of effects of a batch; each entry counts as one.
  static std::size_t effectCount(const PersistBatch& batch);

  /// The process ends while a batch is being synced: the next one reads `effects` effects of it,
  /// which are not synced.
  void crashProcess(const PersistBatch& batch, std::size_t effects);
  /// The machine stops: what is not synced is lost.
  void crashMachine() { unsynced_.reset(); }

  /// @return what a process reads.
  RecoveredState recover() const { return unsynced_.value_or(state_); }
  const RecoveredState& state() const { return state_; }
  LogIndex lastIndex() const;

 private:
  RecoveredState state_;  // Its entries begin after the snapshot.
  std::optional<RecoveredState> unsynced_;
};

}  // namespace walnut::consensus::test
