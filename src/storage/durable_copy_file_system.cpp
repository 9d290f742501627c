#include <fcntl.h>
#include <sys/stat.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <utility>

#include "storage/file_identity.h"
#include "walnut/factories.h"

namespace walnut::storage {

namespace {

/// Keeps, in a folder of its own, what the disk would hold after a loss of power: the bytes of each
/// file as of the beginning of its last sync, and the names as of that of the folder. Thread safe.
class DurableCopy {
 public:
  DurableCopy(FileSystem& files, std::string folder, std::string copyFolder)
      : files_(files), folder_(std::move(folder)), copyFolder_(std::move(copyFolder)) {
    std::error_code ignored;  // Without the folder, nothing counts as durable.
    std::filesystem::create_directories(copyFolder_, ignored);
  }

  std::optional<std::string> identityOf(const std::string& name) const {
    return fileIdentity(folder_ + "/" + name);
  }
  std::string bytesOf(const std::string& name) const {
    auto bytes = files_.read(name);
    return bytes.has_value() ? std::move(bytes.value()) : std::string();
  }
  std::string names() const {
    std::string lines;
    const auto names = files_.list();
    if (names.has_value()) {
      for (const std::string& name : names.value()) {
        if (const auto identity = identityOf(name)) {
          lines += *identity + " " + name + "\n";
        }
      }
    }
    return lines;
  }
  void keep(const std::string& name, const std::string& bytes) {
    const std::string temporary = copyFolder_ + "/new-" + std::to_string(++copies_);
    std::ofstream(temporary, std::ios::binary) << bytes;
    std::error_code ignored;  // The copy before stays.
    std::filesystem::rename(temporary, copyFolder_ + "/" + name, ignored);
  }

 private:
  FileSystem& files_;
  const std::string folder_;
  const std::string copyFolder_;
  std::atomic<std::uint64_t> copies_ = 0;
};

class CopiedAppendFile : public AppendFile {
 public:
  CopiedAppendFile(std::unique_ptr<AppendFile> file, std::string name, std::string identity,
                   DurableCopy& copy)
      : file_(std::move(file)),
        name_(std::move(name)),
        identity_(std::move(identity)),
        copy_(copy) {}

  base::Result<void> append(std::string_view bytes) override { return file_->append(bytes); }
  base::Result<void> sync() override {
    const std::optional<std::string> bytes = present();
    BOOST_OUTCOME_TRY(file_->sync());
    keep(bytes);
    return base::success();
  }
  AppendFile& inner() { return *file_; }
  /// @return nothing if the file has another name by now.
  std::optional<std::string> present() const {
    return copy_.identityOf(name_) == identity_ ? std::optional(copy_.bytesOf(name_))
                                                : std::nullopt;
  }
  void keep(const std::optional<std::string>& bytes) {
    if (bytes) {
      copy_.keep(identity_, *bytes);
    }
  }

 private:
  std::unique_ptr<AppendFile> file_;
  const std::string name_;
  const std::string identity_;
  DurableCopy& copy_;
};

class DurableCopyFileSystem : public FileSystem {
 public:
  DurableCopyFileSystem(std::unique_ptr<FileSystem> files, const std::string& folder,
                        const std::string& copyFolder)
      : files_(std::move(files)), copy_(*files_, folder, copyFolder) {}

  base::Result<std::vector<std::string>> list() override { return files_->list(); }
  base::Result<std::string> read(const std::string& name) override { return files_->read(name); }
  base::Result<std::unique_ptr<AppendFile>> openForAppend(const std::string& name) override {
    BOOST_OUTCOME_TRY(file, files_->openForAppend(name));
    return std::unique_ptr<AppendFile>(std::make_unique<CopiedAppendFile>(
        std::move(file), name, copy_.identityOf(name).value_or(name), copy_));
  }
  base::Result<void> truncate(const std::string& name, std::uint64_t bytes) override {
    return files_->truncate(name, bytes);
  }
  base::Result<void> rename(const std::string& from, const std::string& to) override {
    return files_->rename(from, to);
  }
  base::Result<void> remove(const std::string& name) override { return files_->remove(name); }
  base::Result<void> syncFolder() override {
    const std::string names = copy_.names();
    BOOST_OUTCOME_TRY(files_->syncFolder());
    copy_.keep(kDurableNames, names);
    return base::success();
  }
  base::Result<void> syncTogether(const std::vector<AppendFile*>& files) override {
    std::vector<AppendFile*> inner;
    std::vector<std::optional<std::string>> bytes;
    for (AppendFile* file : files) {
      auto* const copied = static_cast<CopiedAppendFile*>(file);
      inner.push_back(&copied->inner());
      bytes.push_back(copied->present());
    }
    const std::string names = copy_.names();
    BOOST_OUTCOME_TRY(files_->syncTogether(inner));
    for (std::size_t index = 0; index < files.size(); ++index) {
      static_cast<CopiedAppendFile*>(files[index])->keep(bytes[index]);
    }
    copy_.keep(kDurableNames, names);
    return base::success();
  }

 private:
  std::unique_ptr<FileSystem> files_;
  DurableCopy copy_;
};

}  // namespace

std::optional<std::string> fileIdentity(const std::string& path) {
  struct statx status {};
  if (::statx(AT_FDCWD, path.c_str(), 0, STATX_INO | STATX_BTIME, &status) != 0) {
    return std::nullopt;
  }
  return std::to_string(status.stx_ino) + "." + std::to_string(status.stx_btime.tv_sec) + "." +
         std::to_string(status.stx_btime.tv_nsec);
}

std::unique_ptr<FileSystem> makeDurableCopyFileSystem(std::unique_ptr<FileSystem> files,
                                                      const std::string& folder,
                                                      const std::string& copyFolder) {
  return std::make_unique<DurableCopyFileSystem>(std::move(files), folder, copyFolder);
}

}  // namespace walnut::storage
