#pragma once
/// @file
/// Serialization (cereal) of log entries, memberships and snapshots for storage and transfer.

#include <string>
#include <string_view>

#include "walnut/base/error.h"
#include "walnut/consensus/messages.h"

namespace walnut::consensus {

std::string encodeMembership(const Membership& membership);
base::Result<Membership> decodeMembership(std::string_view bytes);

std::string encodeEntry(const LogEntry& entry);
base::Result<LogEntry> decodeEntry(std::string_view bytes);

std::string encodeSnapshot(const Snapshot& snapshot);
base::Result<Snapshot> decodeSnapshot(std::string_view bytes);

}  // namespace walnut::consensus
