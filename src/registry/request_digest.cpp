#include "walnut/registry/request_digest.h"

namespace walnut::registry {

namespace {

/// @return the first bytes in hexadecimal.
template <std::size_t kSize>
std::string shortText(const std::array<std::uint8_t, kSize>& bytes) {
  constexpr std::size_t kShownBytes = 8;
  constexpr const char* kDigits = "0123456789abcdef";
  constexpr unsigned kNibble = 4;
  constexpr unsigned kNibbleMask = 0xf;
  std::string text;
  for (std::size_t index = 0; index < kShownBytes; ++index) {
    text += kDigits[bytes[index] >> kNibble];
    text += kDigits[bytes[index] & kNibbleMask];
  }
  return text;
}

}  // namespace

std::string RequestDigest::text() const { return shortText(bytes); }

std::string PromptPartDigest::text() const { return shortText(bytes); }

}  // namespace walnut::registry
