#pragma once
/// @file
/// Implementation of Raft (Ongaro and Ousterhout, 2014) with the extensions of Ongaro's thesis:
/// pre-vote, check-quorum, leader lease, read index, membership changes of one voter or by joint
/// consensus, learners, leadership transfer, snapshots.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/election.h"
#include "consensus/heartbeat_rounds.h"
#include "consensus/host_pace.h"
#include "consensus/membership.h"
#include "consensus/persist_queue.h"
#include "consensus/progress.h"
#include "consensus/raft_log.h"
#include "consensus/snapshot_transfer.h"
#include "walnut/consensus/raft.h"

namespace walnut::consensus {

/// Leadership transfer in progress.
struct LeadershipTransfer {
  base::ServerId target;
  base::TimePoint deadline;     ///< Time at which the transfer is abandoned.
  bool timeoutNowSent = false;  ///< If true, another leader may be elected at any time.
};

/// Election of this server that has not ended yet.
struct OpenElection {
  Term term = 0;
  bool preVote = false;
  base::TimePoint since;
};

/// State that exists only while this server is leader.
struct LeaderState {
  std::map<base::ServerId, Progress> followers;  ///< All members except this server.
  base::TimePoint since;                         ///< Time at which this server became leader.
  base::Duration electionTime{0};                ///< From its first request for a pre-vote on.
  std::uint64_t firstRound = 0;                  ///< Lower rounds belong to an earlier leadership.
  LogIndex firstOwnIndex = 0;                    ///< Index of the no-op entry that opened the term.
  base::TimePoint nextHeartbeat;                 ///< Time at which the next round is opened.
  std::optional<LeadershipTransfer> transfer;
  /// Servers that are being removed from the membership. They still receive entries until the
  /// removal is committed, so that they learn of it.
  std::set<base::ServerId> removedServers;
};

/// Raft implementation as a state machine over the roles. Transitions: follower -> preCandidate at
/// the election timeout; preCandidate -> candidate with a majority of pre-votes; candidate ->
/// leader with a majority of votes, as does a preCandidate with late votes of its former candidacy;
/// any -> follower on a higher term, on a message from the term's leader, or (leader) when it loses
/// its majority or membership. follower -> candidate on TimeoutNow; leader
/// -> candidate when a leadership transfer fails.
class RaftImpl final : public Raft {
 public:
  RaftImpl(const RaftOptions& options, RecoveredState recovered, std::uint64_t seed,
           base::TimePoint now);

  /// Appends the initial membership of a new cell as entry 1. All its servers write the same entry.
  void bootstrap(const Membership& membership);

  void tick(base::TimePoint now) override;
  void heldUp(base::TimePoint now, base::Duration duration) override;
  void receive(base::TimePoint now, const Message& message) override;
  base::Result<LogIndex> propose(base::TimePoint now, std::string payload) override;
  base::Result<LogIndex> changeMembership(base::TimePoint now,
                                          const Membership& membership) override;
  void transferLeadership(base::TimePoint now) override;
  base::Result<std::uint64_t> beginRead(base::TimePoint now) override;
  base::Result<std::optional<LogIndex>> readReady(std::uint64_t token) override;
  void compact(LogIndex appliedIndex, std::string data, std::size_t keepEntries) override;
  using Raft::onPersisted;
  void onPersisted(base::TimePoint now, std::uint64_t batch) override;
  RaftOutputs takeOutputs() override;
  base::TimePoint nextWakeup() const override;
  bool leaseValid(base::TimePoint now) const override;
  RaftStatus status() const override;

 private:
  // State shared by all roles (raft_impl.cpp).
  void advanceTime(base::TimePoint now);
  /// @return by how much longer than usual to wait for others, as they are slow or leaders are lost
  /// one after the other.
  base::Duration allowance() const;
  /// @return the same for a leader that is silent.
  base::Duration silenceAllowance() const;
  void setHardState(const HardState& hardState);
  void becomeFollower(Term term, base::ServerId leader);
  void appendEntry(LogEntry entry);
  void advanceCommit(LogIndex index);
  void send(base::ServerId to, MessageBody body);
  void releaseUnsynced();
  /// Sends a message once all changes so far are durable.
  void sendWhenDurable(base::ServerId to, MessageBody body);
  bool isHardStateDurable() const {
    return persistQueue_.isRecoveryDurable() && persistQueue_.durableHardState() == hardState_;
  }
  const Membership& membership() const { return memberships_.current().membership; }
  bool isLeader() const { return role_ == Role::leader; }
  /// Enters the term of the reply if it is higher and the sender is a member.
  /// @return true if the reply belongs to the current term.
  bool acceptReplyTerm(base::ServerId from, Term term);

