/// @file
/// Tasks of a leader: commitment, check-quorum, lease, reads, membership changes, leadership
/// transfer.

#include <algorithm>

#include "consensus/raft_impl.h"
#include "walnut/consensus/codec.h"

namespace walnut::consensus {

namespace {

/// After a longer hold-up another leader has been elected, so that nothing is left to be read that
/// could confirm this one.
constexpr base::Duration kLongestReading = std::chrono::seconds(2);
/// The same where servers are slow, in times that a leader waits for its quorum.
constexpr int kQuorumTimeoutsForReading = 3;

/// Times that the election took, for which a new leader waits for the first confirmation.
constexpr int kElectionTimesForFirstQuorum = 2;

base::Error notLeader() {
  return base::Error{base::ErrorCode::notLeader, "", "this server does not lead"};
}

}  // namespace

void RaftImpl::becomeLeader() {
  endElectionReport(ElectionEnd::won);
  isStanding_ = false;
  role_ = Role::leader;
  setLeader(self_);
  LeaderState& state = leaderState_.emplace();
  state.since = now_;
  state.electionTime = now_ - (preVoteTerm_ == hardState_.term ? preVotesSince_ : standingSince_);
  state.firstRound = rounds_.open(now_);
  state.nextHeartbeat = now_ + options_.heartbeatInterval;
  state.firstOwnIndex = log_.lastIndex() + 1;
  for (const Member& member : membership().members) {
    if (member.id != self_) {
      state.followers.emplace(member.id, Progress(state.firstOwnIndex));
    }
  }
  appendEntry({hardState_.term, state.firstOwnIndex, EntryType::noop, {}});
}

void RaftImpl::tickLeader() {
  LeaderState& state = *leaderState_;
  if (now_ >= state.nextHeartbeat) {
    rounds_.removeBefore(now_ - quorumTimeout(quorumConfirmedAt()));
    rounds_.open(now_);
    state.nextHeartbeat = now_ + options_.heartbeatInterval;
  }
  if (state.transfer && now_ >= state.transfer->deadline) {
    abandonTransfer();
  }
}

/// A leader that was held up reads first what came meanwhile, unless another one has been elected
/// for certain.
void RaftImpl::checkQuorum() {
  if (now_ >= quorumDeadline()) {
    becomeFollower(hardState_.term, base::ServerId{});
    electionTimer_.restart(now_);  // The others wait for this one, which is known to have resigned.
  }
}

/// The first entry of a term takes an exchange and a sync of each server, as the election did.
base::Duration RaftImpl::quorumTimeout(base::TimePoint confirmedAt) const {
  const base::Duration first = confirmedAt == base::TimePoint::min()
                                   ? kElectionTimesForFirstQuorum * leaderState_->electionTime
                                   : base::Duration::zero();
  return options_.checkQuorumTimeout + std::max(allowance(), first);
}

base::TimePoint RaftImpl::quorumDeadline() const {
  const base::TimePoint confirmedAt = quorumConfirmedAt();
  const base::TimePoint confirmed = std::max(confirmedAt, leaderState_->since);
  const base::Duration timeout = quorumTimeout(confirmedAt);
  const base::Duration longestReading =
      std::max(kLongestReading, kQuorumTimeoutsForReading * timeout);
  const base::TimePoint read = std::min(resumedUntil_, confirmed + longestReading);
  return std::max({confirmed + timeout, read, answersUntil_});
}

bool RaftImpl::leaseValid(base::TimePoint now) const {
  if (!isLeader()) {
    return false;
  }
  // After TimeoutNow the voters grant the target their votes in spite of the lease.
  if (leaderState_->transfer && leaderState_->transfer->timeoutNowSent) {
    return false;
  }
  const base::TimePoint confirmed = quorumConfirmedAt();
  return confirmed != base::TimePoint::min() && now < confirmed + options_.checkQuorumTimeout;
}

/// @return the latest time at which a majority is known to have accepted this leader;
/// TimePoint::min() if there is none. A reply counts from the time at which its request's round was
/// opened, not from its arrival.
base::TimePoint RaftImpl::quorumConfirmedAt() const {
  return quorumValue(membership(), [this](base::ServerId voter) {
    return voter == self_ ? now_ : leaderState_->followers.at(voter).confirmedAt();
  });
}

std::uint64_t RaftImpl::quorumConfirmedRound() const {
  return quorumValue(membership(), [this](base::ServerId voter) {
    return voter == self_ ? rounds_.latest() : leaderState_->followers.at(voter).confirmedRound();
  });
}

bool RaftImpl::followerActive(const Progress& progress) const {
  return progress.confirmedAt() != base::TimePoint::min() &&
         now_ < progress.confirmedAt() + options_.checkQuorumTimeout;
}

base::Result<std::uint64_t> RaftImpl::beginRead(base::TimePoint now) {
  advanceTime(now);
  if (!isLeader()) {
    return notLeader();
  }
  return rounds_.open(now_);
}

/// Returns the current commit index. It may be higher than the one at `beginRead`, which is equally
/// correct, since it includes everything that was committed when the read began.
base::Result<std::optional<LogIndex>> RaftImpl::readReady(std::uint64_t token) {
  if (!isLeader() || token < leaderState_->firstRound) {
    return notLeader();
  }
  const bool ownEntryCommitted = commitIndex_ >= leaderState_->firstOwnIndex;
  if (!ownEntryCommitted || quorumConfirmedRound() < token) {
    return std::optional<LogIndex>{};
  }
  return std::optional<LogIndex>{commitIndex_};
}

Progress* RaftImpl::followerProgress(base::ServerId server) {
  if (!isLeader()) {
    return nullptr;
  }
  const auto found = leaderState_->followers.find(server);
  return found == leaderState_->followers.end() ? nullptr : &found->second;
}

void RaftImpl::handle(base::ServerId from, const AppendReply& reply) {
  if (!acceptReplyTerm(from, reply.term)) {
    return;
  }
  Progress* progress = followerProgress(from);
  if (progress == nullptr || reply.matchIndex > log_.lastIndex()) {
    return;
  }
  const auto openedAt = rounds_.openedAt(reply.round);
  if (openedAt) {
    pace_.replyCame(now_, now_ - *openedAt);
  }
  progress->onRoundConfirmed(reply.round, openedAt);
  if (!reply.accepted) {
    progress->onRefused(reply.hintIndex, reply.round);
    return;
  }
  progress->onAccepted(reply.matchIndex, reply.round, log_.baseIndex());
  sendTimeoutNowWhenReady();
  updateCommitIndex();
}

void RaftImpl::handle(base::ServerId from, const SnapshotReply& reply) {
  if (!acceptReplyTerm(from, reply.term)) {
    return;
  }
  Progress* progress = followerProgress(from);
  if (progress == nullptr || reply.lastIndex > commitIndex_) {
    return;
  }
  progress->onRoundConfirmed(reply.round, rounds_.openedAt(reply.round));
  if (reply.installed) {
    progress->onAccepted(reply.lastIndex, reply.round, log_.baseIndex());
    updateCommitIndex();
  }
  const bool isCurrentTransfer = progress->state() == ProgressState::snapshot &&
                                 progress->snapshotSender().lastIndex() == reply.lastIndex;
  if (isCurrentTransfer && reply.installed) {
    // The log was compacted further in the meantime: a newer snapshot is needed.
    progress->beginSnapshot(encodedSnapshot());
  } else if (isCurrentTransfer) {
    progress->snapshotSender().onReply(reply.nextOffset, reply.round);
  }
}

/// Advances the commit index to what a majority has synced. Only entries of the leader's own term
/// are committed by counting (Raft paper, section 5.4.2). This server's log counts as far as it is
/// synced.
void RaftImpl::updateCommitIndex() {
  const LogIndex index = quorumValue(membership(), [this](base::ServerId voter) {
    return voter == self_ ? persistQueue_.durableIndex()
                          : leaderState_->followers.at(voter).matchIndex();
  });
  if (index > commitIndex_ && log_.termAt(index) == hardState_.term) {
    advanceCommit(index);
    finishRemoval();
  }
}

/// Notifies removed servers once their removal is committed. If this server itself was removed, it
/// resigns leadership.
void RaftImpl::finishRemoval() {
  if (memberships_.current().index > commitIndex_) {
    return;
  }
  if (!leaderState_->removedServers.empty()) {
    flushFollowers();
    for (const base::ServerId removed : leaderState_->removedServers) {
      if (findMember(membership(), removed) == nullptr) {  // It may have been added again.
        leaderState_->followers.erase(removed);
      }
    }
    leaderState_->removedServers.clear();
  }
  if (findMember(membership(), self_) == nullptr) {
    flushFollowers();
    if (const std::optional<base::ServerId> successor = mostUpToDateVoter()) {
      send(*successor, TimeoutNow{hardState_.term});
    }
    becomeFollower(hardState_.term, base::ServerId{});
  }
}

base::Result<LogIndex> RaftImpl::changeMembership(base::TimePoint now, const Membership& next) {
  advanceTime(now);
  if (!isLeader() || leaderState_->transfer) {
    return notLeader();
  }
  // Without a committed entry of the leader's own term, two leaders could make changes whose
  // majorities do not overlap (Ongaro, raft-dev mailing list, 10 July 2015).
  const bool ownEntryCommitted = commitIndex_ >= leaderState_->firstOwnIndex;
  const bool settled = memberships_.current().index <= commitIndex_ && ownEntryCommitted;
  const auto change = checkMembershipChange(membership(), next);
  if (!settled && (change.has_error() || !overlapsUnsettled(change.value().kind))) {
    return base::Error{base::ErrorCode::membershipChangePending, "membership",
                       "the former change is not committed yet"};
  }
  if (change.has_error()) {
    return change.error();
  }
  if (change.value().kind == MembershipChangeKind::learnerPromoted) {
    BOOST_OUTCOME_TRY(checkPromotionReady(change.value().promoted.front()));
  }
  appendMembership(change.value(), next);
  return log_.lastIndex();
}

/// @return true if the majorities after a change of this kind overlap with those before, even if
/// the present membership or an entry of the own term is not committed yet.
bool RaftImpl::overlapsUnsettled(MembershipChangeKind kind) const {
  if (kind == MembershipChangeKind::learners) {
    return true;
  }
  // Until a replacement is committed, it needs a majority of the committed voters from which it
  // began, and so does every other change that could follow on them.
  const bool replaces = kind == MembershipChangeKind::votersReplaced ||
                        kind == MembershipChangeKind::replacementFollowed;
  return replaces && memberships_.votersSince() <= commitIndex_;
}

void RaftImpl::appendMembership(const MembershipChange& change, const Membership& next) {
  appendEntry(
      {hardState_.term, log_.lastIndex() + 1, EntryType::membership, encodeMembership(next)});
  for (const base::ServerId learner : change.added) {
    leaderState_->followers.insert_or_assign(learner, Progress(log_.lastIndex()));
  }
  for (const base::ServerId removed : change.removed) {
    if (removed != self_) {
      leaderState_->removedServers.insert(removed);
    }
  }
}

/// Ends the former set of voters once the membership with both sets is committed.
void RaftImpl::finishReplacement() {
  if (!isJoint(membership()) || memberships_.votersSince() > commitIndex_ ||
      leaderState_->transfer) {
    return;
  }
  const Membership next = withoutFormerVoters(membership());
  const auto change = checkMembershipChange(membership(), next);
  if (change) {
    appendMembership(change.value(), next);
  }
}

/// Checks that the learner is responsive and its log nearly complete: otherwise it would delay
/// commitment once its vote is needed.
base::Result<void> RaftImpl::checkPromotionReady(base::ServerId learner) const {
  const Progress& progress = leaderState_->followers.at(learner);
  if (!followerActive(progress)) {
    return base::Error{base::ErrorCode::outOfRange, "membership", "the learner does not answer"};
  }
  if (progress.matchIndex() + options_.maxEntriesPerAppend < log_.lastIndex()) {
    return base::Error{base::ErrorCode::outOfRange, "membership", "the learner is behind"};
  }
  return base::success();
}

void RaftImpl::transferLeadership(base::TimePoint now) {
  advanceTime(now);
  if (!isLeader() || leaderState_->transfer) {
    return;
  }
  if (const std::optional<base::ServerId> target = mostUpToDateVoter()) {
    leaderState_->transfer = LeadershipTransfer{*target, now_ + options_.electionTimeoutMax};
    sendTimeoutNowWhenReady();
  }
}

/// @return the voter with the highest matching index among the responsive ones; nullopt if there
/// are none.
std::optional<base::ServerId> RaftImpl::mostUpToDateVoter() const {
  std::optional<base::ServerId> best;
  for (const auto& [server, progress] : leaderState_->followers) {
    const Member* member = findMember(membership(), server);
    const bool staysVoter = member != nullptr && (member->role == MemberRole::voter ||
                                                  member->role == MemberRole::incoming);
    if (!staysVoter || !followerActive(progress)) {
      continue;
    }
    if (!best || progress.matchIndex() > leaderState_->followers.at(*best).matchIndex()) {
      best = server;
    }
  }
  return best;
}

void RaftImpl::sendTimeoutNowWhenReady() {
  std::optional<LeadershipTransfer>& transfer = leaderState_->transfer;
  if (!transfer || transfer->timeoutNowSent) {
    return;
  }
  if (leaderState_->followers.at(transfer->target).matchIndex() == log_.lastIndex()) {
    send(transfer->target, TimeoutNow{hardState_.term});
    transfer->timeoutNowSent = true;
  }
}

/// Ends a failed transfer. If TimeoutNow was sent, it may still arrive, so the lease can't be
/// trusted again in this term. This server then stands for election in a new term, in which the
/// message is invalid.
void RaftImpl::abandonTransfer() {
  if (!leaderState_->transfer->timeoutNowSent) {
    leaderState_->transfer.reset();
    return;
  }
  becomeFollower(hardState_.term, base::ServerId{});
  if (isVoter(membership(), self_)) {
    startElection(true);
  }
}

}  // namespace walnut::consensus
