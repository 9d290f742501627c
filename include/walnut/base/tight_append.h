#pragma once
/// @file
/// Appends to buffers of which many are held at the same time.

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace walnut::base {

/// Appends so that the capacity exceeds the size by at most a quarter: strings otherwise double it.
inline void tightAppend(std::string& text, std::string_view bytes) {
  const std::size_t size = text.size() + bytes.size();
  if (size > text.capacity()) {
    constexpr std::size_t kSpareDivisor = 4;
    std::string grown;
    grown.reserve(std::max(size, text.size() + text.size() / kSpareDivisor));
    grown.append(text);
    text.swap(grown);
  }
  text.append(bytes);
}

}  // namespace walnut::base
