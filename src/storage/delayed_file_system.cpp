#include "storage/delayed_file_system.h"

#include <fstream>
#include <thread>
#include <utility>

#include "walnut/factories.h"

namespace walnut::storage {

namespace {

class DelayedAppendFile : public AppendFile {
 public:
  DelayedAppendFile(std::unique_ptr<AppendFile> file, SyncDelay& delay)
      : file_(std::move(file)), delay_(delay) {}

  base::Result<void> append(std::string_view bytes) override { return file_->append(bytes); }
  base::Result<void> sync() override {
    delay_.sleep();
    return file_->sync();
  }

 private:
  std::unique_ptr<AppendFile> file_;
  SyncDelay& delay_;
};

class DelayedFileSystem : public FileSystem {
 public:
  DelayedFileSystem(std::unique_ptr<FileSystem> files, const std::string& delayFile,
                    std::uint64_t seed)
      : files_(std::move(files)), delay_(delayFile, seed) {}

  base::Result<std::vector<std::string>> list() override { return files_->list(); }
  base::Result<std::string> read(const std::string& name) override { return files_->read(name); }
  base::Result<std::unique_ptr<AppendFile>> openForAppend(const std::string& name) override {
    BOOST_OUTCOME_TRY(file, files_->openForAppend(name));
    return std::unique_ptr<AppendFile>(
        std::make_unique<DelayedAppendFile>(std::move(file), delay_));
  }
  base::Result<void> truncate(const std::string& name, std::uint64_t bytes) override {
    delay_.sleep();
    return files_->truncate(name, bytes);
  }
  base::Result<void> rename(const std::string& from, const std::string& to) override {
    return files_->rename(from, to);
  }
  base::Result<void> remove(const std::string& name) override { return files_->remove(name); }
  base::Result<void> syncFolder() override {
    delay_.sleep();
    return files_->syncFolder();
  }

 private:
  std::unique_ptr<FileSystem> files_;
  SyncDelay delay_;
};

}  // namespace

SyncDelay::SyncDelay(std::string file, std::uint64_t seed)
    : file_(std::move(file)), random_(seed) {}

base::Duration SyncDelay::readMean() const {
  std::ifstream input(file_);
  std::int64_t millis = 0;
  return input >> millis ? base::Duration(std::chrono::milliseconds(millis))
                         : base::Duration::zero();
}

void SyncDelay::sleep() {
  const base::Duration mean = readMean();
  if (mean > base::Duration::zero()) {
    std::this_thread::sleep_for(random_.between(mean / 2, mean * 3 / 2));
  }
}

std::unique_ptr<FileSystem> makeDelayedFileSystem(std::unique_ptr<FileSystem> files,
                                                  const std::string& delayFile,
                                                  std::uint64_t seed) {
  return std::make_unique<DelayedFileSystem>(std::move(files), delayFile, seed);
}

}  // namespace walnut::storage
