#include "storage/memory_file_system.h"

#include <utility>

namespace walnut::storage::test {

namespace {

base::Error stoppedError(const std::string& name) {
  return base::Error{base::ErrorCode::fileError, name, "stopped"};
}

class MemoryAppendFile : public AppendFile {
 public:
  MemoryAppendFile(MemoryFileSystem& files, std::shared_ptr<MemoryFile> file)
      : files_(files), file_(std::move(file)) {}

  base::Result<void> append(std::string_view bytes) override {
    if (!files_.countOperation()) {
      file_->data.append(bytes.substr(0, bytes.size() / 2));
      return stoppedError("append");
    }
    file_->data.append(bytes);
    return base::success();
  }

  base::Result<void> sync() override {
    if (!files_.countOperation()) {
      return stoppedError("sync");
    }
    file_->synced = file_->data;
    return base::success();
  }

 private:
  MemoryFileSystem& files_;
  std::shared_ptr<MemoryFile> file_;
};

std::string contentsAfterCrash(const MemoryFile& file, DataLoss loss) {
  if (!file.data.starts_with(file.synced)) {
    return loss == DataLoss::none ? file.data : file.synced;
  }
  const std::size_t synced = file.synced.size();
  const std::size_t half = (file.data.size() - synced) / 2;
  std::string data = file.data;
  switch (loss) {
    case DataLoss::all:
      return file.synced;
    case DataLoss::half:
      return data.substr(0, synced + half);
    case DataLoss::zeroedEnd:
      return data.replace(synced + half, std::string::npos, data.size() - synced - half, '\0');
    case DataLoss::zeroedStart:
      return data.replace(synced, half, half, '\0');
    case DataLoss::none:
      break;
  }
  return data;
}

}  // namespace

std::vector<Crash> allCrashes() {
  std::vector<Crash> crashes;
  for (const DataLoss data : {DataLoss::all, DataLoss::half, DataLoss::zeroedEnd,
                              DataLoss::zeroedStart, DataLoss::none}) {
    for (const FolderLoss folder :
         {FolderLoss::all, FolderLoss::newer, FolderLoss::older, FolderLoss::none}) {
      crashes.push_back({data, folder});
    }
  }
  return crashes;
}

void MemoryFileSystem::replaceContents(const std::string& name, const std::string& bytes) {
  folder_[name] = std::make_shared<MemoryFile>(MemoryFile{bytes, bytes});
}

bool MemoryFileSystem::countOperation() {
  if (!operationsLeft_) {
    return true;
  }
  if (*operationsLeft_ == 0) {
    return false;
  }
  --*operationsLeft_;
  return true;
}

void MemoryFileSystem::apply(const FolderChange& change, Folder& folder) {
  for (const auto& [name, file] : change) {
    if (file) {
      folder[name] = file;
    } else {
      folder.erase(name);
    }
  }
}

void MemoryFileSystem::change(const FolderChange& change) {
  apply(change, folder_);
  unsynced_.push_back(change);
}

base::Result<std::vector<std::string>> MemoryFileSystem::list() {
  std::vector<std::string> names;
  for (const auto& [name, file] : folder_) {
    names.insert(names.begin(), name);
  }
  return names;
}

base::Result<std::string> MemoryFileSystem::read(const std::string& name) {
  const auto found = folder_.find(name);
  if (found == folder_.end()) {
    return base::Error{base::ErrorCode::fileError, name, "no such file"};
  }
  return found->second->data;
}

base::Result<std::unique_ptr<AppendFile>> MemoryFileSystem::openForAppend(const std::string& name) {
  if (!countOperation()) {
    return stoppedError(name);
  }
  if (!folder_.contains(name)) {
    change({{name, std::make_shared<MemoryFile>()}});
  }
  return std::unique_ptr<AppendFile>(std::make_unique<MemoryAppendFile>(*this, folder_.at(name)));
}

base::Result<void> MemoryFileSystem::truncate(const std::string& name, std::uint64_t bytes) {
  if (!countOperation()) {
    return stoppedError(name);
  }
  folder_.at(name)->data.resize(bytes);
  return base::success();
}

base::Result<void> MemoryFileSystem::rename(const std::string& from, const std::string& to) {
  if (!countOperation()) {
    return stoppedError(from);
  }
  change({{to, folder_.at(from)}, {from, nullptr}});
  return base::success();
}

base::Result<void> MemoryFileSystem::remove(const std::string& name) {
  if (!countOperation()) {
    return stoppedError(name);
  }
  if (!folder_.contains(name)) {
    return base::Error{base::ErrorCode::fileError, name, "no such file"};
  }
  change({{name, nullptr}});
  return base::success();
}

base::Result<void> MemoryFileSystem::syncFolder() {
  if (!countOperation()) {
    return stoppedError("folder");
  }
  durableFolder_ = folder_;
  unsynced_.clear();
  return base::success();
}

void MemoryFileSystem::crash(const Crash& crash) {
  operationsLeft_.reset();
  const std::size_t half = unsynced_.size() / 2;
  for (std::size_t index = 0; index < unsynced_.size(); ++index) {
    const bool isNewer = index >= half;
    const bool lost = crash.folder == FolderLoss::all ||
                      (crash.folder == FolderLoss::newer && isNewer) ||
                      (crash.folder == FolderLoss::older && !isNewer);
    if (!lost) {
      apply(unsynced_[index], durableFolder_);
    }
  }
  unsynced_.clear();
  folder_ = durableFolder_;
  for (auto& [name, file] : folder_) {
    file->data = contentsAfterCrash(*file, crash.data);
    file->synced = file->data;
  }
}

}  // namespace walnut::storage::test
