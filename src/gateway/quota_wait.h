#pragma once
/// @file
/// Decides how long a request waits for units of its tenant's quota, with and without a leader that
/// answers. Pure: contains no clock and no sockets.

#include <optional>

#include "walnut/base/time.h"

namespace walnut::gateway {

/// Contact of a gateway with the registry's leader.
struct LeaderContact {
  bool following = false;
  base::TimePoint heardAt;  ///< Last message of a followed leader, or the start of the gateway.
  /// When the oldest quota request was sent that is unanswered and was followed by no message of
  /// the leader.
  std::optional<base::TimePoint> unansweredSince;
};

/// @return true if a leader is followed and answers. A leader that is suspended counts as absent
/// well before its connection times out: the request that waits for it would be refused before.
bool isLeaderAnswering(const LeaderContact& contact, base::TimePoint now);

/// What a request that waits for units allows.
struct QuotaWaitFacts {
  base::Duration remaining{0};  ///< From its arrival to its deadline.
  base::Duration targetLatency{0};
  base::Duration callerTimeout{0};  ///< Time after which its caller disconnects.
};

/// @return the maximum wait while a leader answers: a round trip takes a few ms.
base::Duration quotaWaitLimit(const QuotaWaitFacts& facts);
/// @return the maximum wait of a request that has waited while no leader answered; never below
/// `quotaWaitLimit`.
base::Duration leaderlessQuotaWaitLimit(const QuotaWaitFacts& facts);

/// @return the time until the next leader is expected to answer.
base::Duration timeToNextLeader(const LeaderContact& contact, base::TimePoint now);

}  // namespace walnut::gateway