  // Elections (raft_election.cpp).
  void startPreVote();
  void startElection(bool leadershipTransfer);
  void requestVotes(const VoteRequest& request);
  void restartElectionTimer();
  void yieldPreVote(base::ServerId candidate, Term term);
  void handleDurableHardState();
  void checkElectionWon();
  void checkPreVotesWon();
  void forgetOldPreVotes();
  void clearPreVotes();
  void countAskerAsSupporter(base::ServerId asker, const VoteRequest& request);
  bool areVotesSplit() const {
    return isStanding_ && rivals_.shouldStandAgain(self_, preVotes_, membership());
  }
  void noteSplitVotes();
  void standAgain();
  void beginElectionReport(Term term, bool preVote);
  /// Reports the election that is open, if there is one.
  void endElectionReport(ElectionEnd end);
  void handle(base::ServerId from, const VoteRequest& request);
  void handle(base::ServerId from, const VoteAnnouncement& announcement);
  void handle(base::ServerId from, const VoteReply& reply);
  VoteReply decideVote(base::ServerId from, const VoteRequest& request);
  void handle(base::ServerId from, const TimeoutNow& request);

  // Followers (raft_follower.cpp).
  bool followLeader(base::ServerId from, Term term);
  void handle(base::ServerId from, const AppendRequest& request);
  void handle(base::ServerId from, const SnapshotChunk& chunk);
  AppendReply applyAppend(const AppendRequest& request);
  void sendAppendReply(base::ServerId to, const AppendReply& reply);
  LogIndex conflictHint(LogIndex previousIndex) const;
  void storeEntries(const std::vector<LogEntry>& entries);
  void installSnapshot(const Snapshot& snapshot);

  // Leader (raft_leader.cpp).
  void becomeLeader();
  void tickLeader();
  void checkQuorum();
  /// @param confirmedAt when a majority last accepted this leader, as quorumConfirmedAt.
  base::Duration quorumTimeout(base::TimePoint confirmedAt) const;
  base::TimePoint quorumDeadline() const;
  void setLeader(base::ServerId leader);
  void handle(base::ServerId from, const AppendReply& reply);
  void handle(base::ServerId from, const SnapshotReply& reply);
  Progress* followerProgress(base::ServerId server);
  void updateCommitIndex();
  void finishRemoval();
  base::TimePoint quorumConfirmedAt() const;
  std::uint64_t quorumConfirmedRound() const;
  bool followerActive(const Progress& progress) const;
  base::Result<void> checkPromotionReady(base::ServerId learner) const;
  bool overlapsUnsettled(MembershipChangeKind kind) const;
  void appendMembership(const MembershipChange& change, const Membership& next);
  void finishReplacement();
  std::optional<base::ServerId> mostUpToDateVoter() const;
  void sendTimeoutNowWhenReady();
  void abandonTransfer();

  // Sending to followers (raft_replication.cpp).
  void flushFollowers();
  void flushFollower(base::ServerId server, Progress& progress, bool heartbeat);
  void sendAppends(base::ServerId server, Progress& progress, bool heartbeat);
  void sendSnapshot(base::ServerId server, Progress& progress, bool heartbeat);
  AppendRequest makeAppend(const Progress& progress, bool withEntries) const;
  std::shared_ptr<const EncodedSnapshot> encodedSnapshot();

  const RaftOptions options_;  // Invariant: checkQuorumTimeout <= electionTimeoutMin.
  const base::ServerId self_;
  base::TimePoint now_;  // Latest time passed in; never decreases.

  // Invariant: snapshot_->lastIndex <= appliedIndex_ <= commitIndex_ <= log_.lastIndex(), and
  // log_.baseIndex() <= snapshot_->lastIndex.
  HardState hardState_;
  std::optional<Snapshot> snapshot_;  // Latest snapshot, for followers that are behind the log.
  std::shared_ptr<const EncodedSnapshot> encodedSnapshot_;  // snapshot_, encoded on demand.
  RaftLog log_;
  MembershipHistory memberships_;
  LogIndex commitIndex_ = 0;
  LogIndex appliedIndex_ = 0;  // Last index passed to the state machine.

  PersistQueue persistQueue_;
  std::vector<Message> messages_;  // For the next outputs.
  std::vector<Message> unsynced_;  // Wait for the next batch.
  /// Messages that wait for a batch in flight, by its number.
  std::deque<std::pair<std::uint64_t, Message>> syncing_;
  std::optional<Snapshot> installed_;           // For the next outputs.
  std::vector<ElectionReport> endedElections_;  // For the next outputs.

  Role role_ = Role::follower;
  base::ServerId leader_;  // Leader of the current term; zero if unknown.
  ElectionTimer electionTimer_;
  VoteHold voteHold_;
  LeaderPatience patience_;
  HostPace pace_;
  VoteTally preVotes_;
  Term preVoteTerm_ = 0;  ///< That the pre-votes are for.
  base::TimePoint preVotesSince_;
  base::TimePoint resumedUntil_;  ///< Until then, what came during a hold-up is being read.
  /// Until then, others that are held up for as long as this server was may answer.
  base::TimePoint answersUntil_;
  std::optional<base::TimePoint> preVotesWonAt_;
  bool yieldsToLowerId_ = false;  ///< Another server with a lower id may stand in that term.
  VoteTally votes_;
  RivalCandidates rivals_;  ///< In the present term.
  /// This server asked for votes in the present term and may still be elected by them, also by
  /// votes that arrive after the timeout.
  bool isStanding_ = false;
  base::TimePoint standingSince_;
  std::optional<OpenElection> openElection_;
  SnapshotReceiver snapshotReceiver_;
  HeartbeatRounds rounds_;
  std::optional<LeaderState> leaderState_;  // Set if and only if role_ is leader.
};

}  // namespace walnut::consensus
