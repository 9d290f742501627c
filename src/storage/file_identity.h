#pragma once
/// @file
/// Identity of a file across renames; for rehearsals of power losses.

#include <optional>
#include <string>

namespace walnut::storage {

/// Name of the list of names in a folder of durable copies.
inline constexpr const char* kDurableNames = "names";

/// @return a text that differs between files of one file system, also if a number is used again;
/// nothing if there is no such file.
std::optional<std::string> fileIdentity(const std::string& path);

}  // namespace walnut::storage
