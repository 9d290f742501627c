#pragma once
/// @file
/// File format of a log segment: a checked block with the segment's position in the log, followed
/// by frames.
///
/// A frame contains what one `persist` appends and syncs. After a crash it is either complete or
/// absent. It states up to which byte the segment was synced when it was written: all that comes
/// before it, unless it is the first frame after a recovery. An intact frame therefore proves that
/// damage before that byte is damage of synced data. A frame's checksum includes its segment and
/// offset, so that stale or copied bytes are never accepted as a frame.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/consensus/messages.h"

namespace walnut::storage {

/// Segment number. Numbers increase by one and are never reused within a folder.
using SegmentNumber = std::uint64_t;

/// Position of a segment in the log.
struct SegmentHeader {
  SegmentNumber number = 0;
  std::uint64_t previousBytes = 0;     ///< Size of the previous segment; zero if none.
  std::uint64_t previousChecksum = 0;  ///< Checksum of the previous segment's last frame.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(number, previousBytes, previousChecksum);
  }
};

/// Change of the log: a truncation, then the entries to append, then the hard state.
struct LogFrame {
  consensus::LogIndex truncateFrom = 0;  ///< First index to remove; zero for no truncation.
  std::vector<consensus::LogEntry> entries;
  std::optional<consensus::HardState> hardState;
};

/// Condition of the end of a segment.
enum class SegmentEnd : std::uint8_t {
  intact,
  torn,     ///< Damaged, and nothing shows that the damaged bytes were ever synced.
  damaged,  ///< Damaged where an intact frame shows that the bytes were synced.
};

/// Contents of a segment up to the first damaged byte range.
struct ParsedSegment {
  SegmentHeader header;
  bool headerIntact = false;
  std::vector<LogFrame> frames;
  std::uint64_t intactBytes = 0;
  std::uint64_t lastChecksum = 0;  ///< Checksum of the last intact frame; zero if none.
  /// Bytes that are known to be synced, by the last intact frame.
  std::uint64_t syncedBytes = 0;
  SegmentEnd end = SegmentEnd::intact;
};

/// Encoded frame with its checksum.
struct EncodedFrame {
  std::string bytes;
  std::uint64_t checksum = 0;
};

/// Maximum payload size of a frame. Checked before writing and, when reading, before allocation.
/// Far above the size of a consensus batch (some MiB) and far below the memory of a small machine.
inline constexpr std::uint64_t kMaxFrameBytes = 256U << 20U;

/// @return the file name of the segment, such as "log-000000000000000c".
std::string segmentFileName(SegmentNumber number);
/// @return the segment number, or zero if `name` isn't the file name of a segment.
SegmentNumber segmentNumberOf(const std::string& name);

std::string encodeSegmentHeader(const SegmentHeader& header);

/// Position of a frame in a segment.
struct FramePosition {
  SegmentNumber number = 0;
  std::uint64_t offset = 0;
  std::uint64_t syncedBytes = 0;  ///< Bytes of the segment that are synced; at most `offset`.
};

/// Frames without a hard state at an offset up to which all is synced have the form that earlier
/// builds read; they report others as damage.
/// @return the encoded frame, or `inputTooLarge`.
base::Result<EncodedFrame> encodeFrame(const FramePosition& position, const LogFrame& frame);

/// Parses the contents of segment `number`. Damage is not an error but reported in `end`.
/// @return the contents; `unsupportedVersion` for a segment of another format version.
base::Result<ParsedSegment> parseSegment(SegmentNumber number, std::string_view bytes);

}  // namespace walnut::storage
