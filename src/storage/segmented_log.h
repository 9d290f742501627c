#pragma once
/// @file
/// Write-ahead log in a sequence of segment files.
///
/// The log is a journal of frames. A truncation is part of a frame and never rewrites a file, so
/// that it takes effect atomically. Replaying the frames in order yields the entries.
///
/// Invariants: a segment is synced before the next one is created; at most the last segment has a
/// torn tail; the numbers of existing segments have no gap; a segment is removed only if a snapshot
/// covers every entry it ever held, and only after all older segments are durably removed.

#include <memory>
#include <vector>

#include "storage/segment.h"
#include "storage/state_files.h"
#include "walnut/consensus/messages.h"
#include "walnut/storage/file_system.h"

namespace walnut::storage {

/// Log of one folder: appends to, replays and removes its segments.
class SegmentedLog {
 public:
  SegmentedLog(FileSystem& files, std::uint64_t segmentBytes)
      : files_(files), segmentBytes_(segmentBytes) {}

  /// Reads all segments, truncates a torn tail of the last one and syncs the remainder.
  /// @param names names of the files in the folder.
  /// @param firstSegment number of the first valid segment; lower ones are removed.
  /// @param snapshotIndex last index covered by the snapshot.
  /// @return the entries from snapshotIndex + 1 on.
  base::Result<std::vector<consensus::LogEntry>> recover(const FileNames& names,
                                                         SegmentNumber firstSegment,
                                                         consensus::LogIndex snapshotIndex);

  /// Appends and syncs one frame.
  /// @return `internal`, with nothing written, if the frame would leave a gap in the log.
  base::Result<void> append(const LogFrame& frame);

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
  };

  base::Result<std::vector<SegmentNumber>> selectSegments(const FileNames& names,
                                                          SegmentNumber first);
  base::Result<void> replaySegment(SegmentNumber number, bool isLast,
                                   std::vector<consensus::LogEntry>& entries);
  base::Result<void> checkPosition(const ParsedSegment& parsed) const;
  base::Result<void> replayFrame(const LogFrame& frame, Segment& segment,
                                 std::vector<consensus::LogEntry>& entries);
  base::Result<void> truncateTail(SegmentNumber number, const ParsedSegment& parsed);
  base::Result<void> openLast();
  base::Result<void> appendToLast(const LogFrame& frame);
  base::Result<void> appendToNew(const LogFrame& frame);
  void updateGreatestIndex(const LogFrame& frame);

  FileSystem& files_;
  std::uint64_t segmentBytes_;
  std::vector<Segment> segments_;     // Ordered from oldest to newest.
  std::unique_ptr<AppendFile> last_;  // File of segments_.back(); null if there is none.
  SegmentNumber nextNumber_ = 1;      // Number of the next segment to create.
  consensus::LogIndex snapshotIndex_ = 0;
  consensus::LogIndex lastIndex_ = 0;  // Last index of log or snapshot, the higher one.
};

}  // namespace walnut::storage
