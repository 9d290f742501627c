#pragma once
/// @file
/// Digest that identifies a request when its caller repeats it under another id.

#include <array>
#include <cereal/types/array.hpp>
#include <compare>
#include <cstdint>
#include <string>

namespace walnut::registry {

/// SHA-256 of a request's caller, method, path and body. Requests that differ in one of them can't
/// be made to collide, and the digest does not reveal the request.
struct RequestDigest {
  static constexpr std::size_t kBytes = 32;

  std::array<std::uint8_t, kBytes> bytes{};

  auto operator<=>(const RequestDigest&) const = default;
  /// @return the first bytes in hexadecimal, for logs.
  std::string text() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(bytes);
  }
};

}  // namespace walnut::registry
