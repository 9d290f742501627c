#include "storage/checked_block.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstring>

namespace walnut::storage {

namespace {

constexpr std::uint64_t kMagic = 0x4c54554e4c415731;  // Bytes "1WALNUTL" in the file.

struct BlockHeader {
  std::uint64_t magic = kMagic;
  std::uint32_t version = kFormatVersion;
  std::uint32_t kind = 0;
  std::uint64_t payloadBytes = 0;
  std::uint64_t checksum = 0;
};
static_assert(sizeof(BlockHeader) == 32, "the header is written as it is in memory");

/// @return the checksum of the header's other fields and the payload.
std::uint64_t checksumOf(const BlockHeader& header, std::string_view payload) {
  const std::uint64_t seed = XXH3_64bits(&header, offsetof(BlockHeader, checksum));
  return XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
}

}  // namespace

base::Error corruptFile(const std::string& file, std::string detail) {
  return base::Error{base::ErrorCode::corruptFile, file, std::move(detail)};
}

std::string encodeBlock(BlockKind kind, std::string_view payload, std::uint32_t version) {
  BlockHeader header;
  header.version = version;
  header.kind = static_cast<std::uint32_t>(kind);
  header.payloadBytes = payload.size();
  header.checksum = checksumOf(header, payload);
  std::string bytes(sizeof(header), '\0');
  std::memcpy(bytes.data(), &header, sizeof(header));
  return bytes.append(payload);
}

base::Result<CheckedBlock> decodeBlock(BlockKind kind, std::string_view bytes,
                                       const std::string& file) {
  BlockHeader header;
  if (bytes.size() < sizeof(header)) {
    return corruptFile(file, "shorter than its header");
  }
  std::memcpy(&header, bytes.data(), sizeof(header));
  if (header.magic != kMagic || header.payloadBytes > bytes.size() - sizeof(header)) {
    return corruptFile(file, "wrong magic number or size in the header");
  }
  const std::string_view payload = bytes.substr(sizeof(header), header.payloadBytes);
  if (header.checksum != checksumOf(header, payload)) {
    return corruptFile(file, "wrong checksum");
  }
  if (header.version != kFormatVersion) {
    return base::Error{base::ErrorCode::unsupportedVersion, file,
                       "format version " + std::to_string(header.version)};
  }
  if (header.kind != static_cast<std::uint32_t>(kind)) {
    return corruptFile(file, "holds another kind of block");
  }
  return CheckedBlock{payload, sizeof(header) + payload.size()};
}

}  // namespace walnut::storage
