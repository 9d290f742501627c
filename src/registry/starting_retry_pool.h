#pragma once
/// @file
/// Retries that the leader grants to new gateway processes.

#include <cstddef>
#include <cstdint>
#include <deque>

#include "walnut/base/time.h"
#include "walnut/registry/starting_retry_messages.h"

namespace walnut::registry {

/// A pool of retries, as a fraction of the slack of the retry budgets.
///
/// Invariant: what is granted within any span of `kHold` is at most `kStartingRetriesFraction` of
/// the slack. A grant is used within `kStartingRetriesLifetime` of its request, so all retries that
/// are used in one window of the budget were granted within the window or within that time before
/// it: together they are at most that fraction.
///
/// A new leader doesn't know what was granted before, so its pool is closed for `kHold`.
class StartingRetryPool {
 public:
  /// Window of the retry budgets.
  static constexpr base::Duration kWindow = std::chrono::seconds(10);
  /// Covers clocks of servers and gateways that run at different rates.
  static constexpr base::Duration kMargin = std::chrono::seconds(1);
  static constexpr base::Duration kHold = kWindow + kStartingRetriesLifetime + kMargin;

  /// @param closedUntil nothing is granted before.
  explicit StartingRetryPool(base::TimePoint closedUntil) : closedUntil_(closedUntil) {}

  /// Grants nothing until then.
  void closeUntil(base::TimePoint time);
  /// Grants whole retries: an even share of the pool, but at most half of what is left, so that
  /// others that start at the same time get some.
  /// @param slack the slack of a service's budget.
  /// @param gateways number of gateways.
  std::uint32_t grant(double slack, std::size_t gateways, base::TimePoint now);
  /// @return the fraction of the slack that may be granted.
  double left(base::TimePoint now);

 private:
  struct Grant {
    base::TimePoint grantedAt;
    double fraction = 0;
  };

  base::TimePoint closedUntil_;
  std::deque<Grant> grants_;  ///< The grants of the last `kHold`.
};

}  // namespace walnut::registry
