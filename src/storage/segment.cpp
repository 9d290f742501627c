#include "storage/segment.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstring>
#include <optional>

#include "base/archive.h"
#include "storage/checked_block.h"
#include "walnut/consensus/codec.h"

namespace walnut::storage {

namespace {

constexpr std::uint32_t kFrameMagic = 0x524d5257;  // Bytes "WRMR" in the file.
constexpr std::string_view kNamePrefix = "log-";
constexpr std::size_t kNameDigits = 16;

struct FrameHeader {
  std::uint32_t magic = kFrameMagic;
  std::uint32_t payloadBytes = 0;
  /// Checksum of segment number, offset and size. Checked first, so that the search for intact
  /// frames doesn't hash the rest of the file at each copy of the magic number, since a command may
  /// contain such copies.
  std::uint64_t locationChecksum = 0;
  std::uint64_t checksum = 0;  // Checksum of the payload, with locationChecksum as seed.
};
static_assert(sizeof(FrameHeader) == 24, "the header is written as it is in memory");

/// Payload of a frame in its serialized form (cereal).
struct FramePayload {
  consensus::LogIndex truncateFrom = 0;
  std::vector<std::string> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(truncateFrom, entries);
  }
};

/// Location and size of a frame.
struct FrameLocation {
  SegmentNumber number = 0;
  std::uint64_t offset = 0;
  std::uint64_t payloadBytes = 0;
};

std::uint64_t checksumOf(const FrameLocation& location) {
  return XXH3_64bits(&location, sizeof(location));
}

std::uint64_t checksumOf(std::string_view payload, std::uint64_t locationChecksum) {
  return XXH3_64bits_withSeed(payload.data(), payload.size(), locationChecksum);
}

/// Frame with a valid checksum, not yet decoded.
struct RawFrame {
  std::string_view payload;
  std::uint64_t checksum = 0;
};

std::optional<RawFrame> readFrame(SegmentNumber number, std::string_view bytes,
                                  std::uint64_t offset) {
  FrameHeader header;
  if (bytes.size() - offset < sizeof(header)) {
    return std::nullopt;
  }
  std::memcpy(&header, bytes.data() + offset, sizeof(header));
  const std::uint64_t available = bytes.size() - offset - sizeof(header);
  if (header.magic != kFrameMagic || header.payloadBytes > kMaxFrameBytes ||
      header.payloadBytes > available ||
      header.locationChecksum != checksumOf({number, offset, header.payloadBytes})) {
    return std::nullopt;
  }
  const std::string_view payload = bytes.substr(offset + sizeof(header), header.payloadBytes);
  if (header.checksum != checksumOf(payload, header.locationChecksum)) {
    return std::nullopt;
  }
  return RawFrame{payload, header.checksum};
}

/// @return true if an intact frame begins anywhere at or after `offset`.
bool hasIntactFrameFrom(SegmentNumber number, std::string_view bytes, std::uint64_t offset) {
  const std::string_view magic(reinterpret_cast<const char*>(&kFrameMagic), sizeof(kFrameMagic));
  std::size_t candidate = bytes.find(magic, offset);
  while (candidate != std::string_view::npos) {
    if (readFrame(number, bytes, candidate)) {
      return true;
    }
    candidate = bytes.find(magic, candidate + 1);
  }
  return false;
}

std::optional<LogFrame> decodeFrame(std::string_view bytes) {
  base::Result<FramePayload> payload = base::decode<FramePayload>(bytes, "frame");
  if (!payload) {
    return std::nullopt;
  }
  LogFrame frame;
  frame.truncateFrom = payload.value().truncateFrom;
  for (const std::string& encoded : payload.value().entries) {
    base::Result<consensus::LogEntry> entry = consensus::decodeEntry(encoded);
    if (!entry) {
      return std::nullopt;
    }
    frame.entries.push_back(std::move(entry.value()));
  }
  return frame;
}

base::Result<ParsedSegment> parseHeader(SegmentNumber number, std::string_view bytes) {
  ParsedSegment segment;
  const auto block = decodeBlock(BlockKind::segment, bytes, segmentFileName(number));
  if (!block) {
    if (block.error().code == base::ErrorCode::unsupportedVersion) {
      return block.error();
    }
    return segment;
  }
  auto header = base::decode<SegmentHeader>(block.value().payload, "segment header");
  if (header && header.value().number == number) {
    segment.header = header.value();
    segment.headerIntact = true;
    segment.intactBytes = block.value().totalBytes;
  }
  return segment;
}

}  // namespace

std::string segmentFileName(SegmentNumber number) {
  std::array<char, kNameDigits> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, 16).ptr;
  const std::string written(digits.data(), end);
  return std::string(kNamePrefix) + std::string(kNameDigits - written.size(), '0') + written;
}

SegmentNumber segmentNumberOf(const std::string& name) {
  if (name.size() != kNamePrefix.size() + kNameDigits || !name.starts_with(kNamePrefix)) {
    return 0;
  }
  SegmentNumber number = 0;
  std::from_chars(name.data() + kNamePrefix.size(), name.data() + name.size(), number, 16);
  return segmentFileName(number) == name ? number : 0;
}

std::string encodeSegmentHeader(const SegmentHeader& header) {
  return encodeBlock(BlockKind::segment, base::encode(header));
}

base::Result<EncodedFrame> encodeFrame(SegmentNumber number, std::uint64_t offset,
                                       const LogFrame& frame) {
  FramePayload payload;
  payload.truncateFrom = frame.truncateFrom;
  for (const consensus::LogEntry& entry : frame.entries) {
    payload.entries.push_back(consensus::encodeEntry(entry));
  }
  const std::string encoded = base::encode(payload);
  if (encoded.size() > kMaxFrameBytes) {
    return base::Error{base::ErrorCode::inputTooLarge, segmentFileName(number),
                       "a batch of " + std::to_string(encoded.size()) + " bytes"};
  }
  FrameHeader header;
  header.payloadBytes = static_cast<std::uint32_t>(encoded.size());
  header.locationChecksum = checksumOf({number, offset, encoded.size()});
  header.checksum = checksumOf(encoded, header.locationChecksum);
  EncodedFrame result;
  result.checksum = header.checksum;
  result.bytes.assign(sizeof(header), '\0');
  std::memcpy(result.bytes.data(), &header, sizeof(header));
  result.bytes.append(encoded);
  return result;
}

base::Result<ParsedSegment> parseSegment(SegmentNumber number, std::string_view bytes) {
  BOOST_OUTCOME_TRY(segment, parseHeader(number, bytes));
  while (segment.headerIntact && segment.intactBytes < bytes.size()) {
    const auto raw = readFrame(number, bytes, segment.intactBytes);
    auto frame = raw ? decodeFrame(raw->payload) : std::nullopt;
    if (!frame) {
      // This software never writes a payload that can't be decoded under a valid checksum.
      segment.end = raw ? SegmentEnd::damaged : SegmentEnd::torn;
      break;
    }
    segment.frames.push_back(std::move(*frame));
    segment.intactBytes += sizeof(FrameHeader) + raw->payload.size();
    segment.lastChecksum = raw->checksum;
  }
  if (!segment.headerIntact || segment.end == SegmentEnd::torn) {
    const bool behind = hasIntactFrameFrom(number, bytes, segment.intactBytes);
    segment.end = behind ? SegmentEnd::damaged : SegmentEnd::torn;
  }
  return segment;
}

}  // namespace walnut::storage
