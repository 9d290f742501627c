#include "consensus/progress.h"

#include <algorithm>
#include <utility>

namespace walnut::consensus {

bool Progress::mayAppend() const {
  switch (state_) {
    case ProgressState::probe:
      return !probeSent_;
    case ProgressState::replicate:
      return inFlight_.size() < kMaxAppendsInFlight;
    case ProgressState::snapshot:
      return false;
  }
  return false;
}

void Progress::appendSent(LogIndex lastSent, LogIndex commitIndex) {
  commitSent_ = std::max(commitSent_, std::min(commitIndex, lastSent));
  if (state_ == ProgressState::probe) {
    probeSent_ = true;
    return;
  }
  if (lastSent >= nextIndex_) {
    nextIndex_ = lastSent + 1;
    inFlight_.push_back(lastSent);
  }
}

bool Progress::needsCommitUpdate(LogIndex commitIndex) const {
  return state_ == ProgressState::replicate && std::min(commitIndex, nextIndex_ - 1) > commitSent_;
}

void Progress::onAccepted(LogIndex matchIndex, std::uint64_t round, LogIndex baseIndex) {
  acceptedRound_ = std::max(acceptedRound_, round);
  matchIndex_ = std::max(matchIndex_, matchIndex);
  nextIndex_ = std::max(nextIndex_, matchIndex_ + 1);
  while (!inFlight_.empty() && inFlight_.front() <= matchIndex_) {
    inFlight_.pop_front();
  }
  const bool hasReachedLog = matchIndex_ >= baseIndex;
  if (state_ == ProgressState::probe || (state_ == ProgressState::snapshot && hasReachedLog)) {
    enterReplicate();
  }
}

void Progress::onRefused(LogIndex hintIndex, std::uint64_t round) {
  if (state_ == ProgressState::snapshot) {
    return;
  }
  if (round > acceptedRound_ && hintIndex <= matchIndex_) {
    // The refusal is not a late one: the follower has lost entries that it had synced. They are
    // sent again and no longer count towards commitment.
    matchIndex_ = std::max<LogIndex>(hintIndex, 1) - 1;
  }
  // The hint of a late refusal may be too low, which only causes entries to be sent again.
  nextIndex_ = std::max(matchIndex_ + 1, std::min(hintIndex, nextIndex_));
  state_ = ProgressState::probe;
  probeSent_ = false;
  inFlight_.clear();
}

void Progress::beginSnapshot(std::shared_ptr<const EncodedSnapshot> snapshot) {
  state_ = ProgressState::snapshot;
  inFlight_.clear();
  snapshotSender_.emplace(std::move(snapshot));
}

void Progress::onRoundConfirmed(std::uint64_t round, std::optional<base::TimePoint> openedAt) {
  confirmedRound_ = std::max(confirmedRound_, round);
  confirmedAt_ = std::max(confirmedAt_, openedAt.value_or(base::TimePoint::min()));
}

void Progress::enterReplicate() {
  state_ = ProgressState::replicate;
  nextIndex_ = matchIndex_ + 1;
  snapshotSender_.reset();
  inFlight_.clear();
}

}  // namespace walnut::consensus
