#include <utility>

#include "walnut/factories.h"

namespace walnut::storage {

namespace {

class SyncHookAppendFile : public AppendFile {
 public:
  SyncHookAppendFile(std::unique_ptr<AppendFile> file, const SyncHook& hook)
      : file_(std::move(file)), hook_(hook) {}

  base::Result<void> append(std::string_view bytes) override { return file_->append(bytes); }
  base::Result<void> sync() override {
    hook_();
    return file_->sync();
  }
  AppendFile& inner() { return *file_; }

 private:
  std::unique_ptr<AppendFile> file_;
  const SyncHook& hook_;
};

class SyncHookFileSystem : public FileSystem {
 public:
  SyncHookFileSystem(std::unique_ptr<FileSystem> files, SyncHook hook)
      : files_(std::move(files)), hook_(std::move(hook)) {}

  base::Result<std::vector<std::string>> list() override { return files_->list(); }
  base::Result<std::string> read(const std::string& name) override { return files_->read(name); }
  base::Result<std::unique_ptr<AppendFile>> openForAppend(const std::string& name) override {
    BOOST_OUTCOME_TRY(file, files_->openForAppend(name));
    return std::unique_ptr<AppendFile>(
        std::make_unique<SyncHookAppendFile>(std::move(file), hook_));
  }
  base::Result<void> truncate(const std::string& name, std::uint64_t bytes) override {
    return files_->truncate(name, bytes);
  }
  base::Result<void> rename(const std::string& from, const std::string& to) override {
    return files_->rename(from, to);
  }
  base::Result<void> remove(const std::string& name) override { return files_->remove(name); }
  base::Result<void> syncFolder() override {
    hook_();
    return files_->syncFolder();
  }
  base::Result<void> syncTogether(const std::vector<AppendFile*>& files) override {
    hook_();
    std::vector<AppendFile*> inner;
    inner.reserve(files.size());
    for (AppendFile* file : files) {
      inner.push_back(&static_cast<SyncHookAppendFile*>(file)->inner());
    }
    return files_->syncTogether(inner);
  }

 private:
  std::unique_ptr<FileSystem> files_;
  const SyncHook hook_;
};

}  // namespace

std::unique_ptr<FileSystem> makeSyncHookFileSystem(std::unique_ptr<FileSystem> files,
                                                   SyncHook hook) {
  return std::make_unique<SyncHookFileSystem>(std::move(files), std::move(hook));
}

}  // namespace walnut::storage
