#pragma once
/// @file
/// Versioned block with a checksum, with which every storage file begins.
///
/// Layout, little-endian: magic (8 bytes), format version (4), kind (4), payload bytes (8),
/// XXH3-64 of the preceding fields and the payload (8), payload. The checksum is checked before the
/// version, so that a flipped bit in the version is reported as damage.

#include <cstdint>
#include <string>
#include <string_view>

#include "walnut/base/error.h"

namespace walnut::storage {

/// Format version of all files in the folder; a folder of another version is refused.
inline constexpr std::uint32_t kFormatVersion = 1;

/// Type of a block's contents. Values are stored on disk: only append new ones.
enum class BlockKind : std::uint32_t { identity = 1, vote = 2, snapshot = 3, segment = 4 };

/// Decoded block at the start of a file. The payload refers to the bytes of the file.
struct CheckedBlock {
  std::string_view payload;
  std::size_t totalBytes = 0;  ///< Size of header and payload.
};

/// @return the encoded block.
std::string encodeBlock(BlockKind kind, std::string_view payload,
                        std::uint32_t version = kFormatVersion);

/// @param file file name for error messages.
/// @return the block at the start of `bytes`; `corruptFile`, or `unsupportedVersion` for an intact
/// block of another format version.
base::Result<CheckedBlock> decodeBlock(BlockKind kind, std::string_view bytes,
                                       const std::string& file);

/// @return a `corruptFile` error with the name of the file.
base::Error corruptFile(const std::string& file, std::string detail);

}  // namespace walnut::storage
