#pragma once
/// @file
/// Frame format of the wire protocol: magic "WLN1", 32-bit payload length, 64-bit xxHash (XXH3) of
/// the payload, payload. Integers are little-endian.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "walnut/base/error.h"
#include "walnut/protocol/messages.h"

namespace walnut::transport {

inline constexpr std::string_view kFrameMagic = "WLN1";
inline constexpr std::size_t kFrameHeaderBytes =
    kFrameMagic.size() + sizeof(std::uint32_t) + sizeof(std::uint64_t);

/// @return the encoded frame, or `inputTooLarge`.
base::Result<std::string> encodeFrame(const protocol::Message& message);

/// Parser of a byte stream into messages. After an error the stream can't be read further. Memory
/// use grows with the bytes received, never with the length stated in a header, and the memory is
/// released whenever no partial frame remains.
class FrameReader {
 public:
  /// Appends bytes received from the stream.
  void feed(std::string_view bytes);

  /// @return the next message; nullopt if it is incomplete; `malformedInput` or `inputTooLarge` if
  /// the data is not a valid frame.
  base::Result<std::optional<protocol::Message>> next();

  /// @return the allocated size of the buffer in bytes.
  std::size_t capacity() const { return buffer_.capacity(); }

 private:
  void discardConsumed();

  std::string buffer_;
  std::size_t consumed_ = 0;  ///< Size of the parsed frames at the front of `buffer_`.
};

}  // namespace walnut::transport
