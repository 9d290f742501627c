#pragma once
/// @file
/// Estimate of how slow the hosts of a cell are: for how long they hold their servers up, and how
/// long their disks take to sync.

#include <cstdint>
#include <deque>

#include "walnut/base/time.h"

namespace walnut::consensus {

/// Keeps the durations of the last seconds.
class RecentDurations {
 public:
  void record(base::TimePoint now, base::Duration duration);
  /// @return the longest duration but one, so that a single long one doesn't count; zero if there
  /// are fewer than two.
  base::Duration usual(base::TimePoint now) const;

 private:
  struct Sample {
    base::TimePoint at;
    base::Duration duration{0};
  };

  std::deque<Sample> samples_;  // Ordered from oldest to latest.
};

/// Measures the pace of this server's host. The servers of a cell often share a host, or its
/// troubles, so that the others are taken to be about as slow.
class HostPace {
 public:
  /// This process ran by that much later than it should have.
  void heldUp(base::TimePoint now, base::Duration duration) { holdUps_.record(now, duration); }
  void batchTaken(base::TimePoint now, std::uint64_t batch) { syncing_.push_back({batch, now}); }
  /// All batches up to this one are synced.
  void batchSynced(base::TimePoint now, std::uint64_t batch);
  /// A follower replied to a heartbeat that was due for so long.
  void replyCame(base::TimePoint now, base::Duration age) { replies_.record(now, age); }

  /// @return the time that a message, a sync of what it brings and the reply usually take; zero on
  /// hosts that are not slow.
  base::Duration exchangeTime(base::TimePoint now) const;
  /// @return the time for which a server is usually held up; zero on hosts that are not slow.
  base::Duration holdUpTime(base::TimePoint now) const { return holdUps_.usual(now); }

 private:
  struct Batch {
    std::uint64_t number = 0;
    base::TimePoint takenAt;
  };

  RecentDurations holdUps_;
  RecentDurations syncs_;
  RecentDurations replies_;
  std::deque<Batch> syncing_;
};

}  // namespace walnut::consensus
