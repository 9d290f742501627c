#include "gateway/quota_wait.h"

#include <algorithm>

namespace walnut::gateway {

namespace {

constexpr base::Duration kMaxQuotaWait = std::chrono::milliseconds(1500);
/// Time without an answer after which a leader counts as absent: 5 round trips of 20 ms, which is
/// the time over a loaded network between zones.
constexpr base::Duration kMaxAnswerTime = std::chrono::milliseconds(100);
/// Without a leader, a request waits for this fraction (1/n) of its remaining time: the rest is
/// needed to run it.
constexpr int kLeaderlessWaitDivisor = 4;
/// Time from the last message of a leader that froze to the first answer of the next one.
/// A leader that ended is replaced within about a second, so that no request is refused meanwhile.
constexpr base::Duration kLeaderChangeTime = std::chrono::milliseconds(2800);
/// Lower bound of the expected time, also for a change that takes longer than usual.
constexpr base::Duration kMinTimeToNextLeader = std::chrono::milliseconds(500);

}  // namespace

bool isLeaderAnswering(const LeaderContact& contact, base::TimePoint now) {
  return contact.following &&
         (!contact.unansweredSince || now < *contact.unansweredSince + kMaxAnswerTime);
}

base::Duration quotaWaitLimit(const QuotaWaitFacts& facts) {
  return std::min(kMaxQuotaWait, facts.targetLatency);
}

base::Duration leaderlessQuotaWaitLimit(const QuotaWaitFacts& facts) {
  const base::Duration leaderless =
      std::min(facts.remaining / kLeaderlessWaitDivisor, facts.callerTimeout - facts.targetLatency);
  return std::max(quotaWaitLimit(facts), leaderless);
}

base::Duration timeToNextLeader(const LeaderContact& contact, base::TimePoint now) {
  return std::max(kMinTimeToNextLeader, contact.heardAt + kLeaderChangeTime - now);
}

}  // namespace walnut::gateway
