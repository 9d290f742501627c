#include "storage/delayed_file_system.h"

#include <fstream>
#include <thread>
#include <utility>

#include "walnut/factories.h"

namespace walnut::storage {

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
  if (mean == base::Duration::zero()) {
    return;
  }
  base::Duration delay{0};
  {
    const std::lock_guard lock(mutex_);
    delay = random_.between(mean / 2, mean * 3 / 2);
  }
  std::this_thread::sleep_for(delay);
}

std::unique_ptr<FileSystem> makeDelayedFileSystem(std::unique_ptr<FileSystem> files,
                                                  const std::string& delayFile,
                                                  std::uint64_t seed) {
  const auto delay = std::make_shared<SyncDelay>(delayFile, seed);
  return makeSyncHookFileSystem(std::move(files), [delay] { delay->sleep(); });
}

}  // namespace walnut::storage
