#pragma once
/// @file
/// Validation of decoded enumerations: the archive itself accepts any byte as an enum value.

#include <algorithm>

#include "walnut/consensus/messages.h"

namespace walnut::consensus {

/// @return true if this version knows the type. An entry of an unknown type must not be written to
/// the log, since it could not be read back.
inline bool isKnown(EntryType type) { return type <= EntryType::membership; }

inline bool isKnown(MemberRole role) { return role <= MemberRole::outgoing; }

inline bool isWellFormed(const Membership& membership) {
  return std::all_of(membership.members.begin(), membership.members.end(),
                     [](const Member& member) { return isKnown(member.role); });
}

}  // namespace walnut::consensus
