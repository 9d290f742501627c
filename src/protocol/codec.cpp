#include "walnut/protocol/codec.h"

#include <charconv>

#include "base/archive.h"

namespace walnut::protocol {

namespace {

/// Separates the zone from the feature level; zone names never contain it.
constexpr char kLevelMark = '\n';

}  // namespace

base::ZoneId Hello::zoneWithLevel(const base::ZoneId& zone, std::uint32_t level) {
  return level == 0 ? zone : base::ZoneId{zone.value + kLevelMark + std::to_string(level)};
}

std::uint32_t Hello::takeLevel(base::ZoneId& zone) {
  const std::size_t mark = zone.value.find(kLevelMark);
  if (mark == std::string::npos) {
    return 0;
  }
  const std::string digits = zone.value.substr(mark + 1);
  zone.value.resize(mark);
  std::uint32_t level = 0;
  const char* const end = digits.data() + digits.size();
  const auto read = std::from_chars(digits.data(), end, level);
  return read.ec == std::errc() && read.ptr == end ? level : 0;
}

std::string encodeMessage(const Message& message) { return base::encode(message); }

base::Result<Message> decodeMessage(std::string_view bytes) {
  if (bytes.size() > kMaxFrameBytes) {
    return base::Error{base::ErrorCode::inputTooLarge, "message", "frame is over the limit"};
  }
  return base::decode<Message>(bytes, "message");
}

std::string encodeCommand(const control::Command& command) { return base::encode(command); }

base::Result<control::Command> decodeCommand(std::string_view bytes) {
  return base::decode<control::Command>(bytes, "command");
}

}  // namespace walnut::protocol
