#pragma once
/// @file
/// The patience of callers on the users' platform.

#include <algorithm>

#include "walnut/base/time.h"

namespace walnut::catalog {

/// @return the time after which a caller abandons a stream that has not begun. Callers that expect
/// a whole answer wait until their deadline.
/// @param targetLatency target time until the first event of the stream.
/// @param targetGap longest target time between two events; 0 if there is none.
inline base::Duration callerTimeout(base::Duration targetLatency, base::Duration targetGap) {
  constexpr base::Duration kMinTimeout = std::chrono::seconds(2);
  constexpr int kTimeoutInTargets = 4;
  constexpr int kTimeoutInGaps = 8;
  return std::max({kMinTimeout, kTimeoutInTargets * targetLatency, kTimeoutInGaps * targetGap});
}

}  // namespace walnut::catalog
