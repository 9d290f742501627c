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
  /// @return the votes of all but these voters.
  VoteTally without(const std::set<base::ServerId>& voters) const;
  /// @return true if a majority of the voters of `membership`, of each set of them, granted their
  /// vote.
  bool won(const Membership& membership) const;
  /// @return the voters of `membership` that did not grant their vote.
  std::vector<base::ServerId> missing(const Membership& membership) const;

 private:
  std::set<base::ServerId> granted_;
};

/// What a candidate knows of others that stand for election in its term.
class RivalCandidates {
 public:
  void clear();
  void addRival(base::ServerId rival) { rivals_.insert(rival); }
  /// A voter has voted for another candidate.
  void addRefusal(base::ServerId voter) { refused_.insert(voter); }

  /// @return true if votes are split, and this server should stand again in the next term: of the
  /// rivals it has the lowest id, and its supporters that can still vote for it are no majority.
  /// @param supporters voters that were ready to vote for this server.
  bool shouldStandAgain(base::ServerId self, const VoteTally& supporters,
                        const Membership& membership) const;

 private:
  std::set<base::ServerId> rivals_;
  std::set<base::ServerId> refused_;
};

/// Tracks the vote that this server granted in the present term. Until the vote is durable, and for
/// a while after that, no pre-vote for a later term is granted: on disks whose syncs take longer
/// than an election timeout, the next election would end this one before its votes are written. The
/// disks of a cell are often equally slow, so the others get the time that the own vote took.
class VoteHold {
 public:
  explicit VoteHold(const RaftOptions& options);

  void voteGranted(base::TimePoint now);
  /// @param extra time to add to the hold.
  void voteDurable(base::TimePoint now, base::Duration extra = base::Duration::zero());
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
  LeaderPatience(const RaftOptions& options, base::TimePoint now);

  /// A leader was lost, this server or another.
  void leaderLost(base::TimePoint now);
  /// A leader was found, this server or another.
  void leaderFound(base::TimePoint now) { leaderSince_ = now; }
  /// @return by how much longer than usual to wait for a leader, a quorum, or votes. It has no
  /// bound: however slow the servers are, some leader stays in the end.
  base::Duration allowance(base::TimePoint now) const;

 private:
  /// Losses that follow each other, after which the allowance grows with the time.
  static constexpr int kMaxDoublings = 2;

  const base::Duration base_;
  const base::Duration calmElection_;  ///< Elections among servers that aren't slow end within it.
  int doublings_ = 0;
  base::TimePoint firstLossAt_;  ///< Of those that followed each other.
  std::optional<base::TimePoint> lastLossAt_;
  base::TimePoint leaderlessSince_;
  std::optional<base::TimePoint> leaderSince_;  ///< Nothing while there is no leader.
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
