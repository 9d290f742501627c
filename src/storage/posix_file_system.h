#pragma once
/// @file
/// POSIX implementation of the file system interface for one folder. The folder is locked during
/// the object's lifetime, so that two processes never write the same log; the kernel releases the
/// lock when the process exits.

#include <memory>
#include <string>
#include <vector>

#include "walnut/storage/file_system.h"

namespace walnut::storage {

/// Owner of a file descriptor, which it closes on destruction.
class FileDescriptor {
 public:
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  FileDescriptor(FileDescriptor&& other) noexcept;
  FileDescriptor& operator=(FileDescriptor&&) = delete;
  ~FileDescriptor();

  int get() const { return descriptor_; }
  bool valid() const { return descriptor_ >= 0; }

 private:
  int descriptor_;
};

/// File operations relative to the descriptor of the locked folder (`openat`). All methods report
/// failures as `fileError`; `read` also reports `inputTooLarge`, before it allocates.
class PosixFileSystem : public FileSystem {
 public:
  explicit PosixFileSystem(FileDescriptor folder) : folder_(std::move(folder)) {}

  base::Result<std::vector<std::string>> list() override;
  base::Result<std::string> read(const std::string& name) override;
  base::Result<std::unique_ptr<AppendFile>> openForAppend(const std::string& name) override;
  base::Result<void> truncate(const std::string& name, std::uint64_t bytes) override;
  base::Result<void> rename(const std::string& from, const std::string& to) override;
  base::Result<void> remove(const std::string& name) override;
  base::Result<void> syncFolder() override;
  base::Result<void> syncTogether(const std::vector<AppendFile*>& files) override;

 private:
  FileDescriptor folder_;
};

}  // namespace walnut::storage
