#pragma once
/// @file
/// File system interface with the operations that storage needs. The production implementation is
/// POSIX; the simulator's implementation loses unsynced data, tears writes and loses whole disks.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "walnut/base/error.h"

namespace walnut::storage {

/// File opened for appending. Appended data is durable only after `sync`.
class AppendFile {
 public:
  virtual ~AppendFile() = default;
  virtual base::Result<void> append(std::string_view bytes) = 0;
  virtual base::Result<void> sync() = 0;
};

/// Operations on the files of one folder without subfolders. Creation, rename and removal are
/// durable only after `syncFolder`.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// @return the names of the files in the folder, in no particular order.
  virtual base::Result<std::vector<std::string>> list() = 0;
  virtual base::Result<std::string> read(const std::string& name) = 0;
  /// Opens the file for appending at its end; creates it if it is absent.
  virtual base::Result<std::unique_ptr<AppendFile>> openForAppend(const std::string& name) = 0;
  /// Truncates the file to `bytes` bytes; durable only after a sync of the file.
  virtual base::Result<void> truncate(const std::string& name, std::uint64_t bytes) = 0;
  virtual base::Result<void> rename(const std::string& from, const std::string& to) = 0;
  virtual base::Result<void> remove(const std::string& name) = 0;
  virtual base::Result<void> syncFolder() = 0;
  /// Syncs files of this folder and the folder itself, at the same time where that is possible.
  virtual base::Result<void> syncTogether(const std::vector<AppendFile*>& files) {
    for (AppendFile* file : files) {
      BOOST_OUTCOME_TRY(file->sync());
    }
    return syncFolder();
  }
};

}  // namespace walnut::storage
