#pragma once
/// @file
/// cereal encoding of messages and commands. Decoding never throws and never allocates more than
/// the input justifies.

#include <string>
#include <string_view>

#include "walnut/base/error.h"
#include "walnut/control/commands.h"
#include "walnut/protocol/messages.h"

namespace walnut::protocol {

/// Maximum accepted frame size in bytes, header excluded. Above the largest legal message: an
/// append request of RaftOptions::maxBytesPerAppend plus one entry.
inline constexpr std::size_t kMaxFrameBytes = 4U << 20U;

std::string encodeMessage(const Message& message);
base::Result<Message> decodeMessage(std::string_view bytes);

std::string encodeCommand(const control::Command& command);
base::Result<control::Command> decodeCommand(std::string_view bytes);

}  // namespace walnut::protocol
