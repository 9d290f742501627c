#pragma once
/// @file
/// Determines from probes of the voters whether a router's configuration is known to be current.

#include <map>
#include <optional>

#include "walnut/base/time.h"
#include "walnut/protocol/messages.h"

namespace walnut::routing {

class ClusterView;

/// Collects the answers to probe rounds. A round yields a bound once a majority of the voters has
/// answered: the k-th smallest `lastLogIndex`, where k is the size of a majority. Everything that
/// was committed before the round was sent is in the log of at least one member of that majority,
/// so a view that has reached the bound is current as of the time at which the round was sent. This
/// needs no leader.
class FreshnessTracker {
 public:
  /// @param limit validity period of a confirmation.
  explicit FreshnessTracker(base::Duration limit) : limit_(limit) {}

  /// Begins a round.
  /// @return its sequence number, for all its ProbeRequests.
  std::uint64_t beginRound(base::TimePoint now);
  void reply(const protocol::ProbeReply& reply, const ClusterView& view);
  /// Updates the confirmation. Must be called whenever the view's index or membership changed.
  void viewChanged(const ClusterView& view);

  /// @return whether there is a confirmation that is not older than the limit. Depends on `now`
  /// alone, so that an old confirmation does not count after a frozen process resumes.
  bool confirmed(base::TimePoint now) const;
  /// @return the send time of the newest round whose bound the view has reached.
  std::optional<base::TimePoint> confirmedAt() const { return confirmedAt_; }
  /// @return when the confirmation expires; kNever without one.
  base::TimePoint expiresAt() const;
  /// @return the send time of the oldest round whose bound the view has not reached.
  std::optional<base::TimePoint> laggingSince() const;

 private:
  struct Answer {
    consensus::LogIndex lastLogIndex = 0;
    consensus::LogIndex membershipIndex = 0;
  };
  struct Round {
    base::TimePoint sentAt;
    std::map<base::ServerId, Answer> answers;
  };

  std::optional<consensus::LogIndex> bound(const Round& round, const ClusterView& view) const;

  base::Duration limit_;
  std::uint64_t nextSequence_ = 1;
  /// Rounds newer than the confirmed one, by sequence; at most kMaxRounds.
  std::map<std::uint64_t, Round> rounds_;
  std::optional<base::TimePoint> confirmedAt_;
  std::optional<base::TimePoint> laggingSince_;
};

}  // namespace walnut::routing
