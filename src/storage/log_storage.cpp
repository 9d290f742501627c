#include "walnut/storage/log_storage.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

#include "storage/checked_block.h"
#include "storage/segmented_log.h"
#include "storage/state_files.h"
#include "walnut/factories.h"

namespace walnut::storage {

namespace {

/// Log storage in files of four types: "identity", "vote", "snapshot" and the segments "log-*".
///
/// A batch takes effect in the following steps. Each is durable before the next begins, and each is
/// atomic with respect to crashes: writing the snapshot file (which also contains the first segment
/// of the log that continues it, so that replacing the log is part of the same step), one frame
/// with truncation, entries and hard state, removal of segments. A recovery syncs nothing: what it
/// read is synced with the first batch, and the files of a new folder are written by it.
class SegmentedLogStorage : public LogStorage {
 public:
  SegmentedLogStorage(FileSystem& files, std::uint64_t segmentBytes)
      : files_(files), stateFiles_(files), log_(files, segmentBytes) {}

  base::Result<consensus::RecoveredState> recover(base::ServerId freshIdentity) override {
    recovered_ = false;
    nextBatch_ = 1;
    uninitialized_.reset();
    BOOST_OUTCOME_TRY(listed, files_.list());
    FileNames names(listed.begin(), listed.end());
    if (freshIdentity.value != 0 && holdsIdentityOnly(names)) {
      BOOST_OUTCOME_TRY(files_.remove(kIdentityFile));
      names.erase(kIdentityFile);
    }
    if (!names.contains(kIdentityFile)) {
      BOOST_OUTCOME_TRY(checkFresh(names, freshIdentity));
    }
    BOOST_OUTCOME_TRY(stateFiles_.removeTemporaries(names));
    consensus::RecoveredState state;
    state.needsSync = true;
    if (!names.contains(kIdentityFile)) {
      // A crash within the initialization may have left an empty vote file.
      BOOST_OUTCOME_TRY(removeIfPresent(kVoteFile, names));
      state.self = freshIdentity;
      uninitialized_ = freshIdentity;
    } else {
      BOOST_OUTCOME_TRY(readState(names, state));
    }
    BOOST_OUTCOME_TRY(snapshot, recoverSnapshot(names));
    BOOST_OUTCOME_TRY(log, log_.recover(names, snapshot.firstSegment, snapshot.snapshot.lastIndex));
    hardState_ = laterHardState(laterHardState(state.hardState, snapshot.hardState), log.hardState);
    state.hardState = hardState_;
    state.entries = std::move(log.entries);
    if (names.contains(kSnapshotFile)) {
      state.snapshot = std::move(snapshot.snapshot);
    }
    recovered_ = true;
    return state;
  }

  base::Result<void> persist(const consensus::PersistBatch& batch) override {
    std::unique_lock lock(mutex_);
    const bool isOrdered = batch.number != 0;
    changed_.wait(lock, [&] { return !isOrdered || !recovered_ || batch.number == nextBatch_; });
    if (!recovered_) {
      return base::Error{base::ErrorCode::internal, "persist", "not recovered since an error"};
    }
    base::Result<void> outcome = base::success();
    if (batch.mayOverlap() && !batch.empty() && !uninitialized_ && log_.mayWrite()) {
      outcome = persistOverlapping(batch, lock);
    } else {
      changed_.wait(lock, [&] { return syncing_ == 0; });
      outcome = recovered_ ? persistAlone(batch) : earlierBatchFailed();
      nextBatch_ = batch.number + 1;
    }
    recovered_ = recovered_ && outcome.has_value();
    changed_.notify_all();
    return outcome;
  }

 private:
  /// Writes a batch that only appends, and syncs it while others may be written.
  base::Result<void> persistOverlapping(const consensus::PersistBatch& batch,
                                        std::unique_lock<std::mutex>& lock) {
    hardState_ = batch.hardState.value_or(hardState_);
    nextBatch_ = batch.number + 1;
    BOOST_OUTCOME_TRY(frame, log_.write(frameOf(batch)));
    ++syncing_;
    changed_.notify_all();
    lock.unlock();
    base::Result<void> outcome = frame.file->sync();
    lock.lock();
    --syncing_;
    if (outcome.has_value()) {
      log_.synced(frame);
    }
    return recovered_ ? std::move(outcome) : earlierBatchFailed();
  }

  base::Result<void> persistAlone(const consensus::PersistBatch& batch) {
    if (uninitialized_ && !batch.empty()) {
      BOOST_OUTCOME_TRY(stateFiles_.writeFirst(*uninitialized_));
      uninitialized_.reset();
      log_.setSynced();
    }
    const bool appends = batch.truncateFrom || !batch.entries.empty() || batch.hardState;
    const bool replaces = batch.snapshot || batch.compactTo;
    if (replaces || (batch.syncsRecovered && !appends)) {
      BOOST_OUTCOME_TRY(log_.syncRecovered());
    }
    if (batch.snapshot) {
      BOOST_OUTCOME_TRY(saveSnapshot(batch));
    }
    if (appends) {
      hardState_ = batch.hardState.value_or(hardState_);
      BOOST_OUTCOME_TRY(log_.append(frameOf(batch), hardState_));
    }
    if (batch.compactTo) {
      BOOST_OUTCOME_TRY(log_.removeUpTo(*batch.compactTo));
    }
    return base::success();
  }

