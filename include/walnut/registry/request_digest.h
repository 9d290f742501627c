#pragma once
/// @file
/// What a request is known by when its caller sends it again under another id.

#include <array>
#include <cereal/types/array.hpp>
#include <compare>
#include <cstdint>
#include <string>

namespace walnut::registry {

/// SHA-256 of a request's caller, method, path and body: two requests that differ in one of them
/// can't be made to have the same digest, and it tells nobody what they were.
struct RequestDigest {
  static constexpr std::size_t kBytes = 32;

  std::array<std::uint8_t, kBytes> bytes{};

  auto operator<=>(const RequestDigest&) const = default;
  /// @return the first bytes in hex, for logs.
  std::string text() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(bytes);
  }
};

}  // namespace walnut::registry
