#pragma once
/// @file
/// Replication progress and flow control of a leader for one follower.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "consensus/snapshot_transfer.h"
#include "walnut/base/time.h"
#include "walnut/consensus/messages.h"

namespace walnut::consensus {

/// Replication mode of a follower. Transitions: probe -> replicate when an append is accepted;
/// replicate -> probe when one is refused; probe, replicate -> snapshot when the next entry is no
/// longer in the leader's log; snapshot -> replicate when the follower's log reaches the leader's
/// first entry again.
enum class ProgressState : std::uint8_t {
  probe,      ///< The matching index is unknown: one append is sent at a time.
  replicate,  ///< Appends are pipelined.
  snapshot,   ///< Chunks of a snapshot are sent instead of entries.
};

/// Maximum number of unanswered appends per follower. At 1 MiB each, this bounds the cost of a
/// slow follower; it covers the network delay between zones at the batch
/// size of one sync.
inline constexpr std::size_t kMaxAppendsInFlight = 16;

/// Replication progress of one follower. Invariants: matchIndex() < nextIndex(); the follower has
/// synced the entries up to matchIndex(). matchIndex() decreases only if the follower refuses
/// entries that it accepted in an earlier round, which means that its disk lost the end of the log.
class Progress {
 public:
  explicit Progress(LogIndex nextIndex) : nextIndex_(nextIndex) {}

  ProgressState state() const { return state_; }
  LogIndex matchIndex() const { return matchIndex_; }
  LogIndex nextIndex() const { return nextIndex_; }

  /// @return true if an append with entries may be sent now.
  bool mayAppend() const;
  /// Records that an append with the entries (nextIndex() - 1, lastSent] and `commitIndex` is sent.
  void appendSent(LogIndex lastSent, LogIndex commitIndex);
  /// Allows the probe to be repeated, since the previous one may be lost.
  void allowNextProbe() { probeSent_ = false; }
  /// @return true if `commitIndex` has not yet been sent to the follower.
  bool needsCommitUpdate(LogIndex commitIndex) const;

  /// Handles an accepted append: the follower's log equals the leader's up to `matchIndex`.
  /// @param round heartbeat round of the request.
  /// @param baseIndex base index of the leader's log.
  void onAccepted(LogIndex matchIndex, std::uint64_t round, LogIndex baseIndex);
  /// Handles a refused append of `round`; the follower requests the entries from `hintIndex` on.
  void onRefused(LogIndex hintIndex, std::uint64_t round);

  void beginSnapshot(std::shared_ptr<const EncodedSnapshot> snapshot);
  /// May only be called in state `snapshot`.
  SnapshotSender& snapshotSender() { return *snapshotSender_; }

  /// Records a reply to `round`, which was opened at `openedAt` if that is still recorded.
  void onRoundConfirmed(std::uint64_t round, std::optional<base::TimePoint> openedAt);
  std::uint64_t confirmedRound() const { return confirmedRound_; }
  /// @return the opening time of the latest round that the follower has answered;
  /// TimePoint::min() if there is none.
  base::TimePoint confirmedAt() const { return confirmedAt_; }

 private:
  void enterReplicate();

  ProgressState state_ = ProgressState::probe;
  LogIndex matchIndex_ = 0;
  LogIndex nextIndex_;
  bool probeSent_ = false;         // In state probe: true while an append is unanswered.
  std::deque<LogIndex> inFlight_;  // In state replicate: last index of each unanswered append.
  LogIndex commitSent_ = 0;        // Highest commit index sent.
  std::optional<SnapshotSender> snapshotSender_;  // Present in state snapshot.
  std::uint64_t acceptedRound_ = 0;  // Latest round in which an append or snapshot was accepted.
  std::uint64_t confirmedRound_ = 0;
  base::TimePoint confirmedAt_ = base::TimePoint::min();
};

}  // namespace walnut::consensus
