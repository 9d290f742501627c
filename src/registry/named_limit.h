#pragma once
/// @file
/// A worker's request rate limit as stated in its answers, used by the leader and by gateways.

#include "walnut/base/time.h"

namespace walnut::registry {

/// The limit that a worker last stated, and when. Answers on different connections overtake one
/// another: an answer is known to be newer only if its request was sent after the answer came that
/// stated this limit.
struct NamedLimit {
  double perSecond = 0;
  base::TimePoint since;  ///< When the first answer that stated this value came.

  /// @param other limit stated by an answer to a request that was sent at `sentAt`.
  /// @return true if it replaces this limit. If the order of two answers is unknown, the lower
  /// limit applies.
  bool yieldsTo(double other, base::TimePoint sentAt) const {
    return other < perSecond || (other > perSecond && sentAt > since);
  }
  /// @return true if an answer without a limit, to a request sent at `sentAt`, ends this limit.
  bool endsBy(base::TimePoint sentAt) const { return sentAt > since; }
};

}  // namespace walnut::registry
