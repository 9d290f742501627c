#pragma once
/// @file
/// Interface to the Raft consensus logic of one server.

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/base/time.h"
#include "walnut/consensus/messages.h"

namespace walnut::consensus {

enum class Role : std::uint8_t { follower, preCandidate, candidate, leader };

/// Timing of elections and limits on message sizes. The defaults suit zones with a network delay
/// of a few milliseconds between them.
struct RaftOptions {
  base::Duration heartbeatInterval = std::chrono::milliseconds(100);
  /// The timeout of each election is drawn at random from [electionTimeoutMin, electionTimeoutMax].
  base::Duration electionTimeoutMin = std::chrono::milliseconds(500);
  base::Duration electionTimeoutMax = std::chrono::milliseconds(1000);
  /// Election timeout after a process start, unless a leader makes contact before; 0 means that it
  /// is drawn at random like all others.
  base::Duration firstElectionTimeout{0};
  /// A leader steps down if it receives no replies from a majority for this long (check-quorum).
  /// Must not exceed electionTimeoutMin, so that a leader has stepped down before another server
  /// can be elected.
  base::Duration checkQuorumTimeout = std::chrono::milliseconds(500);
  /// If true, a candidate whose log is not synced sends VoteAnnouncements; the driver drops those
  /// to servers that don't know the message.
  bool announcesVotes = false;
  /// Batches that the driver may sync at the same time: an entry need not wait for the sync of an
  /// earlier one to end before its own begins.
  std::size_t maxBatchesInFlight = 1;
  std::size_t maxEntriesPerAppend = 256;
  std::size_t maxBytesPerAppend = 1U << 20U;
  std::size_t snapshotChunkBytes = 256U << 10U;
};

/// State that storage recovers at process start.
struct RecoveredState {
  base::ServerId self;
  HardState hardState;
  std::optional<Snapshot> snapshot;
  std::vector<LogEntry> entries;  ///< Contiguous, starting at snapshot.lastIndex + 1 (or 1).
  /// The state, the identity included, is durable only once the first batch is synced: it may have
  /// been read from the page cache.
  bool needsSync = false;
};

/// Changes that storage must write and sync as one batch, in this order: snapshot (which replaces
/// the log if it is ahead of it), truncation, entries, hard state, compaction.
struct PersistBatch {
  std::uint64_t number = 0;          ///< Number of the batch in this life of the server, from 1.
  std::optional<Snapshot> snapshot;  ///< Snapshot to save; see `discardLog`.
  bool discardLog = false;           ///< The snapshot is from a leader and replaces the log.
  std::optional<LogIndex> truncateFrom;  ///< Remove all entries with an index >= this.
  std::vector<LogEntry> entries;         ///< Entries to append after the truncation.
  std::optional<HardState> hardState;
  std::optional<LogIndex> compactTo;  ///< Entries with an index <= this may be removed.
  /// Set in the first batch after a recovery whose state needs a sync, and then in no other.
  bool syncsRecovered = false;

  /// @return true if the batch only appends to a log that is in use, so that its sync may overlap
  /// with those of other such batches.
  bool mayOverlap() const { return !snapshot && !compactTo && !syncsRecovered; }
  bool empty() const {
    return !snapshot && !truncateFrom && entries.empty() && !hardState && !compactTo &&
           !syncsRecovered;
  }
};

inline constexpr std::uint64_t kAllBatches = 0;

enum class ElectionEnd : std::uint8_t {
  won,
  timedOut,    ///< No majority granted its votes before the election timeout.
  superseded,  ///< Another server leads, or a higher term has begun.
  split,       ///< Other candidates have the votes that are missing.
};

/// @return the name for logs and metrics.
std::string_view electionEndName(ElectionEnd end);

/// How an election of this server ended.
struct ElectionReport {
  Term term = 0;
  bool preVote = false;  ///< No votes were asked for: the round of pre-votes before them ended.
  ElectionEnd end = ElectionEnd::timedOut;
  std::vector<base::ServerId> missing;  ///< Voters that granted nothing.
  bool ownVoteDurable = false;
  base::Duration duration{0};
};

/// Actions that the caller must carry out: begin to write and sync `persist`; send `messages`; pass
/// `installed` and `committed` to the state machine; call `onPersisted()` once `persist`, if it was
/// not empty, is synced. Nothing else waits for the sync: what promises durability is output after
/// `onPersisted()`.
struct RaftOutputs {
  PersistBatch persist;
  std::vector<Message> messages;
  std::optional<Snapshot> installed;  ///< Replaces the state machine's contents before `committed`.
  std::vector<LogEntry> committed;    ///< Entries to apply next, in order, each exactly once.
  std::vector<ElectionReport> elections;  ///< Ended since the last outputs; for logs and metrics.
};

/// Copy of the observable state, for tests, status pages and invariant checks.
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

/// Raft consensus logic of one server. Deterministic, does no I/O and is not thread safe: it is
/// owned by a single event loop. Invariants: at most one leader per term; log matching; a committed
/// entry is in the log of every later leader; a message that promises durability is only output
/// once the batch that makes the promise true is reported as synced.
class Raft {
 public:
  virtual ~Raft() = default;

