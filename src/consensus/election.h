#pragma once
/// @file
/// Election rules: when to start an election, how votes are counted, when a vote is granted.

#include <cstdint>
#include <set>
#include <vector>

#include "consensus/raft_log.h"
#include "walnut/base/random.h"
#include "walnut/base/time.h"
#include "walnut/consensus/raft.h"

namespace walnut::consensus {

/// Election timeout, measured from the last contact with a leader.
class ElectionTimer {
 public:
  /// Starts as if a leader had made contact at `now`: one may have done so just before a restart,
  /// and the lease that this granted must not be cut short.
  ElectionTimer(const RaftOptions& options, std::uint64_t seed, base::TimePoint now);

  /// Records that a message from the current leader arrived, and restarts the timeout.
  void onLeaderContact(base::TimePoint now);
  /// Draws a new deadline; also called when a vote is granted or an election begins.
  void restart(base::TimePoint now);

  base::TimePoint deadline() const { return deadline_; }

  /// @return true while a leader's lease may still be valid, so that no vote may be granted.
  bool leaderMayHoldLease(base::TimePoint now) const;

 private:
  base::Duration timeoutMin_;
  base::Duration timeoutMax_;
  base::Random random_;
  base::TimePoint lastLeaderContact_;
  base::TimePoint deadline_;
};

/// Set of the votes granted to this server in one election.
class VoteTally {
 public:
  void clear() { granted_.clear(); }
  void grant(base::ServerId voter) { granted_.insert(voter); }
  /// @return true if a majority of the voters of `membership` granted their vote.
  bool won(const Membership& membership) const;
  /// @return the voters of `membership` that did not grant their vote.
  std::vector<base::ServerId> missing(const Membership& membership) const;

 private:
  std::set<base::ServerId> granted_;
};

/// State of a voter on which its decision about a vote request depends.
struct VoterState {
  HardState hardState;
  bool leaderMayHoldLease = false;
  const RaftLog& log;
};

/// @return true if the vote may be granted to the candidate. A vote in a later term is decided as
/// if that term had been entered. Pre-votes change no state, so several may be granted.
bool grantsVote(const VoterState& voter, base::ServerId candidate, const VoteRequest& request);

}  // namespace walnut::consensus
