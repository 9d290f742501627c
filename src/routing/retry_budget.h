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
/// its predecessors have used. In a window W, with the window V before it, let all processes get
/// F(V) and F(W) first attempts.
///
/// - Ratio. A process whose last retry in W is at t has taken at most `ratio` times the first
///   attempts that it got in the window that ends at t, all of which lie in V or W. A first attempt
///   belongs to one process, so all processes together take at most ratio x (F(V) + F(W)), however
///   they are restarted or share the traffic. Each has half of the ratio of all processes together,
///   which makes that the mean of the two windows: no process has to earn it.
/// - Floor. A place among the processes has one process at a time. The one that runs as W begins
///   takes at most its floor. The others begin within W, and the floor is earned evenly over
///   `kEarningTime`: as their ages add up to W at most, they take `kEarnedShare` of a floor
///   together.
/// - Grants. New processes can be granted retries to begin with. Whoever grants them bounds what is
///   used in a window: `kGrantedShare` of all floors.
///
/// The floors of all places, times 1 + `kSuccessorShare`, are therefore the fixed number of retries
/// that all processes together may take in a window beside those by the ratio.
class RetryBudget {
 public:
  static constexpr base::Duration kWindow = std::chrono::seconds(10);

  /// Number of retries that are allowed in a window whatever the traffic, so that a router with few
  /// requests can retry at all. Envoy's retry budget has such a minimum as well.
  static constexpr double kDefaultFloor = 10.0;

  static constexpr base::Duration kEarningTime = 3 * kWindow;
  /// Share of a floor that new processes earn within a window.
  static constexpr double kEarnedShare =
      static_cast<double>(kWindow.count()) / static_cast<double>(kEarningTime.count());
  /// Share of a floor that new processes are granted within a window.
  static constexpr double kGrantedShare = 1.0 / 3;
  static constexpr double kSuccessorShare = kEarnedShare + kGrantedShare;

  /// @param ratio number of retries allowed per first attempt.
  /// @param floor number of retries allowed in a window whatever the traffic.
  /// @param earnsFrom start of the process, if the floor is earned; otherwise it is whole at once.
  explicit RetryBudget(double ratio, double floor = kDefaultFloor,
                       std::optional<base::TimePoint> earnsFrom = std::nullopt)
      : ratio_(ratio), floor_(floor), earnsFrom_(earnsFrom) {}

  void setFloor(double floor) { floor_ = floor; }
  /// Adds retries that may each be taken once until then, when the budget itself has none.
  void grant(std::uint32_t retries, base::TimePoint until);

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
    double allowed = 0;  ///< Number of retries that the window may have, without granted ones.
    std::uint32_t granted = 0;  ///< Granted retries that are left.
  };
  Usage usage(base::TimePoint now);

 private:
  double allowed(base::TimePoint now);
  bool hasRetry(base::TimePoint now);
  bool takeGranted(base::TimePoint now);

  double ratio_;
  double floor_;
  std::optional<base::TimePoint> earnsFrom_;
  // No window may exceed the budget, so first attempts are dropped early and retries late.
  WindowedCount firstAttempts_{kWindow};
  WindowedCount retries_{kWindow + WindowedCount::kBucketWidth};
  std::uint64_t reserved_ = 0;
  std::uint32_t granted_ = 0;
  base::TimePoint grantedUntil_;
};

}  // namespace walnut::routing
