#include "consensus/persist_queue.h"

#include <algorithm>
#include <utility>

namespace walnut::consensus {

PersistQueue::PersistQueue(const HardState& durable, LogIndex lastIndex)
    : lastBatchedIndex_(lastIndex),
      inFlightHardState_(durable),
      durableIndex_(lastIndex),
      durableHardState_(durable) {}

void PersistQueue::hardStateChanged(const HardState& hardState) { pending_.hardState = hardState; }

void PersistQueue::logTruncated(LogIndex index) {
  if (index > lastBatchedIndex_) {
    return;  // The entries were never passed to storage.
  }
  lastBatchedIndex_ = index - 1;
  inFlightIndex_ = std::min(inFlightIndex_, lastBatchedIndex_);
  durableIndex_ = std::min(durableIndex_, lastBatchedIndex_);
  pending_.truncateFrom = std::min(pending_.truncateFrom.value_or(index), index);
}

void PersistQueue::snapshotTaken(const Snapshot& snapshot, LogIndex compactTo) {
  pending_.snapshot = snapshot;
  pending_.compactTo = compactTo;
}

void PersistQueue::snapshotInstalled(const Snapshot& snapshot) {
  pending_.snapshot = snapshot;
  pending_.discardLog = true;
  pending_.truncateFrom.reset();
  pending_.compactTo.reset();
  lastBatchedIndex_ = snapshot.lastIndex;
  inFlightIndex_ = 0;
  durableIndex_ = 0;
}

PersistBatch PersistQueue::take(const RaftLog& log) {
  PersistBatch batch = std::exchange(pending_, PersistBatch{});
  batch.entries = log.range(lastBatchedIndex_ + 1, log.lastIndex());
  if (batch.empty()) {
    return batch;
  }
  lastBatchedIndex_ = log.lastIndex();
  batchInFlight_ = true;
  inFlightIndex_ = lastBatchedIndex_;
  inFlightHardState_ = batch.hardState.value_or(inFlightHardState_);
  return batch;
}

void PersistQueue::onPersisted() {
  if (!batchInFlight_) {
    return;
  }
  batchInFlight_ = false;
  durableIndex_ = inFlightIndex_;
  durableHardState_ = inFlightHardState_;
}

}  // namespace walnut::consensus
