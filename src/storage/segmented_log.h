#pragma once
/// @file
/// Write-ahead log in a sequence of segment files.
///
/// The log is a journal of frames. A truncation is part of a frame and never rewrites a file, so
/// that it takes effect atomically. Replaying the frames in order yields the entries.
///
/// Invariants: a segment is synced before the next one is created; at most the last segment has a
/// torn tail; the numbers of existing segments have no gap; a segment is removed only if a snapshot
/// covers every entry it ever held, and only after all older segments are durably removed; a
/// segment begins with the hard state of that time, so that no segment is kept for its hard state.

#include <memory>
#include <vector>

#include "storage/segment.h"
#include "storage/state_files.h"
#include "walnut/consensus/messages.h"
#include "walnut/storage/file_system.h"

namespace walnut::storage {

/// Contents of the log.
struct RecoveredLog {
  std::vector<consensus::LogEntry> entries;  ///< From the one after the snapshot on.
  consensus::HardState hardState;            ///< Latest one in the log; empty if it has none.
};

/// Frame that was written and is not synced.
struct UnsyncedFrame {
  std::shared_ptr<AppendFile> file;  ///< To sync.
  std::uint64_t endOffset = 0;       ///< End of the frame in its segment.
};

/// @return the later of two hard states of a server.
consensus::HardState laterHardState(const consensus::HardState& left,
                                    const consensus::HardState& right);

/// Log of one folder: appends to, replays and removes its segments.
class SegmentedLog {
 public:
  SegmentedLog(FileSystem& files, std::uint64_t segmentBytes)
      : files_(files), segmentBytes_(segmentBytes) {}

  /// Reads all segments and truncates a torn tail of the last one. Nothing is synced before the
  /// first `append` or `syncRecovered`.
  /// @param names names of the files in the folder.
  /// @param firstSegment number of the first valid segment; lower ones are ignored and removed by
  /// the first sync.
  /// @param snapshotIndex last index covered by the snapshot.
  base::Result<RecoveredLog> recover(const FileNames& names, SegmentNumber firstSegment,
                                     consensus::LogIndex snapshotIndex);

  /// Appends and syncs one frame, and with it what was recovered.
  /// @param hardState latest hard state, that of the frame included.
  /// @return `internal`, with nothing written, if the frame would leave a gap in the log.
  base::Result<void> append(const LogFrame& frame, const consensus::HardState& hardState);
  /// @return true if the next frame goes into a segment that is in use, so that `write` may be
  /// called for it.
  bool mayWrite() const { return !needsSync_ && !startsNewSegment(); }
  /// Appends a frame without a sync. Until `synced` has been called for the last such frame,
  /// nothing but `write` may change the log.
  base::Result<UnsyncedFrame> write(const LogFrame& frame);
  /// Records that a frame has been synced.
  void synced(const UnsyncedFrame& frame);
  /// Syncs what was recovered, unless that has been done.
  base::Result<void> syncRecovered();
  /// Records that the log is empty and the folder synced.
  void setSynced() { needsSync_ = false; }

  /// @return the number of the oldest segment; the log from there on continues the snapshot.
  SegmentNumber firstSegment() const;
  /// @return the number of the first segment of a log that would replace this one.
  SegmentNumber nextSegment() const { return nextNumber_; }
  consensus::LogIndex lastIndex() const { return lastIndex_; }

  /// Records that a durable snapshot covers the entries up to `snapshotIndex`, which is below the
  /// last index of the log.
  void onSnapshotSaved(consensus::LogIndex snapshotIndex) { snapshotIndex_ = snapshotIndex; }
  /// Removes all entries; called once the snapshot that replaces them is durable.
  base::Result<void> replaceBySnapshot(consensus::LogIndex snapshotIndex);
  /// Removes the oldest segments, as long as all their entries are <= `index` and covered by the
  /// snapshot.
  base::Result<void> removeUpTo(consensus::LogIndex index);

 private:
  struct Segment {
    SegmentNumber number = 0;
    std::uint64_t bytes = 0;
    std::uint64_t lastChecksum = 0;
    consensus::LogIndex greatestIndex = 0;  // Highest index of all entries ever written to it.
    std::uint64_t syncedBytes = 0;
  };

  base::Result<std::vector<SegmentNumber>> selectSegments(const FileNames& names,
                                                          SegmentNumber first);
  base::Result<void> replaySegment(SegmentNumber number, bool isLast, RecoveredLog& log);
  base::Result<void> checkPosition(const ParsedSegment& parsed) const;
  base::Result<void> replayFrame(const LogFrame& frame, Segment& segment, RecoveredLog& log);
  base::Result<void> truncateTail(SegmentNumber number, const ParsedSegment& parsed);
  base::Result<void> openLast();
  bool startsNewSegment() const {
    return segments_.empty() || segments_.back().bytes >= segmentBytes_;
  }
  /// @return the last index of the log after the frame.
  base::Result<consensus::LogIndex> checkContinues(const LogFrame& frame) const;
  base::Result<void> writeToLast(const LogFrame& frame);
  base::Result<void> appendToNew(const LogFrame& frame);
  base::Result<void> syncLast();
  base::Result<void> removeStale();
  void updateGreatestIndex(const LogFrame& frame);

  FileSystem& files_;
  std::uint64_t segmentBytes_;
  std::vector<Segment> segments_;     // Ordered from oldest to newest.
  std::shared_ptr<AppendFile> last_;  // File of segments_.back(); null if there is none.
  bool needsSync_ = false;            // The last segment and the folder, since a recovery.
  std::vector<std::string> stale_;    // Files to remove once the snapshot is known to be synced.
  SegmentNumber nextNumber_ = 1;      // Number of the next segment to create.
  consensus::LogIndex snapshotIndex_ = 0;
  consensus::LogIndex lastIndex_ = 0;  // Last index of log or snapshot, the higher one.
};

}  // namespace walnut::storage
