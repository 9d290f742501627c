#include "storage/posix_file_system.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <future>
#include <system_error>
#include <utility>

#include "walnut/factories.h"

namespace walnut::storage {

namespace {

constexpr mode_t kFileMode = 0640;
/// Maximum size of a file to read; above the maximum sizes of snapshot files and segments.
constexpr std::uint64_t kMaxFileBytes = 2ULL << 30U;

/// @return a `fileError` with the message for `errno`.
base::Error systemError(const std::string& name, const char* operation) {
  const std::string text = std::generic_category().message(errno);
  return base::Error{base::ErrorCode::fileError, name, std::string(operation) + ": " + text};
}

base::Result<void> syncDescriptor(const FileDescriptor& file, const std::string& name) {
  // A failed sync is not retried: the kernel may have dropped the dirty pages.
  if (::fsync(file.get()) != 0) {
    return systemError(name, "fsync");
  }
  return base::success();
}

class PosixAppendFile : public AppendFile {
 public:
  PosixAppendFile(FileDescriptor file, std::string name)
      : file_(std::move(file)), name_(std::move(name)) {}

  base::Result<void> append(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t written = ::write(file_.get(), bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR) {
        continue;
      }
      if (written <= 0) {
        return systemError(name_, "write");
      }
      bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return base::success();
  }

  base::Result<void> sync() override { return syncDescriptor(file_, name_); }

 private:
  FileDescriptor file_;
  std::string name_;
};

/// Reads until `bytes` is full or the end of the file is reached.
base::Result<void> readAll(const FileDescriptor& file, const std::string& name,
                           std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t count = ::read(file.get(), bytes.data() + done, bytes.size() - done);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      return systemError(name, "read");
    }
    if (count == 0) {
      break;
    }
    done += static_cast<std::size_t>(count);
  }
  bytes.resize(done);
  return base::success();
}

/// Creates the folder if it is absent, and syncs its parent.
base::Result<void> createFolder(const std::filesystem::path& folder) {
  std::error_code failure;
  if (!std::filesystem::create_directories(folder, failure) || failure) {
    if (failure) {
      return base::Error{base::ErrorCode::fileError, folder.string(), failure.message()};
    }
    return base::success();
  }
  const std::filesystem::path parent = std::filesystem::absolute(folder).parent_path();
  const FileDescriptor descriptor(::open(parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!descriptor.valid()) {
    return systemError(parent.string(), "open");
  }
  return syncDescriptor(descriptor, parent.string());
}

}  // namespace

FileDescriptor::FileDescriptor(FileDescriptor&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)) {}

FileDescriptor::~FileDescriptor() {
  if (descriptor_ >= 0) {
    ::close(descriptor_);
  }
}

base::Result<std::vector<std::string>> PosixFileSystem::list() {
  // Uses a separate descriptor, since closing the stream closes it, and the lock on the folder's
  // own descriptor must be kept.
  const int descriptor = ::openat(folder_.get(), ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) {
    return systemError("", "open folder");
  }
  const std::unique_ptr<DIR, int (*)(DIR*)> stream(::fdopendir(descriptor), ::closedir);
  if (!stream) {
    ::close(descriptor);
    return systemError("", "fdopendir");
  }
  std::vector<std::string> names;
  errno = 0;
  while (const dirent* item = ::readdir(stream.get())) {
    struct stat status {};
    if (::fstatat(folder_.get(), item->d_name, &status, AT_SYMLINK_NOFOLLOW) == 0 &&
        S_ISREG(status.st_mode)) {
      names.emplace_back(item->d_name);
    }
    errno = 0;
  }
  if (errno != 0) {
    return systemError("", "readdir");
  }
  return names;
}

base::Result<std::string> PosixFileSystem::read(const std::string& name) {
  const FileDescriptor file(::openat(folder_.get(), name.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file.valid()) {
    return systemError(name, "open");
  }
  struct stat status {};
  if (::fstat(file.get(), &status) != 0) {
    return systemError(name, "fstat");
  }
  const auto size = static_cast<std::uint64_t>(status.st_size);
  if (size > kMaxFileBytes) {
    return base::Error{base::ErrorCode::inputTooLarge, name, std::to_string(size) + " bytes"};
  }
  std::string bytes(size, '\0');
  BOOST_OUTCOME_TRY(readAll(file, name, bytes));
  return bytes;
}

base::Result<std::unique_ptr<AppendFile>> PosixFileSystem::openForAppend(const std::string& name) {
  constexpr int kFlags = O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC;
  FileDescriptor file(::openat(folder_.get(), name.c_str(), kFlags, kFileMode));
  if (!file.valid()) {
    return systemError(name, "open");
  }
  return std::unique_ptr<AppendFile>(std::make_unique<PosixAppendFile>(std::move(file), name));
}

base::Result<void> PosixFileSystem::truncate(const std::string& name, std::uint64_t bytes) {
  const FileDescriptor file(::openat(folder_.get(), name.c_str(), O_WRONLY | O_CLOEXEC));
  if (!file.valid()) {
    return systemError(name, "open");
  }
  if (::ftruncate(file.get(), static_cast<off_t>(bytes)) != 0) {
    return systemError(name, "ftruncate");
  }
  return base::success();
}

base::Result<void> PosixFileSystem::rename(const std::string& from, const std::string& to) {
  if (::renameat(folder_.get(), from.c_str(), folder_.get(), to.c_str()) != 0) {
    return systemError(from, "rename");
  }
  return base::success();
}

base::Result<void> PosixFileSystem::remove(const std::string& name) {
  if (::unlinkat(folder_.get(), name.c_str(), 0) != 0) {
    return systemError(name, "unlink");
  }
  return base::success();
}

base::Result<void> PosixFileSystem::syncFolder() { return syncDescriptor(folder_, ""); }

base::Result<void> PosixFileSystem::syncTogether(const std::vector<AppendFile*>& files) {
  std::vector<std::future<base::Result<void>>> syncs;
  syncs.reserve(files.size());
  for (AppendFile* file : files) {
    // Without a thread to spare, the sync runs in `get`.
    syncs.push_back(
        std::async(std::launch::async | std::launch::deferred, [file] { return file->sync(); }));
  }
  base::Result<void> outcome = syncFolder();
  for (std::future<base::Result<void>>& sync : syncs) {
    base::Result<void> other = sync.get();
    if (outcome.has_value()) {
      outcome = std::move(other);
    }
  }
  return outcome;
}

base::Result<std::unique_ptr<FileSystem>> openPosixFileSystem(const std::string& folder) {
  BOOST_OUTCOME_TRY(createFolder(folder));
  FileDescriptor descriptor(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!descriptor.valid()) {
    return systemError(folder, "open folder");
  }
  if (::flock(descriptor.get(), LOCK_EX | LOCK_NB) != 0) {
    return systemError(folder, "lock folder (in use by another process?)");
  }
  return std::unique_ptr<FileSystem>(std::make_unique<PosixFileSystem>(std::move(descriptor)));
}

}  // namespace walnut::storage
