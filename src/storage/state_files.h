#pragma once
/// @file
/// Files that are replaced atomically: identity, vote and snapshot. The new contents are written to
/// a temporary file and synced, the file is renamed over the old one, and the folder is synced.

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "storage/checked_block.h"
#include "storage/segment.h"
#include "walnut/base/ids.h"
#include "walnut/consensus/messages.h"
#include "walnut/storage/file_system.h"

namespace walnut::storage {

inline constexpr const char* kIdentityFile = "identity";
inline constexpr const char* kVoteFile = "vote";
inline constexpr const char* kSnapshotFile = "snapshot";
inline constexpr const char* kTemporarySuffix = ".tmp";

/// Maximum size of a snapshot. The state of a cell takes some MiB; the limit prevents an allocation
/// of a damaged size.
inline constexpr std::uint64_t kMaxSnapshotBytes = 1U << 30U;

/// Contents of the snapshot file: the snapshot and the start of the log that continues it.
struct SnapshotFile {
  SegmentNumber firstSegment = 1;  ///< Segments with lower numbers are invalid.
  consensus::Snapshot snapshot;
  consensus::HardState hardState;  ///< Latest one when the file was written.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(firstSegment, snapshot, hardState);
  }
};

/// Names of the files in a folder.
using FileNames = std::set<std::string>;

/// Reader and writer of the state files of a folder. All methods report failures as `fileError`;
/// the read methods also report `corruptFile`.
class StateFiles {
 public:
  explicit StateFiles(FileSystem& files) : files_(files) {}

  /// Removes temporary files that an interrupted replacement left behind.
  base::Result<void> removeTemporaries(FileNames& names);

  base::Result<base::ServerId> readIdentity();
  /// @return the vote file's contents: the hard state is in the log, but for that of earlier
  /// builds.
  base::Result<consensus::HardState> readVote();
  base::Result<SnapshotFile> readSnapshot();

  /// Writes the identity and an empty vote into a folder that has neither. After a crash within
  /// this, either file may be there without the other.
  base::Result<void> writeFirst(base::ServerId identity);
  /// Fails with `inputTooLarge` before it writes anything.
  base::Result<void> writeSnapshot(const SnapshotFile& snapshot);

 private:
  base::Result<std::string> readPayload(BlockKind kind, const std::string& name);
  base::Result<std::unique_ptr<AppendFile>> openTemporary(BlockKind kind, const std::string& name,
                                                          std::string_view payload);
  base::Result<void> replace(BlockKind kind, const std::string& name, std::string_view payload);

  FileSystem& files_;
};

}  // namespace walnut::storage
