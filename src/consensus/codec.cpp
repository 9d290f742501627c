#include "walnut/consensus/codec.h"

#include "base/archive.h"
#include "consensus/validation.h"

namespace walnut::consensus {

namespace {

base::Error malformed(const char* what, const char* detail) {
  return base::Error{base::ErrorCode::malformedInput, what, detail};
}

}  // namespace

std::string encodeMembership(const Membership& membership) { return base::encode(membership); }

base::Result<Membership> decodeMembership(std::string_view bytes) {
  BOOST_OUTCOME_TRY(membership, base::decode<Membership>(bytes, "membership"));
  if (!isWellFormed(membership)) {
    return malformed("membership", "unknown role");
  }
  return std::move(membership);
}

std::string encodeEntry(const LogEntry& entry) { return base::encode(entry); }

base::Result<LogEntry> decodeEntry(std::string_view bytes) {
  BOOST_OUTCOME_TRY(entry, base::decode<LogEntry>(bytes, "entry"));
  if (!isKnown(entry.type)) {
    return malformed("entry", "unknown type");
  }
  return std::move(entry);
}

std::string encodeSnapshot(const Snapshot& snapshot) { return base::encode(snapshot); }

base::Result<Snapshot> decodeSnapshot(std::string_view bytes) {
  BOOST_OUTCOME_TRY(snapshot, base::decode<Snapshot>(bytes, "snapshot"));
  if (!isWellFormed(snapshot.membership)) {
    return malformed("snapshot", "unknown role");
  }
  return std::move(snapshot);
}

}  // namespace walnut::consensus
