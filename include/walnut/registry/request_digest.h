#pragma once
/// @file
/// Digests that identify a request, or a part of a prompt, when it comes again under another id.

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

/// First half of the SHA-256 of a service and of the id of a part that prompts of several of its
/// requests may share. Ids are chosen by callers: one that has the digest of another can't be made.
struct PromptPartDigest {
  static constexpr std::size_t kBytes = 16;

  std::array<std::uint8_t, kBytes> bytes{};

  auto operator<=>(const PromptPartDigest&) const = default;
  /// @return the first bytes in hexadecimal, for logs.
  std::string text() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(bytes);
  }
};

}  // namespace walnut::registry
