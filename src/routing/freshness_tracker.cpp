#include "routing/freshness_tracker.h"

#include <algorithm>
#include <vector>

#include "routing/cluster_view.h"

namespace walnut::routing {

namespace {
/// Maximum number of rounds without a reached bound that are stored. Answers to older rounds are of
/// no use, because the freshness limit is only a few probe intervals.
constexpr std::size_t kMaxRounds = 64;
}  // namespace

std::uint64_t FreshnessTracker::beginRound(base::TimePoint now) {
  const std::uint64_t sequence = nextSequence_++;
  rounds_[sequence].sentAt = now;
  if (rounds_.size() > kMaxRounds) {
    rounds_.erase(rounds_.begin());
  }
  return sequence;
}

void FreshnessTracker::reply(const protocol::ProbeReply& reply, const ClusterView& view) {
  const auto round = rounds_.find(reply.sequence);
  if (round == rounds_.end()) {
    return;
  }
  round->second.answers[reply.server] = Answer{reply.lastLogIndex, reply.membershipIndex};
  viewChanged(view);
}

std::optional<consensus::LogIndex> FreshnessTracker::bound(const Round& round,
                                                           const ClusterView& view) const {
  std::size_t voters = 0;
  std::vector<consensus::LogIndex> indexes;
  for (const consensus::Member& member : view.membership().members) {
    if (member.role != consensus::MemberRole::voter) {
      continue;
    }
    ++voters;
    const auto answer = round.answers.find(member.id);
    // A server that knows a newer membership may be a voter of a different majority.
    if (answer != round.answers.end() && answer->second.membershipIndex <= view.membershipIndex()) {
      indexes.push_back(answer->second.lastLogIndex);
    }
  }
  const std::size_t majority = voters / 2 + 1;
  if (voters == 0 || indexes.size() < majority) {
    return std::nullopt;
  }
  std::sort(indexes.begin(), indexes.end());
  return indexes[majority - 1];
}

void FreshnessTracker::viewChanged(const ClusterView& view) {
  std::uint64_t reached = 0;
  laggingSince_.reset();
  for (const auto& [sequence, round] : rounds_) {
    const std::optional<consensus::LogIndex> index = bound(round, view);
    if (!index.has_value()) {
      continue;
    }
    if (*index <= view.index()) {
      reached = sequence;
      laggingSince_.reset();
    } else if (!laggingSince_.has_value()) {
      laggingSince_ = round.sentAt;
    }
  }
  if (reached == 0) {
    return;
  }
  confirmedAt_ = rounds_.at(reached).sentAt;
  rounds_.erase(rounds_.begin(), rounds_.upper_bound(reached));
}

bool FreshnessTracker::confirmed(base::TimePoint now) const {
  return confirmedAt_.has_value() && now - *confirmedAt_ < limit_;
}

base::TimePoint FreshnessTracker::expiresAt() const {
  return confirmedAt_.has_value() ? *confirmedAt_ + limit_ : base::kNever;
}

std::optional<base::TimePoint> FreshnessTracker::laggingSince() const { return laggingSince_; }

}  // namespace walnut::routing
