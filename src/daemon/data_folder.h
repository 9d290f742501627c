#pragma once
/// @file
/// The data folder of a controller: its identity, and what was recovered from it.

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "walnut/base/time.h"
#include "walnut/consensus/raft.h"
#include "walnut/storage/file_system.h"
#include "walnut/storage/log_storage.h"

namespace walnut::daemon {

/// An opened data folder. The file system outlives the storage over it.
struct DataFolder {
  std::unique_ptr<storage::FileSystem> files;
  std::unique_ptr<storage::LogStorage> storage;
  consensus::RecoveredState recovered;
  /// Syncs of files and of the folder so far; null if they are not counted.
  std::shared_ptr<const std::atomic<std::uint64_t>> syncs;
  base::TimePoint openedAt;  ///< When the folder began to be opened.
};

/// Gives an empty folder (created if absent) a freshly drawn identity, durable on return.
/// @return the identity, or `alreadyExists` if the folder holds anything.
base::Result<base::ServerId> initDataFolder(const std::string& folder);

/// Opens a folder and recovers it.
/// @return `identityLost` if the folder has no identity: its disk may have been lost, and a server
/// must not come back under an identity that it has forgotten the votes of.
base::Result<DataFolder> openDataFolder(const std::string& folder, std::uint64_t segmentBytes);

/// @return true if the server has neither voted nor taken any entry.
bool isPristine(const consensus::RecoveredState& recovered);

}  // namespace walnut::daemon
