#include "simulator/disk.h"

#include <utility>

namespace walnut::simulator {

namespace {

base::Error diskError(const std::string& name, const char* detail) {
  return base::Error{base::ErrorCode::fileError, name, detail};
}

class SimulatedAppendFile : public storage::AppendFile {
 public:
  SimulatedAppendFile(Disk& disk, std::string name, std::shared_ptr<DiskFile> file)
      : disk_(disk), name_(std::move(name)), file_(std::move(file)) {}

  base::Result<void> append(std::string_view bytes) override {
    if (!disk_.admitOperation()) {
      return diskError(name_, "simulated crash in append");
    }
    file_->data.append(bytes);
    return base::success();
  }

  base::Result<void> sync() override {
    if (!disk_.admitOperation()) {
      return diskError(name_, "simulated crash in sync");
    }
    if (!disk_.ignoresSyncs()) {
      file_->synced = file_->data;
    }
    return base::success();
  }

 private:
  Disk& disk_;
  std::string name_;
  std::shared_ptr<DiskFile> file_;
};

}  // namespace

bool Disk::admitOperation() {
  if (!operationsLeft_) {
    return true;
  }
  if (*operationsLeft_ == 0) {
    return false;
  }
  --*operationsLeft_;
  return true;
}

base::Result<std::vector<std::string>> Disk::list() {
  std::vector<std::string> names;
  for (const auto& [name, file] : folder_) {
    names.push_back(name);
  }
  return names;
}

base::Result<std::string> Disk::read(const std::string& name) {
  const auto found = folder_.find(name);
  if (found == folder_.end()) {
    return diskError(name, "no such file");
  }
  return found->second->data;
}

base::Result<std::unique_ptr<storage::AppendFile>> Disk::openForAppend(const std::string& name) {
  if (!admitOperation()) {
    return diskError(name, "simulated crash in open");
  }
  std::shared_ptr<DiskFile>& file = folder_[name];
  if (!file) {
    file = std::make_shared<DiskFile>();
  }
  return std::unique_ptr<storage::AppendFile>(
      std::make_unique<SimulatedAppendFile>(*this, name, file));
}

base::Result<void> Disk::truncate(const std::string& name, std::uint64_t bytes) {
  if (!admitOperation()) {
    return diskError(name, "simulated crash in truncate");
  }
  const auto found = folder_.find(name);
  if (found == folder_.end()) {
    return diskError(name, "no such file");
  }
  found->second->data.resize(bytes);
  return base::success();
}

base::Result<void> Disk::rename(const std::string& from, const std::string& to) {
  if (!admitOperation()) {
    return diskError(from, "simulated crash in rename");
  }
  const auto found = folder_.find(from);
  if (found == folder_.end()) {
    return diskError(from, "no such file");
  }
  folder_[to] = found->second;
  folder_.erase(from);
  return base::success();
}

base::Result<void> Disk::remove(const std::string& name) {
  if (!admitOperation()) {
    return diskError(name, "simulated crash in remove");
  }
  if (folder_.erase(name) == 0) {
    return diskError(name, "no such file");
  }
  return base::success();
}

base::Result<void> Disk::syncFolder() {
  if (!admitOperation()) {
    return diskError("", "simulated crash in folder sync");
  }
  if (!ignoresSyncs_) {
    durableFolder_ = folder_;
  }
  return base::success();
}

void Disk::crash() {
  operationsLeft_.reset();
  // Unsynced folder changes either all reached the disk or none did.
  if (random_.chance(0.5) && !ignoresSyncs_) {
    durableFolder_ = folder_;
  }
  folder_ = durableFolder_;
  for (auto& [name, file] : folder_) {
    const bool appended = file->data.size() > file->synced.size() &&
                          file->data.compare(0, file->synced.size(), file->synced) == 0;
    if (appended && !ignoresSyncs_) {
      const std::size_t unsynced = file->data.size() - file->synced.size();
      const std::size_t kept = random_.uniform(0, unsynced);
      std::string survived = file->data.substr(0, file->synced.size() + kept);
      if (kept > 0 && random_.chance(0.5)) {
        // A torn write: the file has its new size, but the last sectors were never written.
        const std::size_t torn = random_.uniform(1, kept);
        survived.replace(survived.size() - torn, torn, torn, '\0');
        ++tornWrites_;
      }
      file->synced = survived;
    }
    file->data = file->synced;
  }
  durableFolder_ = folder_;
}

void Disk::lose() {
  operationsLeft_.reset();
  folder_.clear();
  durableFolder_.clear();
}

}  // namespace walnut::simulator
