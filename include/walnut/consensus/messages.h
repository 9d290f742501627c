#pragma once
/// @file
/// Data types of the replicated log (Raft): memberships, log entries and messages between servers.

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "walnut/base/ids.h"

namespace walnut::consensus {

using Term = std::uint64_t;
using LogIndex = std::uint64_t;

/// Roles of a member. While voters are replaced (joint consensus), the cell has two sets of voters:
/// the former one is `voter` and `outgoing`, the next one `voter` and `incoming`.
enum class MemberRole : std::uint8_t {
  learner = 0,   ///< Receives the log and has no vote.
  voter = 1,     ///< Votes; during a replacement in both sets.
  incoming = 2,  ///< Votes in the next set only.
  outgoing = 3,  ///< Votes in the former set only.
};

/// Identity, role and addresses of one server of the cell.
struct Member {
  base::ServerId id;
  MemberRole role = MemberRole::learner;
  base::Endpoint peerEndpoint;      ///< Address for the internal protocol.
  base::Endpoint resourceEndpoint;  ///< Address of the resource API (HTTP).
  base::ZoneId zone;

  bool operator==(const Member&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, role, peerEndpoint, resourceEndpoint, zone);
  }
};

/// List of the servers of a cell. Only one change of its voters is made at a time: two consecutive
/// memberships differ by one voter, or one of them has both sets of voters of a replacement.
struct Membership {
  std::vector<Member> members;

  bool operator==(const Membership&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(members);
  }
};

enum class EntryType : std::uint8_t {
  noop = 0,        ///< First entry of a leader's term.
  command = 1,     ///< Payload is a command for the state machine.
  membership = 2,  ///< Payload is an encoded Membership; takes effect once appended.
};

/// One entry of the replicated log, identified by its term and index.
struct LogEntry {
  Term term = 0;
  LogIndex index = 0;
  EntryType type = EntryType::noop;
  std::string payload;

  bool operator==(const LogEntry&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, index, type, payload);
  }
};

/// Current term and vote, which must survive a restart. Synced to disk before any message that
/// depends on it is sent.
struct HardState {
  Term term = 0;
  base::ServerId votedFor;  ///< Candidate voted for in this term; zero if none.

  bool operator==(const HardState&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, votedFor);
  }
};

/// Snapshot of the state machine after applying the entries up to and including `lastIndex`.
struct Snapshot {
  LogIndex lastIndex = 0;
  Term lastTerm = 0;
  LogIndex membershipIndex = 0;  ///< Log index of `membership`.
  Membership membership;
  std::string data;

  bool operator==(const Snapshot&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(lastIndex, lastTerm, membershipIndex, membership, data);
  }
};

/// RequestVote message of a candidate (or, with `preVote`, of a pre-candidate).
struct VoteRequest {
  Term term = 0;  ///< Candidate's term; for a pre-vote, the term it would enter.
  LogIndex lastLogIndex = 0;
  Term lastLogTerm = 0;
  bool preVote = false;
  bool leadershipTransfer = false;  ///< Set after a TimeoutNow: bypasses the leader lease check.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, lastLogIndex, lastLogTerm, preVote, leadershipTransfer);
  }
};

/// Message of a candidate whose log is not synced yet: a VoteRequest for its term follows once it
/// is. The receiver writes its vote at the same time as the candidate and answers the request only.
struct VoteAnnouncement {
  Term term = 0;
  LogIndex lastLogIndex = 0;
  Term lastLogTerm = 0;
  bool leadershipTransfer = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, lastLogIndex, lastLogTerm, leadershipTransfer);
  }
};

/// Reply to a VoteRequest.
struct VoteReply {
  Term term = 0;
  bool preVote = false;
  bool granted = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, preVote, granted);
  }
};

/// AppendEntries message of a leader; without entries it is a heartbeat or a commit update.
struct AppendRequest {
  Term term = 0;
  LogIndex previousIndex = 0;
  Term previousTerm = 0;
  LogIndex commitIndex = 0;
  std::uint64_t round = 0;  ///< Heartbeat round, echoed in the reply to confirm leadership.
  std::vector<LogEntry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, previousIndex, previousTerm, commitIndex, round, entries);
  }
};

/// Reply to an AppendRequest.
struct AppendReply {
  Term term = 0;
  bool accepted = false;
  LogIndex matchIndex = 0;  ///< If accepted: last index up to which the log equals the leader's.
  LogIndex hintIndex = 0;   ///< If refused: index from which the leader should retry.
  std::uint64_t round = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, accepted, matchIndex, hintIndex, round);
  }
};

/// One chunk of an encoded Snapshot, sent to a follower that needs entries which the leader has
/// already compacted.
struct SnapshotChunk {
  Term term = 0;
  LogIndex lastIndex = 0;  ///< Identifies the snapshot, together with `lastTerm`.
  Term lastTerm = 0;
  std::uint64_t offset = 0;
  std::uint64_t totalBytes = 0;
  std::uint64_t round = 0;
  std::string data;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, lastIndex, lastTerm, offset, totalBytes, round, data);
  }
};

/// Reply to a SnapshotChunk.
struct SnapshotReply {
  Term term = 0;
  LogIndex lastIndex = 0;
  std::uint64_t nextOffset = 0;  ///< Number of bytes received so far; `totalBytes` once installed.
  bool installed = false;
  std::uint64_t round = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, lastIndex, nextOffset, installed, round);
  }
};

/// Leadership transfer: the leader asks the receiver to start an election immediately.
struct TimeoutNow {
  Term term = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term);
  }
};

using MessageBody = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk,
                                 SnapshotReply, TimeoutNow, VoteAnnouncement>;

/// Envelope of a message between two servers of a cell.
struct Message {
  base::ServerId from;
  base::ServerId to;
  MessageBody body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(from, to, body);
  }
};

}  // namespace walnut::consensus
