#pragma once
/// @file
/// Numbers in flags, and the flag that names seeds.

#include <charconv>
#include <cstdint>
#include <string_view>

namespace walnut::rehearsal {

/// @return false if the text is no whole number.
inline bool parseNumber(std::string_view text, std::uint64_t& value) {
  const auto [rest, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
  return failure == std::errc() && rest == text.data() + text.size();
}

/// Reads "A-B", or "A" alone.
/// @return false if it is neither, or B is below A.
inline bool parseSeeds(std::string_view text, std::uint64_t& first, std::uint64_t& last) {
  const std::size_t dash = text.find('-');
  const std::string_view end = dash == std::string_view::npos ? text : text.substr(dash + 1);
  return parseNumber(text.substr(0, dash), first) && parseNumber(end, last) && first <= last;
}

}  // namespace walnut::rehearsal
