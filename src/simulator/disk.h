#pragma once
/// @file
/// Simulated disk behind storage::FileSystem: unsynced data may be lost or torn at a crash, and a
/// crash can be armed to fall after a number of operations, in the middle of a batch.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "walnut/base/random.h"
#include "walnut/storage/file_system.h"

namespace walnut::simulator {

/// Contents of one file: what the process sees, and what would survive a crash.
struct DiskFile {
  std::string data;
  std::string synced;
};

/// One machine's disk. It outlives the processes that use it.
class Disk : public storage::FileSystem {
 public:
  explicit Disk(std::uint64_t seed) : random_(seed) {}

  base::Result<std::vector<std::string>> list() override;
  base::Result<std::string> read(const std::string& name) override;
  base::Result<std::unique_ptr<storage::AppendFile>> openForAppend(
      const std::string& name) override;
  base::Result<void> truncate(const std::string& name, std::uint64_t bytes) override;
  base::Result<void> rename(const std::string& from, const std::string& to) override;
  base::Result<void> remove(const std::string& name) override;
  base::Result<void> syncFolder() override;

  /// All operations after the next `operations` ones fail until `crash` is called.
  void armFailure(std::uint64_t operations) { operationsLeft_ = operations; }
  void disarm() { operationsLeft_.reset(); }

  /// The machine stops: what was not synced is lost, kept in part, or torn; by the disk's seed.
  void crash();

  /// The disk is replaced by an empty one.
  void lose();

  /// Sabotage: from now on `sync` succeeds without making anything durable.
  void ignoreSyncs() { ignoresSyncs_ = true; }

  /// Counts an operation of an open file. @return false once the armed failure has been reached.
  bool admitOperation();
  bool ignoresSyncs() const { return ignoresSyncs_; }
  /// @return how many crashes so far left a torn write behind.
  std::uint64_t tornWrites() const { return tornWrites_; }

 private:
  using Folder = std::map<std::string, std::shared_ptr<DiskFile>>;

  Folder folder_;         ///< As the process sees it.
  Folder durableFolder_;  ///< As of the last syncFolder.
  std::optional<std::uint64_t> operationsLeft_;
  bool ignoresSyncs_ = false;
  std::uint64_t tornWrites_ = 0;
  base::Random random_;
};

}  // namespace walnut::simulator
