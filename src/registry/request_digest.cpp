#include "walnut/registry/request_digest.h"

namespace walnut::registry {

std::string RequestDigest::text() const {
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

}  // namespace walnut::registry
