#include "consensus/host_pace.h"

#include <algorithm>

namespace walnut::consensus {

namespace {

/// After this time a duration doesn't count any more.
constexpr base::Duration kMemory = std::chrono::seconds(10);
/// Shorter durations fit into the timeouts as they are.
constexpr base::Duration kNoticeable = std::chrono::milliseconds(200);
/// The sender may be held up before it sends, the receiver before it reads, and the sender again
/// before it reads the reply.
constexpr int kHoldUpsPerExchange = 3;
/// What a leader waits for comes after the reply that was last measured.
constexpr int kRepliesPerExchange = 2;

}  // namespace

void RecentDurations::record(base::TimePoint now, base::Duration duration) {
  while (!samples_.empty() && samples_.front().at + kMemory < now) {
    samples_.pop_front();
  }
  if (duration >= kNoticeable) {
    samples_.push_back({now, duration});
  }
}

base::Duration RecentDurations::usual(base::TimePoint now) const {
  base::Duration longest{0};
  base::Duration second{0};
  for (const Sample& sample : samples_) {
    if (sample.at + kMemory >= now) {
      second = std::max(second, std::min(longest, sample.duration));
      longest = std::max(longest, sample.duration);
    }
  }
  return second;
}

void HostPace::batchSynced(base::TimePoint now, std::uint64_t batch) {
  while (!syncing_.empty() && syncing_.front().number <= batch) {
    syncs_.record(now, now - syncing_.front().takenAt);
    syncing_.pop_front();
  }
}

base::Duration HostPace::exchangeTime(base::TimePoint now) const {
  return std::max(kHoldUpsPerExchange * holdUps_.usual(now) + syncs_.usual(now),
                  kRepliesPerExchange * replies_.usual(now));
}

}  // namespace walnut::consensus
