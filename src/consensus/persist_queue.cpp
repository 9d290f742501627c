#include "consensus/persist_queue.h"

#include <algorithm>
#include <utility>

namespace walnut::consensus {

PersistQueue::PersistQueue(const HardState& durable, LogIndex lastIndex)
    : handedIndex_(lastIndex),
      batchHardState_(durable),
      durableIndex_(lastIndex),
      durableHardState_(durable) {}

void PersistQueue::hardStateChanged(const HardState& hardState) { pending_.hardState = hardState; }

void PersistQueue::logTruncated(LogIndex index) {
  if (index > handedIndex_) {
    return;  // The entries were never passed to storage.
  }
  handedIndex_ = index - 1;
  batchIndex_ = std::min(batchIndex_, handedIndex_);
  durableIndex_ = std::min(durableIndex_, handedIndex_);
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
  handedIndex_ = snapshot.lastIndex;
  batchIndex_ = 0;
  durableIndex_ = 0;
}

PersistBatch PersistQueue::take(const RaftLog& log) {
  PersistBatch batch = std::exchange(pending_, PersistBatch{});
  batch.entries = log.range(handedIndex_ + 1, log.lastIndex());
  if (batch.empty()) {
    return batch;
  }
  handedIndex_ = log.lastIndex();
  batchOut_ = true;
  batchIndex_ = handedIndex_;
  batchHardState_ = batch.hardState.value_or(batchHardState_);
  return batch;
}

void PersistQueue::onPersisted() {
  if (!batchOut_) {
    return;
  }
  batchOut_ = false;
  durableIndex_ = batchIndex_;
  durableHardState_ = batchHardState_;
}

}  // namespace walnut::consensus
