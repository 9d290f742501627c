#pragma once
/// @file
/// Election rules: when to start an election, how votes are counted, when a vote is granted.

#include <cstdint>
#include <optional>
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
  /// @param extra time to add to the timeout.
  void onLeaderContact(base::TimePoint now, base::Duration extra = base::Duration::zero());
  /// Sets the deadline, such as to read first what came while this process was held up.
  void postpone(base::TimePoint deadline) { deadline_ = deadline; }
  /// Draws a new deadline; also called when a vote is granted or an election begins.
  /// @param extra time to add to the timeout.
  void restart(base::TimePoint now, base::Duration extra = base::Duration::zero());

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
  bool hasGranted(base::ServerId voter) const { return granted_.count(voter) != 0; }
  /// @return true if a majority of the voters of `membership`, of each set of them, granted their
  /// vote.
  bool won(const Membership& membership) const;
  /// @return the voters of `membership` that did not grant their vote.
  std::vector<base::ServerId> missing(const Membership& membership) const;

 private:
  std::set<base::ServerId> granted_;
};

/// Tracks the vote that this server granted in the present term. Until the vote is durable, and for
/// a while after that, no pre-vote for a later term is granted: on disks whose syncs take longer
/// than an election timeout, the next election would end this one before its votes are written. The
/// disks of a cell are often equally slow, so the others get the time that the own vote took.
class VoteHold {
 public:
  explicit VoteHold(const RaftOptions& options);

  void voteGranted(base::TimePoint now);
  void voteDurable(base::TimePoint now);
  /// A term has begun in which no vote is granted yet.
  void termBegan();

  /// @return true while the vote may still elect a leader.
  bool isUnderWay(base::TimePoint now) const { return grantedAt_ || now < until_; }
  /// @return the time that the last vote took to be durable, up to a bound.
  base::Duration allowance() const { return allowance_; }

 private:
  const base::Duration hold_;
  const base::Duration maxAllowance_;
  std::optional<base::TimePoint> grantedAt_;  // Set while the vote is not durable.
  base::Duration allowance_{0};
  base::TimePoint until_ = base::TimePoint::min();
};

/// Lengthens the time for which a leader stays without a quorum, and for which followers wait for
/// it, while leaders are lost one after the other. Where processes are held up for longer than that
/// time, each leader would be lost before it has committed anything, and an election takes as long.
/// Whether a leader holds its lease doesn't depend on it.
class LeaderPatience {
 public:
  explicit LeaderPatience(const RaftOptions& options) : base_(options.checkQuorumTimeout) {}

  /// A leader was lost, this server or another.
  void leaderLost(base::TimePoint now);
  base::Duration quorumTimeout() const { return base_ * (1 << doublings_); }
  base::Duration longestQuorumTimeout() const { return base_ * (1 << kMaxDoublings); }
  /// @return by how much longer than usual a follower waits for a leader.
  base::Duration followerAllowance() const { return quorumTimeout() - base_; }

 private:
  static constexpr int kMaxDoublings = 2;

  const base::Duration base_;
  int doublings_ = 0;
  base::TimePoint lastLossAt_ = base::TimePoint::min();
};

/// State of a voter on which its decision about a vote request depends.
struct VoterState {
  HardState hardState;
  bool leaderMayHoldLease = false;
  /// Its vote in the present term may still elect a leader; see VoteHold.
  bool voteUnderWay = false;
  const RaftLog& log;
};

/// @return true if the vote may be granted to the candidate. A vote in a later term is decided as
/// if that term had been entered. Pre-votes change no state, so several may be granted.
bool grantsVote(const VoterState& voter, base::ServerId candidate, const VoteRequest& request);

}  // namespace walnut::consensus
