#pragma once
/// @file
/// Transfer of an encoded snapshot in chunks. The follower's replies contain the number of bytes
/// received, and the leader continues from there, so that lost, repeated or reordered messages only
/// cause delay.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "walnut/consensus/messages.h"

namespace walnut::consensus {

/// Snapshot in its encoded form, shared by the transfers to all followers that need it.
struct EncodedSnapshot {
  LogIndex lastIndex = 0;
  Term lastTerm = 0;
  std::string bytes;
};

/// Sender of a snapshot to one follower, used by the leader. One chunk is in flight at a time. A
/// chunk without data serves as the heartbeat and makes the follower report how much it received.
class SnapshotSender {
 public:
  explicit SnapshotSender(std::shared_ptr<const EncodedSnapshot> snapshot)
      : snapshot_(std::move(snapshot)) {}

  LogIndex lastIndex() const { return snapshot_->lastIndex; }

  /// @return the number of bytes that the follower is known to have received.
  std::uint64_t offset() const { return offset_; }

  /// @return true if data must be sent now.
  bool dataDue() const { return dataDue_; }

  /// @return the next chunk with data.
  /// @param round latest heartbeat round.
  SnapshotChunk takeData(Term term, std::uint64_t round, std::size_t maxBytes);
  /// @return a chunk without data.
  SnapshotChunk probe(Term term, std::uint64_t round) const;

  /// Handles a reply, according to which the follower has received `nextOffset` bytes.
  void onReply(std::uint64_t nextOffset, std::uint64_t round);

 private:
  SnapshotChunk emptyChunk(Term term, std::uint64_t round) const;

  std::shared_ptr<const EncodedSnapshot> snapshot_;
  std::uint64_t offset_ = 0;
  std::uint64_t dataRound_ = 0;  // Heartbeat round in which data was last sent.
  bool dataDue_ = true;
};

/// Receiver of a snapshot, used by a follower. Receives at most one snapshot at a time.
class SnapshotReceiver {
 public:
  /// Handles a chunk from the leader of the current term. A chunk of an older snapshot from the
  /// same leader is ignored; one of a newer snapshot or from another leader restarts the transfer.
  /// @return the complete snapshot once its last byte has arrived.
  std::optional<Snapshot> receive(const SnapshotChunk& chunk);

  /// @return the number of bytes received of the chunk's snapshot.
  std::uint64_t nextOffset(const SnapshotChunk& chunk) const;

  /// Discards the received data.
  void clear();

 private:
  bool isCurrent(const SnapshotChunk& chunk) const;

  bool active_ = false;
  Term term_ = 0;  // Term of the sending leader.
  LogIndex lastIndex_ = 0;
  Term lastTerm_ = 0;
  std::uint64_t totalBytes_ = 0;
  std::string received_;  // Prefix of the encoded snapshot received so far.
};

}  // namespace walnut::consensus
