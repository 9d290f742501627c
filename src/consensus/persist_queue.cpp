#include "consensus/persist_queue.h"

#include <algorithm>
#include <utility>

namespace walnut::consensus {

namespace {

/// Batches in flight beyond the limit that are kept for urgent ones.
constexpr std::size_t kReservedBatches = 3;

}  // namespace

PersistQueue::PersistQueue(const HardState& hardState, LogIndex lastIndex, bool needsSync,
                           std::size_t maxInFlight)
    : maxInFlight_(maxInFlight),
      lastBatchedIndex_(lastIndex),
      batchedHardState_(hardState),
      needsSync_(needsSync),
      durableIndex_(needsSync ? 0 : lastIndex),
      durableHardState_(needsSync ? HardState{} : hardState) {}

void PersistQueue::hardStateChanged(const HardState& hardState) {
  pending_.hardState = hardState;
  isUrgent_ = true;
}

void PersistQueue::logTruncated(LogIndex index) {
  if (index > lastBatchedIndex_) {
    return;  // The entries were never passed to storage.
  }
  lastBatchedIndex_ = index - 1;
  for (InFlight& batch : inFlight_) {
    batch.lastIndex = std::min(batch.lastIndex, lastBatchedIndex_);
  }
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
  for (InFlight& batch : inFlight_) {
    batch.lastIndex = 0;
  }
  durableIndex_ = 0;
}

bool PersistQueue::mayTake() const {
  if (inFlight_.empty()) {
    return true;
  }
  const bool reserved = isUrgent_ && maxInFlight_ > 1;
  return inFlight_.size() < maxInFlight_ + (reserved ? kReservedBatches : 0) &&
         inFlight_.back().mayOverlap && pending_.mayOverlap();
}

bool PersistQueue::isHardStateChanging() const {
  return pending_.hardState ||
         std::any_of(inFlight_.begin(), inFlight_.end(),
                     [](const InFlight& batch) { return batch.changesHardState; });
}

PersistBatch PersistQueue::take(const RaftLog& log) {
  PersistBatch batch = std::exchange(pending_, PersistBatch{});
  batch.entries = log.range(lastBatchedIndex_ + 1, log.lastIndex());
  batch.syncsRecovered = needsSync_ && (syncRequested_ || !batch.empty());
  if (batch.empty()) {
    return batch;
  }
  isUrgent_ = false;
  batch.number = ++latestBatch_;
  lastBatchedIndex_ = log.lastIndex();
  batchedHardState_ = batch.hardState.value_or(batchedHardState_);
  if (batch.syncsRecovered) {
    needsSync_ = false;
    syncsRecovered_ = true;
  }
  inFlight_.push_back({batch.number, lastBatchedIndex_, batchedHardState_,
                       batch.hardState.has_value(), batch.mayOverlap(), false});
  return batch;
}

/// Batches count in their order: a sync that fails may leave the data of its batch unwritten,
/// though a later sync of the same file succeeds.
std::uint64_t PersistQueue::onPersisted(std::uint64_t batch) {
  for (InFlight& each : inFlight_) {
    each.isSynced = each.isSynced || batch == kAllBatches || each.number == batch;
  }
  while (!inFlight_.empty() && inFlight_.front().isSynced) {
    durableIndex_ = inFlight_.front().lastIndex;
    durableHardState_ = inFlight_.front().hardState;
    syncsRecovered_ = false;
    durableBatch_ = inFlight_.front().number;
    inFlight_.pop_front();
  }
  return durableBatch_;
}

}  // namespace walnut::consensus
