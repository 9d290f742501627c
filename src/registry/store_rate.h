#pragma once
/// @file
/// Rate limit on the start of loads from the weight store.

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "walnut/base/time.h"

namespace walnut::registry {

/// The window in which starts of loads are counted. Any window of this length may contain the rate
/// times its length times the overshoot, and a few loads more.
struct StoreWindow {
  base::Duration length = std::chrono::seconds(5);
  double overshoot = 1.1;
};

/// What a new leader knows of the loads that previous leaders ordered.
struct PreviousLoads {
  /// No such load starts after this time. `kNever` means unknown; no value means that previous
  /// leaders ordered none.
  std::optional<base::TimePoint> endedAt = base::kNever;
};

/// Limits the start of loads, so that no window contains more loads than allowed, wherever it
/// starts: by a token bucket, and by a count of the loads that may start in the window. An order
/// may take effect late, and one with an unclear outcome some seconds later; the bucket's burst is
/// reserved for the latter meanwhile.
///
/// Invariant: a window contains at most as many starts of one leader's loads as allowed. Of the
/// loads that start within it, the one ordered last was ordered when each other one counted, since
/// none counts as started before it did.
///
/// Invariant: the tokens and those that refused loads would return are never more than the burst,
/// so that the bucket also holds for the loads that were not refused.
class StoreRate {
 public:
  StoreRate() = default;
  explicit StoreRate(const PreviousLoads& previousLoads) : previousLoads_(previousLoads) {}

  /// @return the most loads that may start within that time of the first one, if none preceded it.
  static double maxStarts(double perSecond, const StoreWindow& window, base::Duration duration);

  /// @param perSecond the rate; 0 if it is not limited.
  void setLimit(double perSecond, const StoreWindow& window, base::TimePoint now);
  bool allows() const { return wait(0) == base::Duration::zero(); }
  /// @return time from the last `setLimit` until a load may start that comes after `before` others.
  base::Duration wait(std::size_t before) const;
  /// @return true if no load was started for so long that the next token would be lost.
  bool hasFullBurst() const { return perSecond_ <= 0 || tokens_ >= burst_; }

  /// @name Starts of loads
  /// @{
  /// A load starts now.
  void recordStart();
  /// A load is ordered, and may start at any time until one of the functions below is called.
  /// @param load a number of the caller's, not used before.
  void recordOrdered(std::uint64_t load);
  /// A worker has accepted the order: the load has started by now.
  void recordAccepted(std::uint64_t load, base::TimePoint now);
  /// The load will not start: its order was refused, or not sent. Its token is returned.
  void recordRefused(std::uint64_t load);
  /// The load may have started, or may still start within some seconds.
  void recordUnclear(std::uint64_t load, base::TimePoint now);
  /// The same for a load whose order was not recorded.
  void recordUnclear(base::TimePoint now) { unclearOrders_.push_back(now); }
  /// @}

 private:
  struct Start {
    std::uint64_t load = 0;      ///< 0 if its order was not recorded.
    base::TimePoint latest;      ///< The load starts by then. The present if that is unknown.
    bool isUnanswered = true;    ///< Whether its latest time is unknown.
    double returnableToken = 1;  ///< Part of a token that is returned if the order is refused.
  };

  void initialize(base::TimePoint now);
  void refill(base::TimePoint now);
  void refreshStarts(base::TimePoint now);
  /// @return the tokens taken for one load: none without a limit.
  double takeToken();
  Start* findUnanswered(std::uint64_t load);
  void insert(const Start& start);
  base::Duration bucketWait(std::size_t before) const;
  base::Duration windowWait(std::size_t before) const;

  PreviousLoads previousLoads_;
  double perSecond_ = 0;
  StoreWindow window_;
  double burst_ = 1;
  double tokens_ = 0;
  std::optional<base::TimePoint> refilledAt_;  ///< Empty until the limit is first set.
  std::deque<base::TimePoint> unclearOrders_;  ///< Times of unclear outcomes, the oldest first.
  /// Loads that may start within a window that contains the present, in the order of their latest
  /// times as of the last `setLimit`.
  std::vector<Start> starts_;
};

}  // namespace walnut::registry
