/// @file
/// Elections: pre-votes, votes, and the handling of vote requests from other servers.

#include "consensus/raft_impl.h"

namespace walnut::consensus {

namespace {

/// A pre-vote promises nothing, so it may have become wrong meanwhile.
constexpr base::Duration kPreVoteValidity = std::chrono::seconds(4);

/// A server that runs and has its pre-votes sends its vote requests within that time.
constexpr base::Duration kYieldTime = std::chrono::milliseconds(100);

}  // namespace

/// Votes take as long as the servers are slow. Pre-votes may be asked for again at any time.
void RaftImpl::restartElectionTimer() { electionTimer_.restart(now_, allowance()); }

/// Votes that were asked for before are still counted while their term lasts. So are pre-votes for
/// a while: the replies of servers that are held up in turn come one after the other.
void RaftImpl::startPreVote() {
  electionTimer_.restart(now_);
  if (!isVoter(membership(), self_)) {
    return;
  }
  endElectionReport(ElectionEnd::timedOut);
  beginElectionReport(hardState_.term + 1, true);
  role_ = Role::preCandidate;
  setLeader(base::ServerId{});
  forgetOldPreVotes();
  preVotes_.grant(self_);
  VoteRequest request;
  request.term = hardState_.term + 1;
  request.preVote = true;
  requestVotes(request);
  checkPreVotesWon();
}

void RaftImpl::forgetOldPreVotes() {
  if (preVoteTerm_ != hardState_.term + 1 ||
      now_ >= preVotesSince_ + kPreVoteValidity + allowance()) {
    preVoteTerm_ = hardState_.term + 1;
    preVotesSince_ = now_;
    clearPreVotes();
  }
}

void RaftImpl::clearPreVotes() {
  preVotes_.clear();
  preVotesWonAt_.reset();
  yieldsToLowerId_ = false;
}

/// A server that asks for a pre-vote follows no leader either, and would grant one to a log that is
/// as long as its own. It needn't be asked, which among servers that are held up takes seconds.
void RaftImpl::countAskerAsSupporter(base::ServerId asker, const VoteRequest& request) {
  const bool isOwnLogUpToDate =
      log_.lastTerm() > request.lastLogTerm ||
      (log_.lastTerm() == request.lastLogTerm && log_.lastIndex() >= request.lastLogIndex);
  if (request.term == hardState_.term + 1 && isOwnLogUpToDate && !isLeader()) {
    forgetOldPreVotes();
    preVotes_.grant(asker);
    if (role_ == Role::preCandidate) {
      checkPreVotesWon();
    }
  }
}

/// The request of another candidate may be on its way, or wait to be read after a hold-up: to vote
/// for it is better than to split the votes.
void RaftImpl::checkPreVotesWon() {
  if (!preVotes_.won(membership())) {
    return;
  }
  preVotesWonAt_ = preVotesWonAt_.value_or(now_);
  const base::TimePoint standsAt =
      std::max(resumedUntil_, yieldsToLowerId_ ? *preVotesWonAt_ + kYieldTime : now_);
  if (now_ < standsAt) {
    electionTimer_.postpone(std::min(electionTimer_.deadline(), standsAt));
  } else {
    startElection(false);
  }
}

void RaftImpl::startElection(bool leadershipTransfer) {
  restartElectionTimer();
  beginElectionReport(hardState_.term + 1, false);
  role_ = Role::candidate;
  leader_ = base::ServerId{};
  isStanding_ = true;
  standingSince_ = now_;
  votes_.clear();
  rivals_.clear();
  setHardState({hardState_.term + 1, self_});
  VoteRequest request;
  request.term = hardState_.term;
  request.leadershipTransfer = leadershipTransfer;
  requestVotes(request);
}

/// Votes are asked for while the own one is being written, so that all are written at the same
/// time. This is safe only if the log is durable: after a restart in the same term the votes may be
/// counted again, and a log that has become shorter would be less up to date than was stated. Until
/// it is durable the votes are only announced.
void RaftImpl::requestVotes(const VoteRequest& request) {
  VoteRequest complete = request;
  complete.lastLogIndex = log_.lastIndex();
  complete.lastLogTerm = log_.lastTerm();
  const bool atOnce = request.preVote || persistQueue_.durableIndex() == log_.lastIndex();
  for (const base::ServerId voter : votersOf(membership())) {
    if (voter == self_) {
      continue;
    }
    if (atOnce) {
      send(voter, complete);
      continue;
    }
    if (options_.announcesVotes) {
      send(voter, VoteAnnouncement{complete.term, complete.lastLogIndex, complete.lastLogTerm,
                                   complete.leadershipTransfer});
    }
    sendWhenDurable(voter, complete);
  }
}

/// The election in which this server voted, which may be its own, gets time to be won. A vote
/// counts only from now on, the own one too.
void RaftImpl::handleDurableHardState() {
  if (hardState_.votedFor == base::ServerId{}) {
    return;
  }
  voteHold_.voteDurable(now_, allowance());
  if (leader_ == base::ServerId{}) {
    electionTimer_.restart(now_, voteHold_.allowance());
  }
  if (isStanding_) {
    votes_.grant(self_);
    checkElectionWon();
    noteSplitVotes();
  }
}

/// Without the own vote, which is durable, this server could be elected twice in one term, before
/// and after a restart, with different logs.
void RaftImpl::checkElectionWon() {
  if (votes_.hasGranted(self_) && votes_.won(membership())) {
    becomeLeader();
  }
}

void RaftImpl::beginElectionReport(Term term, bool preVote) {
  openElection_ = OpenElection{term, preVote, now_};
}

void RaftImpl::endElectionReport(ElectionEnd end) {
  if (!openElection_) {
    return;
  }
  ElectionReport report;
  report.term = end == ElectionEnd::won ? hardState_.term : openElection_->term;
  report.preVote = openElection_->preVote && end != ElectionEnd::won;
  report.end = end;
  report.missing = (report.preVote ? preVotes_ : votes_).missing(membership());
  report.ownVoteDurable = persistQueue_.durableHardState() == HardState{report.term, self_};
  report.duration = now_ - openElection_->since;
  endedElections_.push_back(std::move(report));
  openElection_.reset();
}

void RaftImpl::handle(base::ServerId from, const VoteRequest& request) {
  const VoteReply reply = decideVote(from, request);
  if (reply.granted && !request.preVote) {
    sendWhenDurable(from, reply);
  } else {
    send(from, reply);
  }
  if (request.preVote) {
    countAskerAsSupporter(from, request);
  } else if (isStanding_ && request.term == hardState_.term) {
    rivals_.addRival(from);
    noteSplitVotes();
  }
}

/// Votes as for a request whose answer is lost: the request that follows is decided by the log that
/// the candidate has then.
void RaftImpl::handle(base::ServerId from, const VoteAnnouncement& announcement) {
  VoteRequest request;
  request.term = announcement.term;
  request.lastLogIndex = announcement.lastLogIndex;
  request.lastLogTerm = announcement.lastLogTerm;
  request.leadershipTransfer = announcement.leadershipTransfer;
  (void)decideVote(from, request);
}

VoteReply RaftImpl::decideVote(base::ServerId from, const VoteRequest& request) {
  const bool leaseHeld = isLeader() || electionTimer_.leaderMayHoldLease(now_);
  VoteReply reply;
  reply.preVote = request.preVote;
  reply.granted =
      grantsVote({hardState_, leaseHeld, voteHold_.isUnderWay(now_), log_}, from, request);
  if (reply.granted && request.preVote) {
    yieldPreVote(from, request.term);
  }
  const bool entersTerm = !request.preVote && request.term > hardState_.term;
  if (entersTerm && (!leaseHeld || request.leadershipTransfer)) {
    becomeFollower(request.term, base::ServerId{});
  }
  if (reply.granted && !request.preVote) {
    if (role_ != Role::follower) {
      becomeFollower(request.term, base::ServerId{});
    }
    setHardState({request.term, from});
    restartElectionTimer();
  }
  reply.term = reply.granted ? request.term : hardState_.term;
  return reply;
}

/// Of two servers that could stand at the same time, the one with the greater id lets the other go
/// first, so that they don't split the votes: on slow servers another election takes seconds. One
/// that is held up meanwhile finds the vote request when it goes on.
void RaftImpl::yieldPreVote(base::ServerId candidate, Term term) {
  if (candidate < self_ && term == hardState_.term + 1) {
    forgetOldPreVotes();
    yieldsToLowerId_ = true;
  }
}

void RaftImpl::handle(base::ServerId from, const VoteReply& reply) {
  if (reply.preVote && reply.granted) {
    const bool isExpected = preVoteTerm_ == reply.term && reply.term == hardState_.term + 1;
    if (isExpected) {
      preVotes_.grant(from);  // Also while it waits for another candidate.
    }
    if (isExpected && role_ == Role::preCandidate) {
      checkPreVotesWon();
    }
    return;
  }
  if (!acceptReplyTerm(from, reply.term) || reply.preVote || !isStanding_) {
    return;
  }
  if (reply.granted) {
    pace_.replyCame(now_, now_ - standingSince_);
    votes_.grant(from);
    checkElectionWon();
  } else {
    rivals_.addRefusal(from);
    noteSplitVotes();
  }
}

/// On slow servers an election takes seconds, so that one whose votes are split is not waited for.
/// Where they are quick, voters that were not needed for a majority have voted by then.
void RaftImpl::noteSplitVotes() {
  if (areVotesSplit()) {
    const base::TimePoint again = std::max(now_, standingSince_ + options_.electionTimeoutMin);
    electionTimer_.postpone(std::min(electionTimer_.deadline(), again));
  }
}

void RaftImpl::standAgain() {
  endElectionReport(ElectionEnd::split);
  startElection(false);
}

void RaftImpl::handle(base::ServerId from, const TimeoutNow& request) {
  const bool fromLeader = leader_ == from || leader_ == base::ServerId{};
  if (request.term == hardState_.term && !isLeader() && fromLeader &&
      isVoter(membership(), self_)) {
    startElection(true);
  }
}

}  // namespace walnut::consensus
