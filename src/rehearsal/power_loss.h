#pragma once
/// @file
/// What a server's disk holds after a loss of power.

#include <filesystem>
#include <string>

#include "walnut/base/random.h"

namespace walnut::rehearsal {

/// What becomes of writes and names that were not synced.
enum class UnsyncedLoss : std::uint8_t {
  all,    ///< All are gone.
  drawn,  ///< Each is kept, lost or torn by itself.
};

/// Rebuilds the folder of a process that has ended as after a loss of power.
/// @param copyFolder durable copies that the process has kept (setting `durable-copy-folder`); what
/// the folder holds afterwards is durable.
/// @return what was lost, for the record; empty if nothing was.
std::string losePower(const std::filesystem::path& folder, const std::filesystem::path& copyFolder,
                      UnsyncedLoss loss, base::Random& random);

}  // namespace walnut::rehearsal
