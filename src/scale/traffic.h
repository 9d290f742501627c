#pragma once
/// @file
/// Counts of messages by their kind.

#include <array>
#include <cstdint>
#include <variant>

#include "walnut/protocol/messages.h"

namespace walnut::scale {

/// Messages of one kind, one way.
struct Traffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;  ///< Of whole frames.
};

/// By alternative of protocol::Message.
using TrafficByKind = std::array<Traffic, std::variant_size_v<protocol::Message>>;

/// @return the name of the alternative of protocol::Message.
const char* messageKindName(std::size_t kind);

/// @return bytes of the message's frame.
std::uint64_t frameBytes(const protocol::Message& message);

}  // namespace walnut::scale
