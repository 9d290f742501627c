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

/// Payload with the fields that earlier builds don't know.
struct ExtendedPayload {
  FramePayload common;
  bool hasHardState = false;
  consensus::HardState hardState;
  std::uint64_t syncedBytes = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(common, hasHardState, hardState, syncedBytes);
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

/// Decoded frame, and how much of its segment was synced before it.
struct DecodedFrame {
  LogFrame frame;
  std::uint64_t syncedBytes = 0;
};

std::optional<DecodedFrame> decodeFrame(std::string_view bytes, std::uint64_t offset) {
  ExtendedPayload payload;
  payload.syncedBytes = offset;
  if (auto extended = base::decode<ExtendedPayload>(bytes, "frame")) {
    payload = std::move(extended.value());
  } else if (auto common = base::decode<FramePayload>(bytes, "frame")) {
    payload.common = std::move(common.value());
  } else {
    return std::nullopt;
  }
  DecodedFrame decoded;
  decoded.syncedBytes = payload.syncedBytes;
  decoded.frame.truncateFrom = payload.common.truncateFrom;
  if (payload.hasHardState) {
    decoded.frame.hardState = payload.hardState;
  }
  for (const std::string& encoded : payload.common.entries) {
    base::Result<consensus::LogEntry> entry = consensus::decodeEntry(encoded);
    if (!entry) {
      return std::nullopt;
    }
    decoded.frame.entries.push_back(std::move(entry.value()));
  }
  return decoded;
}

/// @return true if an intact frame behind the damage shows that the byte at `damage` was synced.
bool wasSynced(SegmentNumber number, std::string_view bytes, std::uint64_t damage) {
  const std::string_view magic(reinterpret_cast<const char*>(&kFrameMagic), sizeof(kFrameMagic));
  std::size_t candidate = bytes.find(magic, damage);
  while (candidate != std::string_view::npos) {
    if (const auto raw = readFrame(number, bytes, candidate)) {
      const auto decoded = decodeFrame(raw->payload, candidate);
      if (!decoded || decoded->syncedBytes > damage) {
        return true;
      }
    }
    candidate = bytes.find(magic, candidate + 1);
  }
  return false;
}

std::string encodePayload(const FramePosition& position, const LogFrame& frame) {
  FramePayload payload;
  payload.truncateFrom = frame.truncateFrom;
  for (const consensus::LogEntry& entry : frame.entries) {
    payload.entries.push_back(consensus::encodeEntry(entry));
  }
  if (!frame.hardState && position.syncedBytes == position.offset) {
    return base::encode(payload);
  }
  ExtendedPayload extended;
  extended.common = std::move(payload);
  extended.hasHardState = frame.hardState.has_value();
  extended.hardState = frame.hardState.value_or(consensus::HardState{});
  extended.syncedBytes = position.syncedBytes;
  return base::encode(extended);
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

base::Result<EncodedFrame> encodeFrame(const FramePosition& position, const LogFrame& frame) {
  const std::string encoded = encodePayload(position, frame);
  if (encoded.size() > kMaxFrameBytes) {
    return base::Error{base::ErrorCode::inputTooLarge, segmentFileName(position.number),
                       "a batch of " + std::to_string(encoded.size()) + " bytes"};
  }
  FrameHeader header;
  header.payloadBytes = static_cast<std::uint32_t>(encoded.size());
  header.locationChecksum = checksumOf({position.number, position.offset, encoded.size()});
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
    auto decoded = raw ? decodeFrame(raw->payload, segment.intactBytes) : std::nullopt;
    if (!decoded) {
      // This software never writes a payload that can't be decoded under a valid checksum.
      segment.end = raw ? SegmentEnd::damaged : SegmentEnd::torn;
      break;
    }
    segment.frames.push_back(std::move(decoded->frame));
    segment.syncedBytes = decoded->syncedBytes;
    segment.intactBytes += sizeof(FrameHeader) + raw->payload.size();
    segment.lastChecksum = raw->checksum;
  }
  if (!segment.headerIntact || segment.end == SegmentEnd::torn) {
    const bool synced = wasSynced(number, bytes, segment.intactBytes);
    segment.end = synced ? SegmentEnd::damaged : SegmentEnd::torn;
  }
  return segment;
}

}  // namespace walnut::storage
