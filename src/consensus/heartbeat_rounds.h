#pragma once
/// @file
/// Numbering of heartbeat rounds, on which read indexes and the leader lease are based.

#include <cstdint>
#include <deque>
#include <optional>

#include "walnut/base/time.h"

namespace walnut::consensus {

/// Counter of the heartbeat rounds of a leader, with their opening times. Every message of a leader
/// carries the number of the latest round, and the reply echoes it. A reply to round r proves that
/// the follower still accepted this leader at some time after round r was opened. Numbers never
/// repeat within a process, so the rounds of an earlier leadership have lower numbers.
class HeartbeatRounds {
 public:
  /// Opens a round, unless one is already open. Its messages are sent with the next outputs.
  /// @return the number of the open round.
  std::uint64_t open(base::TimePoint now);

  /// Closes the open round; called when its messages are produced.
  /// @return true if a round was open.
  bool close();

  /// Closes the open round and removes all opening times; called when leadership ends.
  void clear();

  std::uint64_t latest() const { return latest_; }

  /// @return the time at which the round was opened; nullopt if it is no longer recorded.
  std::optional<base::TimePoint> openedAt(std::uint64_t round) const;

  /// Removes the opening times of rounds that were opened before `time`.
  void removeBefore(base::TimePoint time);

 private:
  std::uint64_t latest_ = 0;
  bool open_ = false;
  std::deque<base::TimePoint> openedAt_;  // The last element belongs to latest_.
};

}  // namespace walnut::consensus
