#include "storage/segmented_log.h"

#include <algorithm>
#include <utility>

#include "storage/checked_block.h"

namespace walnut::storage {

namespace {

void eraseFrom(std::vector<consensus::LogEntry>& entries, consensus::LogIndex index) {
  while (!entries.empty() && entries.back().index >= index) {
    entries.pop_back();
  }
}

}  // namespace

consensus::HardState laterHardState(const consensus::HardState& left,
                                    const consensus::HardState& right) {
  if (left.term != right.term) {
    return left.term < right.term ? right : left;
  }
  return left.votedFor == base::ServerId{} ? right : left;
}

base::Result<RecoveredLog> SegmentedLog::recover(const FileNames& names, SegmentNumber firstSegment,
                                                 consensus::LogIndex snapshotIndex) {
  segments_.clear();
  stale_.clear();
  last_.reset();
  needsSync_ = true;
  nextNumber_ = firstSegment;
  snapshotIndex_ = snapshotIndex;
  BOOST_OUTCOME_TRY(numbers, selectSegments(names, firstSegment));
  RecoveredLog log;
  for (const SegmentNumber number : numbers) {
    BOOST_OUTCOME_TRY(replaySegment(number, number == numbers.back(), log));
  }
  lastIndex_ = log.entries.empty() ? snapshotIndex : log.entries.back().index;
  BOOST_OUTCOME_TRY(openLast());
  return log;
}

base::Result<std::vector<SegmentNumber>> SegmentedLog::selectSegments(const FileNames& names,
                                                                      SegmentNumber first) {
  std::vector<SegmentNumber> numbers;
  for (const std::string& name : names) {
    const SegmentNumber number = segmentNumberOf(name);
    if (number == 0) {
      continue;
    }
    if (number < first) {
      stale_.push_back(name);
      continue;
    }
    if (!numbers.empty() && number != numbers.back() + 1) {
      return corruptFile(segmentFileName(numbers.back() + 1), "segment is missing");
    }
    numbers.push_back(number);
  }
  return numbers;
}

base::Result<void> SegmentedLog::replaySegment(SegmentNumber number, bool isLast,
                                               RecoveredLog& log) {
  const std::string name = segmentFileName(number);
  BOOST_OUTCOME_TRY(bytes, files_.read(name));
  BOOST_OUTCOME_TRY(parsed, parseSegment(number, bytes));
  if (parsed.end == SegmentEnd::damaged || (parsed.end == SegmentEnd::torn && !isLast)) {
    return corruptFile(name, "damaged at byte " + std::to_string(parsed.intactBytes));
  }
  if (parsed.end == SegmentEnd::torn) {
    BOOST_OUTCOME_TRY(truncateTail(number, parsed));
  }
  nextNumber_ = number;
  if (!parsed.headerIntact) {
    return base::success();
  }
  nextNumber_ = number + 1;
  BOOST_OUTCOME_TRY(checkPosition(parsed));
  Segment segment{number, parsed.intactBytes, parsed.lastChecksum, 0,
                  isLast ? parsed.syncedBytes : parsed.intactBytes};
  for (const LogFrame& frame : parsed.frames) {
    BOOST_OUTCOME_TRY(replayFrame(frame, segment, log));
  }
  segments_.push_back(segment);
  return base::success();
}

base::Result<void> SegmentedLog::checkPosition(const ParsedSegment& parsed) const {
  if (segments_.empty()) {
    return base::success();
  }
  const Segment& previous = segments_.back();
  if (parsed.header.previousBytes != previous.bytes ||
      parsed.header.previousChecksum != previous.lastChecksum) {
    return corruptFile(segmentFileName(previous.number), "ends before its last frame");
  }
  return base::success();
}

base::Result<void> SegmentedLog::replayFrame(const LogFrame& frame, Segment& segment,
                                             RecoveredLog& log) {
  std::vector<consensus::LogEntry>& entries = log.entries;
  log.hardState = laterHardState(log.hardState, frame.hardState.value_or(consensus::HardState{}));
  if (frame.truncateFrom != 0) {
    eraseFrom(entries, frame.truncateFrom);
  }
  for (const consensus::LogEntry& entry : frame.entries) {
    segment.greatestIndex = std::max(segment.greatestIndex, entry.index);
    if (entry.index <= snapshotIndex_) {
      continue;
    }
    const consensus::LogIndex last = entries.empty() ? snapshotIndex_ : entries.back().index;
    if (entry.index != last + 1) {
      return corruptFile(segmentFileName(segment.number),
                         "entry " + std::to_string(entry.index) + " follows entry " +
                             std::to_string(last) + ": an earlier file is missing or damaged");
    }
    entries.push_back(entry);
  }
  return base::success();
}

base::Result<void> SegmentedLog::truncateTail(SegmentNumber number, const ParsedSegment& parsed) {
  const std::string name = segmentFileName(number);
  if (parsed.headerIntact) {
    return files_.truncate(name, parsed.intactBytes);
  }
  // No part of the segment was ever synced, so it is removed and created again.
  return files_.remove(name);
}

base::Result<void> SegmentedLog::openLast() {
  if (segments_.empty()) {
    return base::success();
  }
  BOOST_OUTCOME_TRY(file, files_.openForAppend(segmentFileName(segments_.back().number)));
  last_ = std::move(file);
  return base::success();
}

SegmentNumber SegmentedLog::firstSegment() const {
  return segments_.empty() ? nextNumber_ : segments_.front().number;
}

base::Result<consensus::LogIndex> SegmentedLog::checkContinues(const LogFrame& frame) const {
  consensus::LogIndex last = lastIndex_;
  if (frame.truncateFrom != 0) {
    if (frame.truncateFrom <= snapshotIndex_) {
      return base::Error{base::ErrorCode::internal, "truncateFrom", "inside the snapshot"};
    }
    last = std::min(last, frame.truncateFrom - 1);
  }
  for (const consensus::LogEntry& entry : frame.entries) {
    if (entry.index != last + 1) {
      return base::Error{base::ErrorCode::internal, "entries", "a batch leaves a gap in the log"};
    }
    last = entry.index;
  }
  return last;
}

base::Result<void> SegmentedLog::append(const LogFrame& frame,
                                        const consensus::HardState& hardState) {
  BOOST_OUTCOME_TRY(last, checkContinues(frame));
  if (startsNewSegment()) {
    LogFrame first = frame;
    if (hardState != consensus::HardState{}) {
      first.hardState = hardState;
    }
    BOOST_OUTCOME_TRY(appendToNew(first));
  } else {
    BOOST_OUTCOME_TRY(writeToLast(frame));
    BOOST_OUTCOME_TRY(syncLast());
  }
  updateGreatestIndex(frame);
  lastIndex_ = last;
  return base::success();
}

base::Result<UnsyncedFrame> SegmentedLog::write(const LogFrame& frame) {
  BOOST_OUTCOME_TRY(last, checkContinues(frame));
  BOOST_OUTCOME_TRY(writeToLast(frame));
  updateGreatestIndex(frame);
  lastIndex_ = last;
  return UnsyncedFrame{last_, segments_.back().bytes};
}

void SegmentedLog::synced(const UnsyncedFrame& frame) {
  std::uint64_t& syncedBytes = segments_.back().syncedBytes;
  syncedBytes = std::max(syncedBytes, frame.endOffset);
}

base::Result<void> SegmentedLog::writeToLast(const LogFrame& frame) {
  Segment& segment = segments_.back();
  BOOST_OUTCOME_TRY(encoded,
                    encodeFrame({segment.number, segment.bytes, segment.syncedBytes}, frame));
  BOOST_OUTCOME_TRY(last_->append(encoded.bytes));
  segment.bytes += encoded.bytes.size();
  segment.lastChecksum = encoded.checksum;
  return base::success();
}

base::Result<void> SegmentedLog::appendToNew(const LogFrame& frame) {
  BOOST_OUTCOME_TRY(syncRecovered());  // What the new segment continues, and the identity.
  SegmentHeader header;
  header.number = nextNumber_;
  if (!segments_.empty()) {
    header.previousBytes = segments_.back().bytes;
    header.previousChecksum = segments_.back().lastChecksum;
  }
  std::string bytes = encodeSegmentHeader(header);
  BOOST_OUTCOME_TRY(encoded, encodeFrame({header.number, bytes.size(), 0}, frame));
  bytes += encoded.bytes;
  BOOST_OUTCOME_TRY(file, files_.openForAppend(segmentFileName(header.number)));
  last_ = std::move(file);
  BOOST_OUTCOME_TRY(last_->append(bytes));
  BOOST_OUTCOME_TRY(files_.syncTogether({last_.get()}));
  segments_.push_back({header.number, bytes.size(), encoded.checksum, 0, bytes.size()});
  ++nextNumber_;
  return base::success();
}

/// Syncs the last segment and, for the first time since a recovery, the folder: a rename or a
/// creation on which the recovery relied may not have been synced before the crash.
base::Result<void> SegmentedLog::syncLast() {
  BOOST_OUTCOME_TRY(needsSync_ ? files_.syncTogether({last_.get()}) : last_->sync());
  segments_.back().syncedBytes = segments_.back().bytes;
  return std::exchange(needsSync_, false) ? removeStale() : base::success();
}

base::Result<void> SegmentedLog::syncRecovered() {
  if (!needsSync_) {
    return base::success();
  }
  if (last_ != nullptr) {
    return syncLast();
  }
  BOOST_OUTCOME_TRY(files_.syncFolder());
  needsSync_ = false;
  return removeStale();
}

base::Result<void> SegmentedLog::removeStale() {
  for (const std::string& name : std::exchange(stale_, {})) {
    BOOST_OUTCOME_TRY(files_.remove(name));
  }
  return base::success();
}

void SegmentedLog::updateGreatestIndex(const LogFrame& frame) {
  if (!frame.entries.empty()) {
    consensus::LogIndex& greatest = segments_.back().greatestIndex;
    greatest = std::max(greatest, frame.entries.back().index);
  }
}

base::Result<void> SegmentedLog::replaceBySnapshot(consensus::LogIndex snapshotIndex) {
  last_.reset();
  for (const Segment& segment : segments_) {
    // Needs no folder sync: recovery ignores segments below the snapshot's first segment.
    BOOST_OUTCOME_TRY(files_.remove(segmentFileName(segment.number)));
  }
  segments_.clear();
  snapshotIndex_ = snapshotIndex;
  lastIndex_ = snapshotIndex;
  return base::success();
}

base::Result<void> SegmentedLog::removeUpTo(consensus::LogIndex index) {
  const consensus::LogIndex covered = std::min(index, snapshotIndex_);
  while (segments_.size() > 1 && segments_.front().greatestIndex <= covered) {
    BOOST_OUTCOME_TRY(files_.remove(segmentFileName(segments_.front().number)));
    BOOST_OUTCOME_TRY(files_.syncFolder());
    segments_.erase(segments_.begin());
  }
  return base::success();
}

}  // namespace walnut::storage
