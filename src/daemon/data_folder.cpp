#include "daemon/data_folder.h"

#include <algorithm>
#include <filesystem>
#include <system_error>
#include <utility>

#include "walnut/factories.h"
#include "walnut/runtime/clock.h"

namespace walnut::daemon {

using base::Error;
using base::ErrorCode;
using base::Result;

namespace {

/// Any size will do: a fresh folder has no segments.
constexpr std::uint64_t kInitSegmentBytes = 1U << 20U;

}  // namespace

Result<base::ServerId> initDataFolder(const std::string& folder) {
  std::error_code failure;
  const bool holdsSomething =
      std::filesystem::exists(folder, failure) && !std::filesystem::is_empty(folder, failure);
  if (failure) {
    return Error{ErrorCode::fileError, folder, failure.message()};
  }
  if (holdsSomething) {
    return Error{ErrorCode::alreadyExists, folder, "the data folder is not empty"};
  }
  BOOST_OUTCOME_TRY(files, storage::openPosixFileSystem(folder));
  const auto storage = storage::makeLogStorage(*files, kInitSegmentBytes);
  const base::ServerId drawn{std::max<std::uint64_t>(runtime::randomSeed(), 1)};
  BOOST_OUTCOME_TRY(recovered, storage->recover(drawn));
  consensus::PersistBatch first;
  first.syncsRecovered = true;
  BOOST_OUTCOME_TRY(storage->persist(first));
  return recovered.self;
}

Result<DataFolder> openDataFolder(const std::string& folder, std::uint64_t segmentBytes) {
  std::error_code failure;
  if (!std::filesystem::is_directory(folder, failure)) {
    return Error{ErrorCode::identityLost, folder, "there is no such data folder"};
  }
  DataFolder opened;
  BOOST_OUTCOME_TRY(files, storage::openPosixFileSystem(folder));
  opened.files = std::move(files);
  opened.storage = storage::makeLogStorage(*opened.files, segmentBytes);
  // No identity to give: a folder without one is refused.
  BOOST_OUTCOME_TRY(recovered, opened.storage->recover(base::ServerId{}));
  opened.recovered = std::move(recovered);
  return opened;
}

bool isPristine(const consensus::RecoveredState& recovered) {
  return recovered.hardState == consensus::HardState{} && !recovered.snapshot &&
         recovered.entries.empty();
}

}  // namespace walnut::daemon
