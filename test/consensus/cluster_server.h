#pragma once
/// @file
/// One server of a simulated cell: consensus logic, disk and state machine.

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/cluster_checker.h"
#include "consensus/memory_disk.h"
#include "walnut/base/random.h"
#include "walnut/consensus/raft.h"

namespace walnut::consensus::test {

/// Read whose index is not confirmed yet.
struct PendingRead {
  std::uint64_t token = 0;
  LogIndex appliedBefore = 0;  ///< Highest index applied by any server when it began.
};

/// Server process with its driver. An incarnation begins with `start` and ends with `crash`.
class ClusterServer {
 public:
  ClusterServer(base::ServerId id, ClusterChecker& checker)
      : id_(id), checker_(checker), disk_(id) {}

  void start(const RaftOptions& options, const Membership& bootstrap, std::uint64_t seed,
             base::TimePoint now);
  /// Stops the process, or the machine. If a batch is being synced, the next process reads a random
  /// prefix of it, which is durable or not.
  void crash(base::Random& random);

  base::ServerId id() const { return id_; }
  bool running() const { return raft_ != nullptr; }
  bool isActive() const { return running() && !frozen; }
  Raft& raft() { return *raft_; }
  /// Number of starts; events scheduled in an earlier incarnation are ignored.
  std::uint64_t incarnation() const { return incarnation_; }
  LogIndex applied() const { return applied_; }
  std::size_t syncingCount() const { return syncing_.size(); }
  std::uint64_t latestBatch() const { return syncing_.back().number; }

  /// Takes the outputs of the consensus logic, applies the committed entries and begins to sync the
  /// batch if there is one.
  /// @return the messages to send now.
  std::vector<Message> takeOutputs();
  /// Makes the batches up to this one durable, and reports it.
  void finishSync(base::TimePoint now, std::uint64_t batch);
  void answerReads();

  /// @return how often the state machine was replaced with a leader's snapshot.
  std::uint64_t snapshotsInstalled() const { return snapshotsInstalled_; }

  /// Passes a snapshot of the state to the consensus logic for compaction.
  void compact(std::size_t keepEntries);
  void beginRead(base::TimePoint now);

  bool frozen = false;
  bool lost = false;                             ///< Its disk is lost permanently.
  std::deque<Message> heldMessages;              ///< Messages that arrived while frozen.
  std::vector<std::uint64_t> syncedWhileFrozen;  ///< Batches whose sync ended while frozen.
  base::TimePoint wakeup = base::kNever;         ///< Time of the next scheduled tick.

 private:
  void persist(const PersistBatch& batch, std::size_t effects);
  void observeLeadership();
  void apply(const RaftOutputs& outputs);

  base::ServerId id_;
  ClusterChecker& checker_;
  MemoryDisk disk_;
  std::unique_ptr<Raft> raft_;
  std::uint64_t incarnation_ = 0;
  std::deque<PersistBatch> syncing_;
  std::size_t maxBatchesInFlight_ = 1;
  std::uint64_t snapshotsInstalled_ = 0;
  LogIndex applied_ = 0;
  std::uint64_t digest_ = 0;  // Digest of all applied entries.
  std::deque<PendingRead> reads_;
};

}  // namespace walnut::consensus::test
