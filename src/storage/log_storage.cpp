#include "walnut/storage/log_storage.h"

#include <algorithm>
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
/// with truncation and entries, the vote file, removal of segments.
class SegmentedLogStorage : public LogStorage {
 public:
  SegmentedLogStorage(FileSystem& files, std::uint64_t segmentBytes)
      : files_(files), stateFiles_(files), log_(files, segmentBytes) {}

  base::Result<consensus::RecoveredState> recover(base::ServerId freshIdentity) override {
    recovered_ = false;
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
    const bool isFresh = !names.contains(kIdentityFile);
    if (isFresh) {
      BOOST_OUTCOME_TRY(initialise(names, freshIdentity));
    }
    if (!names.contains(kVoteFile)) {
      return corruptFile(kVoteFile, "missing, but the folder holds an identity");
    }
    consensus::RecoveredState state;
    BOOST_OUTCOME_TRY(identity, stateFiles_.readIdentity());
    BOOST_OUTCOME_TRY(vote, stateFiles_.readVote());
    BOOST_OUTCOME_TRY(snapshot, recoverSnapshot(names));
    BOOST_OUTCOME_TRY(entries,
                      log_.recover(names, snapshot.firstSegment, snapshot.snapshot.lastIndex));
    state.self = identity;
    state.hardState = vote;
    state.entries = std::move(entries);
    if (names.contains(kSnapshotFile)) {
      state.snapshot = std::move(snapshot.snapshot);
    }
    if (!isFresh) {
      // A rename on which recovery relied may not have been synced before the crash.
      BOOST_OUTCOME_TRY(files_.syncFolder());
    }
    recovered_ = true;
    return state;
  }

  base::Result<void> persist(const consensus::PersistBatch& batch) override {
    if (!std::exchange(recovered_, false)) {
      return base::Error{base::ErrorCode::internal, "persist", "not recovered since an error"};
    }
    if (batch.snapshot) {
      BOOST_OUTCOME_TRY(saveSnapshot(batch));
    }
    if (batch.truncateFrom || !batch.entries.empty()) {
      BOOST_OUTCOME_TRY(log_.append({batch.truncateFrom.value_or(0), batch.entries}));
    }
    if (batch.hardState) {
      BOOST_OUTCOME_TRY(stateFiles_.writeVote(*batch.hardState));
    }
    if (batch.compactTo) {
      BOOST_OUTCOME_TRY(log_.removeUpTo(*batch.compactTo));
    }
    recovered_ = true;
    return base::success();
  }

 private:
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

  /// Initializes the folder with an identity and an empty vote, with one sync of the folder.
  base::Result<void> initialise(FileNames& names, base::ServerId freshIdentity) {
    BOOST_OUTCOME_TRY(stateFiles_.writeFirst(freshIdentity));
    names.insert({kVoteFile, kIdentityFile});
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
  bool recovered_ = false;  // Also false during `persist`, and after it failed.
};

}  // namespace

std::unique_ptr<LogStorage> makeLogStorage(FileSystem& files, std::uint64_t segmentBytes) {
  return std::make_unique<SegmentedLogStorage>(files, segmentBytes);
}

}  // namespace walnut::storage
