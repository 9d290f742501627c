#include "consensus/election.h"

#include <algorithm>
#include <iterator>

#include "consensus/membership.h"

namespace walnut::consensus {

namespace {

/// Bounds the allowance, in election timeouts: a voter whose disk hung for long must not keep
/// others from a new election for as long again.
constexpr int kMaxAllowanceTimeouts = 2;
/// Part of the time without a steady leader that servers wait longer than usual.
constexpr int kUnsettledShare = 3;
/// Elections among servers that are not slow end within that many election timeouts.
constexpr int kCalmElectionTimeouts = 2;
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
  // Servers that are slow are drawn further apart, so that they don't split the votes.
  deadline_ = now + extra + random_.between(timeoutMin_, timeoutMax_ + extra / 2);
}

bool ElectionTimer::leaderMayHoldLease(base::TimePoint now) const {
  return now < lastLeaderContact_ + timeoutMin_;
}

bool VoteTally::won(const Membership& membership) const {
  return quorumValue(membership,
                     [this](base::ServerId voter) { return granted_.count(voter) > 0; });
}

void RivalCandidates::clear() {
  rivals_.clear();
  refused_.clear();
}

bool RivalCandidates::shouldStandAgain(base::ServerId self, const VoteTally& supporters,
                                       const Membership& membership) const {
  if (rivals_.empty() || *rivals_.begin() < self) {
    return false;
  }
  return !supporters.without(rivals_).without(refused_).won(membership);
}

VoteTally VoteTally::without(const std::set<base::ServerId>& voters) const {
  VoteTally rest;
  std::set_difference(granted_.begin(), granted_.end(), voters.begin(), voters.end(),
                      std::inserter(rest.granted_, rest.granted_.end()));
  return rest;
}

VoteHold::VoteHold(const RaftOptions& options)
    : hold_(options.electionTimeoutMin),
      maxAllowance_(kMaxAllowanceTimeouts * options.electionTimeoutMax) {}

void VoteHold::voteGranted(base::TimePoint now) { grantedAt_ = now; }

void VoteHold::voteDurable(base::TimePoint now, base::Duration extra) {
  allowance_ = std::min(now - grantedAt_.value_or(now), maxAllowance_) + extra;
  until_ = now + hold_ + allowance_;
  grantedAt_.reset();
}

void VoteHold::termBegan() {
  grantedAt_.reset();
  until_ = base::TimePoint::min();
}

LeaderPatience::LeaderPatience(const RaftOptions& options, base::TimePoint now)
    : base_(options.checkQuorumTimeout),
      calmElection_(kCalmElectionTimeouts * options.electionTimeoutMax),
      leaderlessSince_(now) {}

void LeaderPatience::leaderLost(base::TimePoint now) {
  const bool follows = lastLossAt_ && now < *lastLossAt_ + kSteadyLeadership;
  doublings_ = follows ? std::min(doublings_ + 1, kMaxDoublings) : 0;
  firstLossAt_ = follows ? firstLossAt_ : now;
  lastLossAt_ = now;
  leaderlessSince_ = now;
  leaderSince_.reset();
}

base::Duration LeaderPatience::allowance(base::TimePoint now) const {
  if (leaderSince_ && now >= *leaderSince_ + kSteadyLeadership) {
    return base::Duration::zero();
  }
  base::Duration allowance = base_ * (1 << doublings_) - base_;
  if (doublings_ == kMaxDoublings) {
    allowance = std::max(allowance, (now - firstLossAt_) / kUnsettledShare);
  }
  if (!leaderSince_) {
    allowance = std::max(allowance, (now - leaderlessSince_ - calmElection_) / kUnsettledShare);
  }
  return allowance;
}

std::string_view electionEndName(ElectionEnd end) {
  switch (end) {
    case ElectionEnd::won:
      return "won";
    case ElectionEnd::timedOut:
      return "timed-out";
    case ElectionEnd::superseded:
      return "superseded";
    case ElectionEnd::split:
      return "split";
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
