#include "consensus/election.h"

#include <algorithm>

#include "consensus/membership.h"

namespace walnut::consensus {

namespace {

/// Bounds the allowance, in election timeouts: a voter whose disk hung for long must not keep
/// others from a new election for as long again.
constexpr int kMaxAllowanceTimeouts = 2;
/// Leaders that are lost closer together follow each other.
constexpr base::Duration kSteadyLeadership = std::chrono::seconds(10);

}  // namespace

ElectionTimer::ElectionTimer(const RaftOptions& options, std::uint64_t seed, base::TimePoint now)
    : timeoutMin_(options.electionTimeoutMin),
      timeoutMax_(std::max(options.electionTimeoutMin, options.electionTimeoutMax)),
      random_(seed) {
  onLeaderContact(now);
  if (options.firstElectionTimeout > base::Duration::zero()) {
    deadline_ = now + options.firstElectionTimeout;
  }
}

void ElectionTimer::onLeaderContact(base::TimePoint now, base::Duration extra) {
  lastLeaderContact_ = now;
  restart(now, extra);
}

void ElectionTimer::restart(base::TimePoint now, base::Duration extra) {
  deadline_ = now + extra + random_.between(timeoutMin_, timeoutMax_);
}

bool ElectionTimer::leaderMayHoldLease(base::TimePoint now) const {
  return now < lastLeaderContact_ + timeoutMin_;
}

bool VoteTally::won(const Membership& membership) const {
  return quorumValue(membership,
                     [this](base::ServerId voter) { return granted_.count(voter) > 0; });
}

VoteHold::VoteHold(const RaftOptions& options)
    : hold_(options.electionTimeoutMin),
      maxAllowance_(kMaxAllowanceTimeouts * options.electionTimeoutMax) {}

void VoteHold::voteGranted(base::TimePoint now) { grantedAt_ = now; }

void VoteHold::voteDurable(base::TimePoint now) {
  allowance_ = std::min(now - grantedAt_.value_or(now), maxAllowance_);
  until_ = now + hold_ + allowance_;
  grantedAt_.reset();
}

void VoteHold::termBegan() {
  grantedAt_.reset();
  until_ = base::TimePoint::min();
}

void LeaderPatience::leaderLost(base::TimePoint now) {
  const bool follows =
      lastLossAt_ != base::TimePoint::min() && now < lastLossAt_ + kSteadyLeadership;
  doublings_ = follows ? std::min(doublings_ + 1, kMaxDoublings) : 0;
  lastLossAt_ = now;
}

std::string_view electionEndName(ElectionEnd end) {
  switch (end) {
    case ElectionEnd::won:
      return "won";
    case ElectionEnd::timedOut:
      return "timed-out";
    case ElectionEnd::superseded:
      return "superseded";
  }
  return "unknown";
}

std::vector<base::ServerId> VoteTally::missing(const Membership& membership) const {
  std::vector<base::ServerId> servers;
  for (const base::ServerId voter : votersOf(membership)) {
    if (granted_.count(voter) == 0) {
      servers.push_back(voter);
    }
  }
  return servers;
}

bool grantsVote(const VoterState& voter, base::ServerId candidate, const VoteRequest& request) {
  if (voter.leaderMayHoldLease && !request.leadershipTransfer) {
    return false;
  }
  if (voter.voteUnderWay && request.preVote) {
    return false;
  }
  if (!voter.log.isUpToDate(request.lastLogIndex, request.lastLogTerm)) {
    return false;
  }
  const HardState& own = voter.hardState;
  if (request.term > own.term) {
    return true;
  }
  const bool voteFree = own.votedFor == base::ServerId{} || own.votedFor == candidate;
  return request.term == own.term && !request.preVote && voteFree;
}

}  // namespace walnut::consensus
