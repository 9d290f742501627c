/// @file
/// Elections: pre-votes, votes, and the handling of vote requests from other servers.

#include "consensus/raft_impl.h"

namespace walnut::consensus {

void RaftImpl::startPreVote() {
  electionTimer_.restart(now_);
  if (!isVoter(membership(), self_)) {
    return;
  }
  endElectionReport(ElectionEnd::timedOut);
  beginElectionReport(hardState_.term + 1, true);
  role_ = Role::preCandidate;
  leader_ = base::ServerId{};
  votes_.clear();
  votes_.grant(self_);
  VoteRequest request;
  request.term = hardState_.term + 1;
  request.preVote = true;
  requestVotes(request);
  checkElectionWon();
}

void RaftImpl::startElection(bool leadershipTransfer) {
  electionTimer_.restart(now_);
  beginElectionReport(hardState_.term + 1, false);
  role_ = Role::candidate;
  leader_ = base::ServerId{};
  votes_.clear();
  setHardState({hardState_.term + 1, self_});
  VoteRequest request;
  request.term = hardState_.term;
  request.leadershipTransfer = leadershipTransfer;
  requestVotes(request);
}

void RaftImpl::requestVotes(const VoteRequest& request) {
  VoteRequest complete = request;
  complete.lastLogIndex = log_.lastIndex();
  complete.lastLogTerm = log_.lastTerm();
  for (const base::ServerId voter : votersOf(membership())) {
    if (voter != self_) {
      send(voter, complete);
    }
  }
}

/// Counts the candidate's own vote, which like any other vote counts only once it is durable.
void RaftImpl::countOwnVote() {
  if (persistQueue_.durableHardState() == hardState_) {
    votes_.grant(self_);
    checkElectionWon();
  }
}

void RaftImpl::checkElectionWon() {
  if (!votes_.won(membership())) {
    return;
  }
  if (role_ == Role::preCandidate) {
    startElection(false);
  } else {
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
  report.term = openElection_->term;
  report.preVote = openElection_->preVote;
  report.end = end;
  report.missing = votes_.missing(membership());
  report.ownVoteDurable = persistQueue_.durableHardState() == HardState{report.term, self_};
  report.duration = now_ - openElection_->since;
  endedElections_.push_back(std::move(report));
  openElection_.reset();
}

void RaftImpl::handle(base::ServerId from, const VoteRequest& request) {
  const bool leaseHeld = isLeader() || electionTimer_.leaderMayHoldLease(now_);
  VoteReply reply;
  reply.preVote = request.preVote;
  reply.granted = grantsVote({hardState_, leaseHeld, log_}, from, request);
  const bool entersTerm = !request.preVote && request.term > hardState_.term;
  if (entersTerm && (!leaseHeld || request.leadershipTransfer)) {
    becomeFollower(request.term, base::ServerId{});
  }
  if (reply.granted && !request.preVote) {
    if (role_ != Role::follower) {
      becomeFollower(request.term, base::ServerId{});
    }
    setHardState({request.term, from});
    electionTimer_.restart(now_);
  }
  reply.term = reply.granted ? request.term : hardState_.term;
  send(from, reply);
}

void RaftImpl::handle(base::ServerId from, const VoteReply& reply) {
  if (reply.preVote && reply.granted) {
    const bool expected = role_ == Role::preCandidate && reply.term == hardState_.term + 1;
    if (!expected) {
      return;
    }
  } else if (!acceptReplyTerm(from, reply.term) || !reply.granted || role_ != Role::candidate) {
    return;
  }
  votes_.grant(from);
  checkElectionWon();
}

void RaftImpl::handle(base::ServerId from, const TimeoutNow& request) {
  const bool fromLeader = leader_ == from || leader_ == base::ServerId{};
  if (request.term == hardState_.term && !isLeader() && fromLeader &&
      isVoter(membership(), self_)) {
    startElection(true);
  }
}

}  // namespace walnut::consensus