  /// After a failed sync, the success of a later one doesn't show that the file is as written.
  static base::Result<void> earlierBatchFailed() {
    return base::Error{base::ErrorCode::internal, "persist", "an earlier batch failed"};
  }

  static LogFrame frameOf(const consensus::PersistBatch& batch) {
    return {batch.truncateFrom.value_or(0), batch.entries, batch.hardState};
  }

  /// Checks that a folder without an identity never had one, and that a new one is given. Writes
  /// nothing.
  base::Result<void> checkFresh(const FileNames& names, base::ServerId freshIdentity) {
    for (const std::string& name : names) {
      if (name == kSnapshotFile || segmentNumberOf(name) != 0) {
        return corruptFile(kIdentityFile, "missing, but the folder holds " + name);
      }
    }
    if (names.contains(kVoteFile)) {
      BOOST_OUTCOME_TRY(vote, stateFiles_.readVote());
      if (vote != consensus::HardState{}) {
        return corruptFile(kIdentityFile, "missing, but the folder holds a vote");
      }
    }
    if (freshIdentity.value == 0) {
      return base::Error{base::ErrorCode::identityLost, kIdentityFile, "the folder holds none"};
    }
    return base::success();
  }

  /// @return true if the folder holds an identity and nothing else of the server's state: a crash
  /// cut short its initialization, so that the identity was never in use. A server whose files were
  /// lost later may begin with a fresh identity just as one whose disk was lost.
  static bool holdsIdentityOnly(const FileNames& names) {
    return names.contains(kIdentityFile) && !names.contains(kVoteFile) &&
           std::none_of(names.begin(), names.end(), [](const std::string& name) {
             return name == kSnapshotFile || segmentNumberOf(name) != 0;
           });
  }

  base::Result<void> removeIfPresent(const char* name, FileNames& names) {
    if (names.erase(name) > 0) {
      BOOST_OUTCOME_TRY(files_.remove(name));
    }
    return base::success();
  }

  /// Reads the identity and the vote file of a folder that was in use.
  base::Result<void> readState(const FileNames& names, consensus::RecoveredState& state) {
    if (!names.contains(kVoteFile)) {
      return corruptFile(kVoteFile, "missing, but the folder holds an identity");
    }
    BOOST_OUTCOME_TRY(identity, stateFiles_.readIdentity());
    BOOST_OUTCOME_TRY(vote, stateFiles_.readVote());
    state.self = identity;
    state.hardState = vote;
    return base::success();
  }

  /// @return the contents of the snapshot file, or defaults if there is none.
  base::Result<SnapshotFile> recoverSnapshot(const FileNames& names) {
    if (names.contains(kSnapshotFile)) {
      return stateFiles_.readSnapshot();
    }
    for (const std::string& name : names) {
      const SegmentNumber number = segmentNumberOf(name);
      if (number > 1 && !names.contains(segmentFileName(1))) {
        return corruptFile(kSnapshotFile, "missing, but the log begins with " + name);
      }
    }
    return SnapshotFile{};
  }

  base::Result<void> saveSnapshot(const consensus::PersistBatch& batch) {
    const bool replacesLog = batch.discardLog || batch.snapshot->lastIndex >= log_.lastIndex();
    SnapshotFile file;
    file.firstSegment = replacesLog ? log_.nextSegment() : log_.firstSegment();
    file.snapshot = *batch.snapshot;
    file.hardState = hardState_;
    BOOST_OUTCOME_TRY(stateFiles_.writeSnapshot(file));
    if (replacesLog) {
      return log_.replaceBySnapshot(file.snapshot.lastIndex);
    }
    log_.onSnapshotSaved(file.snapshot.lastIndex);
    return base::success();
  }

  FileSystem& files_;
  StateFiles stateFiles_;
  SegmentedLog log_;
  consensus::HardState hardState_;
  std::optional<base::ServerId> uninitialized_;  // Identity of a folder that has no files yet.
  std::mutex mutex_;
  std::condition_variable changed_;
  bool recovered_ = false;       // False after a `persist` failed.
  std::uint64_t nextBatch_ = 1;  // Number of the batch to write next.
  std::size_t syncing_ = 0;      // Batches that are written and being synced.
};

}  // namespace

std::unique_ptr<LogStorage> makeLogStorage(FileSystem& files, std::uint64_t segmentBytes) {
  return std::make_unique<SegmentedLogStorage>(files, segmentBytes);
}

}  // namespace walnut::storage
