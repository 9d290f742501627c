#pragma once
/// @file
/// Interface to the durable state of one server: log, vote and snapshot.

#include "walnut/base/error.h"
#include "walnut/base/ids.h"
#include "walnut/consensus/raft.h"

namespace walnut::storage {

/// Durable storage of the consensus logic. A batch is durable when `persist` returns. After a crash
/// during `persist`, `recover` returns the state after some prefix of the batch's effects, never a
/// mixture. After an error the process must stop: the state on disk is unknown until the next
/// `recover`.
class LogStorage {
 public:
  virtual ~LogStorage() = default;

  /// Reads the state from the folder. A torn tail of the last segment is truncated; damage anywhere
  /// else is reported as `corruptFile`. Nothing is synced: what was read may be lost until the
  /// first `persist` of a batch that is not empty returns, a fresh identity too.
  /// @param freshIdentity identity to use if the folder has none yet.
  virtual base::Result<consensus::RecoveredState> recover(base::ServerId freshIdentity) = 0;

  /// Writes and syncs the batch, in the order given at PersistBatch. May be called by several
  /// threads at the same time for batches with numbers, which are written in their order; syncs of
  /// batches that may overlap run at the same time.
  virtual base::Result<void> persist(const consensus::PersistBatch& batch) = 0;
};

}  // namespace walnut::storage
