#include "consensus/raft_impl.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "walnut/consensus/codec.h"
#include "walnut/factories.h"

namespace walnut::consensus {

namespace {

/// Term of the bootstrap entry, in which no leader is ever elected.
constexpr Term kBootstrapTerm = 1;

/// @name Timers of a process that was held up run before it has read what came meanwhile
/// @{
constexpr base::Duration kHeldUp = std::chrono::milliseconds(100);
constexpr base::Duration kReadAfterHoldUp = std::chrono::milliseconds(100);
/// @}

/// Longest time for which others are waited for as their hosts are slow: beside it there is room
/// for an election within the time in which a service has to be back.
constexpr base::Duration kMaxExchangeTime = std::chrono::seconds(8);

/// Multiplier that mixes the server id into the seed, so that servers configured with the same seed
/// draw different timeouts.
constexpr std::uint64_t kSeedMultiplier = 0x9e3779b97f4a7c15ULL;

RaftOptions withSafeLease(RaftOptions options) {
  options.checkQuorumTimeout = std::min(options.checkQuorumTimeout, options.electionTimeoutMin);
  return options;
}

IndexedMembership storedMembership(const std::optional<Snapshot>& snapshot) {
  return snapshot ? IndexedMembership{snapshot->membershipIndex, snapshot->membership}
                  : IndexedMembership{};
}

}  // namespace

RaftImpl::RaftImpl(const RaftOptions& options, RecoveredState recovered, std::uint64_t seed,
                   base::TimePoint now)
    : options_(withSafeLease(options)),
      self_(recovered.self),
      now_(now),
      hardState_(recovered.hardState),
      snapshot_(std::move(recovered.snapshot)),
      log_(snapshot_ ? snapshot_->lastIndex : 0, snapshot_ ? snapshot_->lastTerm : 0,
           std::move(recovered.entries)),
      memberships_(storedMembership(snapshot_)),
      commitIndex_(log_.baseIndex()),
      appliedIndex_(log_.baseIndex()),
      persistQueue_(recovered.hardState, log_.lastIndex(), recovered.needsSync,
                    options.maxBatchesInFlight),
      installed_(snapshot_),
      electionTimer_(options_, seed ^ (recovered.self.value * kSeedMultiplier), now),
      voteHold_(options_),
      patience_(options_, now) {
  for (const LogEntry& entry : log_.range(log_.firstIndex(), log_.lastIndex())) {
    if (entry.type == EntryType::membership) {
      memberships_.append({entry.index, decodeMembership(entry.payload).value()});
    }
  }
  if (hardState_ == HardState{} && log_.lastIndex() == 0) {
    persistQueue_.requestSync();  // A new server's identity is written while it joins the cell.
  }
  // A crash between the entries and the hard state of a batch leaves the previous term on disk.
  if (log_.lastTerm() > hardState_.term) {
    setHardState({log_.lastTerm(), base::ServerId{}});
  }
}

void RaftImpl::bootstrap(const Membership& initial) {
  Membership sorted = initial;
  std::sort(sorted.members.begin(), sorted.members.end(),
            [](const Member& left, const Member& right) { return left.id < right.id; });
  setHardState({kBootstrapTerm, base::ServerId{}});
  appendEntry({kBootstrapTerm, 1, EntryType::membership, encodeMembership(sorted)});
}

void RaftImpl::advanceTime(base::TimePoint now) {
  now_ = std::max(now_, now);
  if (isLeader()) {
    if (now_ >= leaderState_->nextHeartbeat + kHeldUp) {
      resumedUntil_ = now_ + kReadAfterHoldUp;
    }
    checkQuorum();
  }
}

void RaftImpl::heldUp(base::TimePoint now, base::Duration duration) {
  pace_.heldUp(now, duration);
  if (duration >= kHeldUp) {
    resumedUntil_ = std::max(resumedUntil_, now + kReadAfterHoldUp);
    answersUntil_ = std::max(answersUntil_, now + std::min(duration, kMaxExchangeTime));
  }
}

base::Duration RaftImpl::allowance() const {
  return std::max(patience_.allowance(now_), std::min(pace_.exchangeTime(now_), kMaxExchangeTime));
}

base::Duration RaftImpl::silenceAllowance() const {
  return std::max(patience_.allowance(now_), std::min(pace_.holdUpTime(now_), kMaxExchangeTime));
}

void RaftImpl::tick(base::TimePoint now) {
  advanceTime(now);
  if (isLeader()) {
    tickLeader();
  } else if (role_ == Role::preCandidate && !isStanding_ && preVotes_.won(membership())) {
    checkPreVotesWon();
  } else if (now_ >= electionTimer_.deadline() && !persistQueue_.isHardStateChanging()) {
    if (now_ >= electionTimer_.deadline() + kHeldUp) {
      electionTimer_.postpone(now_ + kReadAfterHoldUp);
    } else if (areVotesSplit()) {
      standAgain();
    } else {
      startPreVote();
    }
  }
}

void RaftImpl::receive(base::TimePoint now, const Message& message) {
  if (message.to != self_ || message.from == self_ || message.from == base::ServerId{}) {
    return;  // Addressed to another server id, such as that of a lost disk.
  }
  advanceTime(now);
  std::visit([&](const auto& body) { handle(message.from, body); }, message.body);
}

base::Result<LogIndex> RaftImpl::propose(base::TimePoint now, std::string payload) {
  advanceTime(now);
  if (!isLeader() || leaderState_->transfer) {
    return base::Error{base::ErrorCode::notLeader, "", "proposals go to the leader"};
  }
  appendEntry({hardState_.term, log_.lastIndex() + 1, EntryType::command, std::move(payload)});
  return log_.lastIndex();
}

void RaftImpl::compact(LogIndex appliedIndex, std::string data, std::size_t keepEntries) {
  const LogIndex previousLastIndex = snapshot_ ? snapshot_->lastIndex : 0;
  if (appliedIndex <= previousLastIndex || appliedIndex > appliedIndex_) {
    return;  // A newer snapshot was installed, or the index is not applied yet.
  }
  const IndexedMembership& inForce = memberships_.at(appliedIndex);
  snapshot_ = Snapshot{appliedIndex, log_.termAt(appliedIndex).value_or(0), inForce.index,
                       inForce.membership, std::move(data)};
  encodedSnapshot_.reset();
  const LogIndex keep = std::min<LogIndex>(keepEntries, appliedIndex - log_.baseIndex());
  log_.dropUpTo(appliedIndex - keep);
  memberships_.dropUpTo(appliedIndex);
  persistQueue_.snapshotTaken(*snapshot_, log_.baseIndex());
}

void RaftImpl::onPersisted(base::TimePoint now, std::uint64_t batch) {
  now_ = std::max(now_, now);
  const bool wasChanging = persistQueue_.isHardStateChanging();
  const std::uint64_t durable = persistQueue_.onPersisted(batch);
  pace_.batchSynced(now_, durable);
  while (!syncing_.empty() && syncing_.front().first <= durable) {
    messages_.push_back(std::move(syncing_.front().second));
    syncing_.pop_front();
  }
  if (wasChanging && isHardStateDurable()) {
    handleDurableHardState();
  }
  if (isLeader()) {
    updateCommitIndex();
  }
}

RaftOutputs RaftImpl::takeOutputs() {
  RaftOutputs outputs;
  if (isLeader()) {
    finishReplacement();
    flushFollowers();
  }
  if (!unsynced_.empty()) {
    persistQueue_.requestSync();
  }
  if (persistQueue_.mayTake()) {
    outputs.persist = persistQueue_.take(log_);
    if (!outputs.persist.empty()) {
      pace_.batchTaken(now_, outputs.persist.number);
    }
    outputs.installed = std::exchange(installed_, std::nullopt);
    releaseUnsynced();
  }
  outputs.elections = std::exchange(endedElections_, {});
  outputs.messages = std::exchange(messages_, {});
  // Entries that are in no batch yet must not be applied: a snapshot of them would be written
  // first.
  const LogIndex applicable = std::min(commitIndex_, persistQueue_.lastBatchedIndex());
  if (applicable > appliedIndex_) {
    outputs.committed = log_.range(appliedIndex_ + 1, applicable);
    appliedIndex_ = applicable;
  }
  return outputs;
}

/// Everything that the messages depend on is in the latest batch or in one before it.
void RaftImpl::releaseUnsynced() {
  for (Message& message : unsynced_) {
    if (persistQueue_.isBatchInFlight()) {
      syncing_.emplace_back(persistQueue_.latestBatch(), std::move(message));
    } else {
      messages_.push_back(std::move(message));
    }
  }
  unsynced_.clear();
}

base::TimePoint RaftImpl::nextWakeup() const {
  if (!isLeader()) {
    // No election begins while a hard state is being written, whose end `onPersisted` reports.
    const bool mayStand = isVoter(membership(), self_) && !persistQueue_.isHardStateChanging();
    return mayStand ? electionTimer_.deadline() : base::kNever;
  }
  base::TimePoint wakeup = leaderState_->nextHeartbeat;
  wakeup = std::min(wakeup, quorumDeadline());
  if (leaderState_->transfer) {
    wakeup = std::min(wakeup, leaderState_->transfer->deadline);
  }
  return wakeup;
}

RaftStatus RaftImpl::status() const {
  RaftStatus status;
  status.self = self_;
  status.role = role_;
  status.term = hardState_.term;
  status.leader = leader_;
  status.firstIndex = log_.firstIndex();
  status.lastIndex = log_.lastIndex();
  status.commitIndex = commitIndex_;
  status.membershipIndex = memberships_.current().index;
  status.membership = membership();
  return status;
}

void RaftImpl::setHardState(const HardState& hardState) {
  if (hardState == hardState_) {
    return;
  }
  if (hardState.votedFor != base::ServerId{}) {
    voteHold_.voteGranted(now_);
  } else {
    voteHold_.termBegan();
  }
  hardState_ = hardState;
  persistQueue_.hardStateChanged(hardState_);
}

void RaftImpl::becomeFollower(Term term, base::ServerId leader) {
  if (term > hardState_.term) {
    setHardState({term, base::ServerId{}});
  }
  if (isLeader()) {
    leaderState_.reset();
    rounds_.clear();
    restartElectionTimer();
  }
  endElectionReport(ElectionEnd::superseded);
  isStanding_ = false;
  role_ = Role::follower;
  setLeader(leader);
}

void RaftImpl::setLeader(base::ServerId leader) {
  if (leader == base::ServerId{} && leader_ != base::ServerId{}) {
    patience_.leaderLost(now_);
  } else if (leader != base::ServerId{} && leader_ == base::ServerId{}) {
    patience_.leaderFound(now_);
  }
  leader_ = leader;
}

void RaftImpl::appendEntry(LogEntry entry) {
  if (entry.type == EntryType::membership) {
    memberships_.append({entry.index, decodeMembership(entry.payload).value()});
  }
  if (entry.type != EntryType::command) {
    persistQueue_.urgentEntryAppended();
  }
  log_.append(std::move(entry));
}

void RaftImpl::advanceCommit(LogIndex index) {
  commitIndex_ = std::max(commitIndex_, std::min(index, log_.lastIndex()));
}

void RaftImpl::send(base::ServerId to, MessageBody body) {
  messages_.push_back({self_, to, std::move(body)});
}

void RaftImpl::sendWhenDurable(base::ServerId to, MessageBody body) {
  unsynced_.push_back({self_, to, std::move(body)});
}

bool RaftImpl::acceptReplyTerm(base::ServerId from, Term term) {
  const bool member = findMember(membership(), from) != nullptr;
  if (term > hardState_.term && member) {  // A removed server must not depose a leader.
    becomeFollower(term, base::ServerId{});
    return false;
  }
  return term == hardState_.term;
}

std::unique_ptr<Raft> makeRaft(const RaftOptions& options, RecoveredState recovered,
                               const Membership& bootstrap, std::uint64_t seed,
                               base::TimePoint now) {
  const bool nothingRecovered =
      !recovered.snapshot && recovered.entries.empty() && recovered.hardState == HardState{};
  const bool founder = findMember(bootstrap, recovered.self) != nullptr;
  auto raft = std::make_unique<RaftImpl>(options, std::move(recovered), seed, now);
  if (nothingRecovered && founder) {
    raft->bootstrap(bootstrap);
  }
  return raft;
}

}  // namespace walnut::consensus