  /// Advances the clock and runs what is due: elections, heartbeats and check-quorum.
  virtual void tick(base::TimePoint now) = 0;

  /// Reports that this process ran later than it should have: the timeouts of a server that is held
  /// up again and again follow.
  virtual void heldUp(base::TimePoint now, base::Duration duration) = 0;

  /// Handles a message from another server. A sender outside the membership still gets a reply
  /// where that is safe.
  virtual void receive(base::TimePoint now, const Message& message) = 0;

  /// Appends a command to the log of the leader.
  /// @return the index of the entry, or `notLeader` (also during a leadership transfer).
  virtual base::Result<LogIndex> propose(base::TimePoint now, std::string payload) = 0;

  /// Appends a membership with one of these changes: learners are added or removed; one learner is
  /// promoted, which needs a log that is nearly as long as the leader's; one voter is removed; some
  /// voters become outgoing and as many learners incoming. The leader itself ends such a
  /// replacement once it is committed.
  /// @return the index of the entry, `notLeader`, `membershipChangePending` or `outOfRange`.
  virtual base::Result<LogIndex> changeMembership(base::TimePoint now,
                                                  const Membership& membership) = 0;

  /// Transfers leadership to the most up-to-date voter; used for a planned shutdown.
  virtual void transferLeadership(base::TimePoint now) = 0;

  /// Starts a linearizable read. `readReady` returns its read index once a majority has confirmed
  /// this leader in a heartbeat round that was opened after the read began.
  /// @return a token to pass to `readReady`, or `notLeader`.
  virtual base::Result<std::uint64_t> beginRead(base::TimePoint now) = 0;

  /// @return the index that the state machine must have applied before the read with this token
  /// may be answered; nullopt while leadership is unconfirmed; `notLeader` if leadership was lost
  /// since the read began.
  virtual base::Result<std::optional<LogIndex>> readReady(std::uint64_t token) = 0;

  /// Stores a snapshot of the state machine and removes the log entries that it covers, except for
  /// the last `keepEntries`.
  virtual void compact(LogIndex appliedIndex, std::string data, std::size_t keepEntries) = 0;

  /// Reports that the batch with this number has been synced. It counts as durable once all before
  /// it have been reported.
  /// @param batch kAllBatches: every batch so far.
  virtual void onPersisted(base::TimePoint now, std::uint64_t batch) = 0;
  void onPersisted(base::TimePoint now) { onPersisted(now, kAllBatches); }

  /// @return the actions to carry out now; empty if there are none. There are no more batches than
  /// `maxBatchesInFlight` that have not been reported by `onPersisted`, and only one unless all may
  /// overlap.
  virtual RaftOutputs takeOutputs() = 0;

  /// @return the time at which `tick` must be called next.
  virtual base::TimePoint nextWakeup() const = 0;

  /// @return true while this server holds the leader lease: it is leader and a majority has
  /// confirmed it within checkQuorumTimeout. Orders to engines may only be sent while this holds.
  virtual bool leaseValid(base::TimePoint now) const = 0;

  virtual RaftStatus status() const = 0;
};

}  // namespace walnut::consensus
