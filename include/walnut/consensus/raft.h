#pragma once
/// @file
/// Pure interface of one server's consensus logic.

#include <cstdint>
#include <optional>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/base/time.h"
#include "walnut/consensus/messages.h"

namespace walnut::consensus {

enum class Role : std::uint8_t { follower, preCandidate, candidate, leader };

/// Timing of elections. Defaults suit zones a few milliseconds apart.
struct RaftOptions {
  base::Duration heartbeatInterval = std::chrono::milliseconds(100);
  /// Drawn for each election from [electionTimeoutMin, electionTimeoutMax].
  base::Duration electionTimeoutMin = std::chrono::milliseconds(500);
  base::Duration electionTimeoutMax = std::chrono::milliseconds(1000);
  /// Until the first election after a start, if no leader is heard; 0: drawn as any other.
  base::Duration firstElectionTimeout{0};
  /// A leader that hears no majority for this long steps down (check-quorum). Must not be more
  /// than electionTimeoutMin, so that it has stepped down before another can be elected.
  base::Duration checkQuorumTimeout = std::chrono::milliseconds(500);
  std::size_t maxEntriesPerAppend = 256;
  std::size_t maxBytesPerAppend = 1U << 20U;
  std::size_t snapshotChunkBytes = 256U << 10U;
};

/// What storage holds when a process starts.
struct RecoveredState {
  base::ServerId self;
  HardState hardState;
  std::optional<Snapshot> snapshot;
  std::vector<LogEntry> entries;  ///< Contiguous, from snapshot.lastIndex + 1 (or 1).
};

/// Work for the storage, to be synced as a whole and in this order: snapshot (which replaces the
/// log if it is ahead of it), truncation, entries, hard state, compaction.
struct PersistBatch {
  std::optional<Snapshot> snapshot;      ///< To save; `discardLog` tells if the log is replaced.
  bool discardLog = false;               ///< Installed from a leader: the old log is void.
  std::optional<LogIndex> truncateFrom;  ///< Remove entries with index >= this one.
  std::vector<LogEntry> entries;         ///< Append after truncation.
  std::optional<HardState> hardState;
  std::optional<LogIndex> compactTo;  ///< Entries with index <= this may be removed.

  bool empty() const {
    return !snapshot && !truncateFrom && entries.empty() && !hardState && !compactTo;
  }
};

/// What the driver must do, in this order: persist and sync `persist`; then send `messages`; then
/// hand `installed` and `committed` to the state machine; then call `onPersisted()` if `persist`
/// was not empty.
struct RaftOutputs {
  PersistBatch persist;
  std::vector<Message> messages;
  std::optional<Snapshot> installed;  ///< Replaces the state machine before `committed`.
  std::vector<LogEntry> committed;    ///< Next entries to apply, in order, each exactly once.
};

/// Observable state, for tests, status pages and invariant checks.
struct RaftStatus {
  base::ServerId self;
  Role role = Role::follower;
  Term term = 0;
  base::ServerId leader;  ///< Zero if unknown.
  LogIndex firstIndex = 0;
  LogIndex lastIndex = 0;
  LogIndex commitIndex = 0;
  LogIndex membershipIndex = 0;
  Membership membership;
};

/// Consensus logic of one server. Deterministic, no I/O, not thread safe: owned by one decision
/// loop. Invariants: at most one leader a term; log matching; a committed entry is in the log of
/// every later leader; messages that promise durability are only in the outputs together with the
/// batch that makes it true.
class Raft {
 public:
  virtual ~Raft() = default;

  /// Advances time: elections, heartbeats, check-quorum.
  virtual void tick(base::TimePoint now) = 0;

  /// Handles a message from another server; one not from the membership is still answered if safe.
  virtual void receive(base::TimePoint now, const Message& message) = 0;

  /// Appends a command on the leader.
  /// @return its index, or `notLeader` (also while handing over).
  virtual base::Result<LogIndex> propose(base::TimePoint now, std::string payload) = 0;

  /// Appends a membership that differs by one member (added, removed, or promoted). A learner is
  /// promoted to voter only when its log is near the leader's.
  /// @return its index, `notLeader`, `membershipChangePending` or `outOfRange`.
  virtual base::Result<LogIndex> changeMembership(base::TimePoint now,
                                                  const Membership& membership) = 0;

  /// Hands leadership to the most up-to-date voter; used for a planned stop.
  virtual void transferLeadership(base::TimePoint now) = 0;

  /// Starts a linearizable read: `readIndex()` reaches a value >= the returned token's index once
  /// a majority has confirmed this leader in a later round.
  /// @return a token to pass to `readReady`, or `notLeader`.
  virtual base::Result<std::uint64_t> beginRead(base::TimePoint now) = 0;

  /// @return the index that the state machine must have applied before the read with that token
  /// may be answered; nothing while unconfirmed; `notLeader` if leadership was lost since.
  virtual base::Result<std::optional<LogIndex>> readReady(std::uint64_t token) = 0;

  /// Hands in a snapshot of the state machine; the log up to it (less `keepEntries`) is dropped.
  virtual void compact(LogIndex appliedIndex, std::string data, std::size_t keepEntries) = 0;

  /// Tells that the last non-empty PersistBatch has been synced.
  virtual void onPersisted(base::TimePoint now) = 0;

  /// @return what to do now; empty if nothing. Not to be called again until the previous non-empty
  /// batch was reported by `onPersisted`.
  virtual RaftOutputs takeOutputs() = 0;

  /// @return when `tick` must be called next.
  virtual base::TimePoint nextWakeup() const = 0;

  /// @return true while this server is leader and a majority has confirmed it within
  /// checkQuorumTimeout. Orders to engines may only be sent while this holds.
  virtual bool leaseValid(base::TimePoint now) const = 0;

  virtual RaftStatus status() const = 0;
};

}  // namespace walnut::consensus
