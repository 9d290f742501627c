#pragma once
/// @file
/// Retry budget: limits retries to a fraction of the first attempts, so that retries can't multiply
/// an overload.

#include <cstdint>
#include <optional>

#include "routing/windowed_count.h"
#include "walnut/base/time.h"

namespace walnut::routing {

/// Counts first attempts and retries over a sliding window.
///
/// A budget that several processes share outlives each of them, but a new process doesn't know what
/// its predecessor has used. It therefore begins with nothing and earns its budget evenly over
/// `kEarningTime`. In any window, a process and its successors, however many there are, then use at
/// most the whole budget and `kSuccessorShare` of it.
class RetryBudget {
 public:
  static constexpr base::Duration kWindow = std::chrono::seconds(10);

  /// Number of retries that are allowed in a window whatever the traffic, so that a router with few
  /// requests can retry at all. Envoy's retry budget has such a minimum as well.
  static constexpr double kDefaultFloor = 10.0;

  static constexpr base::Duration kEarningTime = 2 * kWindow;
  /// Share of the budget that new processes earn within a window.
  static constexpr double kSuccessorShare = 0.5;

  /// @param ratio number of retries allowed per first attempt.
  /// @param floor number of retries allowed in a window whatever the traffic.
  /// @param earnsFrom start of the process, if the budget is shared; otherwise it is whole at once.
  explicit RetryBudget(double ratio, double floor = kDefaultFloor,
                       std::optional<base::TimePoint> earnsFrom = std::nullopt)
      : ratio_(ratio), floor_(floor), earnsFrom_(earnsFrom) {}

  void setFloor(double floor) { floor_ = floor; }

  void firstAttempt(base::TimePoint now);
  /// Takes one retry from the budget.
  /// @return false if the budget is exhausted.
  bool takeRetry(base::TimePoint now);

  /// @name A retry that is set aside for later use. It takes part of the budget until it is used or
  /// released.
  /// @{
  /// @return false if the budget is exhausted.
  bool reserveRetry(base::TimePoint now);
  /// @return false if the budget has shrunk since, and is exhausted: the retry stays reserved.
  bool useReservedRetry(base::TimePoint now);
  void releaseReservedRetry();
  /// @}

  /// Use of the budget over the window.
  struct Usage {
    std::uint64_t firstAttempts = 0;
    std::uint64_t retries = 0;
    double allowed = 0;  ///< Number of retries that the window may have.
  };
  Usage usage(base::TimePoint now);

 private:
  double allowed(base::TimePoint now);
  bool hasRetry(base::TimePoint now);

  double ratio_;
  double floor_;
  std::optional<base::TimePoint> earnsFrom_;
  // No window may exceed the budget, so first attempts are dropped early and retries late.
  WindowedCount firstAttempts_{kWindow};
  WindowedCount retries_{kWindow + WindowedCount::kBucketWidth};
  std::uint64_t reserved_ = 0;
};

}  // namespace walnut::routing
