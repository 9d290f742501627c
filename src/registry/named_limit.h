#pragma once
/// @file
/// A worker's limit as its answers name it, at the leader and at gateways.

#include "walnut/base/time.h"

namespace walnut::registry {

/// Answers on different connections overtake one another: what an answer says is known to be newer
/// only if its request was sent after the answer came that this is known from.
struct NamedLimit {
  double perSecond = 0;
  base::TimePoint since;  ///< When the first answer that named this value came.

  /// @param other named by an answer to a request that was sent at `sentAt`.
  /// @return true if it replaces this one. Of two answers that crossed the lower limit holds.
  bool yieldsTo(double other, base::TimePoint sentAt) const {
    return other < perSecond || (other > perSecond && sentAt > since);
  }
  /// @return true if an answer without a limit ends this one, to a request sent at `sentAt`.
  bool endsBy(base::TimePoint sentAt) const { return sentAt > since; }
};

}  // namespace walnut::registry
