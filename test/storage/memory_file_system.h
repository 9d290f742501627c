#pragma once
/// @file
/// In-memory file system that can fail at every operation and then loses unsynced data in a chosen
/// way. Deterministic: the tests loop over all ways.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "walnut/storage/file_system.h"

namespace walnut::storage::test {

/// Part of a file's unsynced bytes that a crash loses.
enum class DataLoss { all, half, zeroedEnd, zeroedStart, none };
/// Part of the unsynced creations, renames and removals that a crash loses.
enum class FolderLoss { all, newer, older, none };

/// Effect of a crash on unsynced data.
struct Crash {
  DataLoss data = DataLoss::all;
  FolderLoss folder = FolderLoss::all;
};

/// @return all combinations of losses.
std::vector<Crash> allCrashes();

/// Contents of one file: as the process sees it, and as synced.
struct MemoryFile {
  std::string data;
  std::string synced;
};

/// In-memory implementation of the file system with simulated failures and crashes.
class MemoryFileSystem : public FileSystem {
 public:
  base::Result<std::vector<std::string>> list() override;
  base::Result<std::string> read(const std::string& name) override;
  base::Result<std::unique_ptr<AppendFile>> openForAppend(const std::string& name) override;
  base::Result<void> truncate(const std::string& name, std::uint64_t bytes) override;
  base::Result<void> rename(const std::string& from, const std::string& to) override;
  base::Result<void> remove(const std::string& name) override;
  base::Result<void> syncFolder() override;

  /// Makes all operations after the next `operations` fail. If the first failing operation is an
  /// append, it writes half of its bytes; otherwise it has no effect.
  void failAfter(std::uint64_t operations) { operationsLeft_ = operations; }
  /// Simulates a crash and restart of the machine.
  void crash(const Crash& crash);

  /// Counts an operation.
  /// @return false if the operation must fail.
  bool countOperation();
  /// Replaces a file's contents to simulate damage; copies of this file system keep the old
  /// contents.
  void replaceContents(const std::string& name, const std::string& bytes);

 private:
  using Folder = std::map<std::string, std::shared_ptr<MemoryFile>>;
  /// Names changed by an operation; a null value means that the name was removed.
  using FolderChange = std::map<std::string, std::shared_ptr<MemoryFile>>;

  void change(const FolderChange& change);
  static void apply(const FolderChange& change, Folder& folder);

  Folder folder_;
  Folder durableFolder_;
  std::vector<FolderChange> unsynced_;
  std::optional<std::uint64_t> operationsLeft_;
};

}  // namespace walnut::storage::test
