#pragma once
/// @file
/// File system whose syncs take longer than those of the one below it; for rehearsals of slow
/// disks.

#include <memory>
#include <mutex>
#include <string>

#include "walnut/base/random.h"
#include "walnut/base/time.h"
#include "walnut/storage/file_system.h"

namespace walnut::storage {

/// Delays the syncs of one file system. The delay is set by a file, so that it can be changed while
/// the process runs. Thread safe.
class SyncDelay {
 public:
  /// @param file holds the mean delay in milliseconds; none if it is absent.
  SyncDelay(std::string file, std::uint64_t seed);

  /// Sleeps for half of the mean to one and a half.
  void sleep();

 private:
  base::Duration readMean() const;

  const std::string file_;
  std::mutex mutex_;
  base::Random random_;
};

}  // namespace walnut::storage
