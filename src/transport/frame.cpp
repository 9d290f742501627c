#include "transport/frame.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

#include "walnut/protocol/codec.h"

namespace walnut::transport {

namespace {

using base::Error;
using base::ErrorCode;
using base::Result;

/// Frame header without the magic.
struct FrameHeader {
  std::uint32_t length = 0;
  std::uint64_t hash = 0;
};

constexpr std::size_t kLengthOffset = kFrameMagic.size();
constexpr std::size_t kHashOffset = kLengthOffset + sizeof(FrameHeader::length);

/// Appends an integer in host byte order. Hosts must be little-endian, as for the archives
/// (base/archive.h).
template <class Integer>
void appendInteger(std::string& bytes, Integer value) {
  bytes.append(reinterpret_cast<const char*>(&value), sizeof(value));
}

template <class Integer>
Integer readInteger(std::string_view bytes, std::size_t offset) {
  Integer value{};
  std::memcpy(&value, bytes.data() + offset, sizeof(value));
  return value;
}

/// @return true if `bytes`, which may be incomplete, begin with the magic or a part of it.
bool magicMatches(std::string_view bytes) {
  const std::size_t size = std::min(bytes.size(), kFrameMagic.size());
  return bytes.substr(0, size) == kFrameMagic.substr(0, size);
}

/// @return the validated header; nullopt if it is incomplete.
Result<std::optional<FrameHeader>> readHeader(std::string_view bytes) {
  if (!magicMatches(bytes)) {
    return Error{ErrorCode::malformedInput, "frame.magic", "not a frame of this protocol"};
  }
  if (bytes.size() < kFrameHeaderBytes) {
    return std::optional<FrameHeader>();
  }
  FrameHeader header;
  header.length = readInteger<std::uint32_t>(bytes, kLengthOffset);
  header.hash = readInteger<std::uint64_t>(bytes, kHashOffset);
  if (header.length > protocol::kMaxFrameBytes) {
    return Error{ErrorCode::inputTooLarge, "frame.length",
                 std::to_string(header.length) + " bytes; accepted: 0 .. " +
                     std::to_string(protocol::kMaxFrameBytes)};
  }
  return std::optional<FrameHeader>(header);
}

}  // namespace

Result<std::string> encodeFrame(const protocol::Message& message) {
  const std::string payload = protocol::encodeMessage(message);
  if (payload.size() > protocol::kMaxFrameBytes) {
    return Error{ErrorCode::inputTooLarge, "message",
                 std::to_string(payload.size()) + " bytes; accepted: 0 .. " +
                     std::to_string(protocol::kMaxFrameBytes)};
  }
  std::string frame;
  frame.reserve(kFrameHeaderBytes + payload.size());
  frame += kFrameMagic;
  appendInteger(frame, static_cast<std::uint32_t>(payload.size()));
  appendInteger(frame, static_cast<std::uint64_t>(XXH3_64bits(payload.data(), payload.size())));
  frame += payload;
  return frame;
}

void FrameReader::feed(std::string_view bytes) {
  discardConsumed();
  buffer_ += bytes;
}

Result<std::optional<protocol::Message>> FrameReader::next() {
  const std::string_view rest = std::string_view(buffer_).substr(consumed_);
  BOOST_OUTCOME_TRY(header, readHeader(rest));
  if (!header || rest.size() - kFrameHeaderBytes < header->length) {
    discardConsumed();
    return std::optional<protocol::Message>();
  }
  const std::string_view payload = rest.substr(kFrameHeaderBytes, header->length);
  if (XXH3_64bits(payload.data(), payload.size()) != header->hash) {
    return Error{ErrorCode::malformedInput, "frame.hash", "the payload is damaged"};
  }
  BOOST_OUTCOME_TRY(message, protocol::decodeMessage(payload));
  consumed_ += kFrameHeaderBytes + payload.size();
  return std::optional<protocol::Message>(std::move(message));
}

void FrameReader::discardConsumed() {
  if (consumed_ == buffer_.size()) {
    std::string().swap(buffer_);
  } else {
    buffer_.erase(0, consumed_);
  }
  consumed_ = 0;
}

}  // namespace walnut::transport
