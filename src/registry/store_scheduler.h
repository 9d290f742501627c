#pragma once
/// @file
/// Scheduler for loads from the weight store.

#include <map>

#include "registry/load_concurrency.h"
#include "registry/store_rate.h"
#include "walnut/registry/worker.h"

namespace walnut::registry {

/// Decides when a load from the weight store may start, by the store's rate limit and an adaptive
/// limit on the loads in progress. The leader has one for each service. A worker has at most one
/// load in progress.
class StoreScheduler {
 public:
  StoreScheduler() = default;
  explicit StoreScheduler(const PreviousLoads& previousLoads) : rate_(previousLoads) {}

  /// Sets the times that decide whether the concurrency limit starts cautiously.
  /// @param longestLoad longest store load time that a model declares.
  /// @param callerTimeout longest time that a caller waits.
  void setLongestTimes(base::Duration longestLoad, base::Duration callerTimeout) {
    concurrency_.setCautious(callerTimeout > base::Duration::zero() &&
                             2 * longestLoad > callerTimeout);
  }
  /// @param slow true if replicas are slow to add: the concurrency limit then starts low.
  void setSlowLoads(bool slow) { concurrency_.setSlowLoads(slow); }
  /// Sets the rate limit and the current time. Has to be called before the other functions.
  void setLimit(double perSecond, const StoreWindow& window, base::TimePoint now);
  /// Sets the number of loads in progress that a previous leader ordered, taken as the number of
  /// workers that are busy with an unknown order.
  void setPreviousLeaderLoads(std::size_t loads) { previousLeaderLoads_ = loads; }

  /// @return true if a load may start now.
  bool allows() const { return rate_.allows() && loadsInProgress() < concurrency_.limit(); }
  /// @return true if a load may start now although `held` others are to start before it ends.
  bool allows(std::size_t held) const {
    return rate_.wait(held) == base::Duration::zero() &&
           loadsInProgress() + held < concurrency_.limit();
  }
  /// @return true if the rate limit has been unused for some time.
  bool hasFullBurst() const { return rate_.hasFullBurst(); }
  /// @return true if this worker's load is in progress.
  bool hasLoad(const WorkerId& worker) const { return loads_.count(worker) != 0; }
  std::size_t loadsInProgress() const { return loads_.size() + previousLeaderLoads_; }
  std::size_t limit() const { return concurrency_.limit(); }
  /// @return zero if a load may start now, otherwise the time until the first load is expected to
  /// end.
  base::Duration expectedWait(base::TimePoint now) const;
  /// @return time until a load may start that comes before all others.
  base::Duration shortestWait(base::TimePoint now) const;
  /// @return time until a load may start that comes after `before` others of length `load`.
  base::Duration expectedWait(base::TimePoint now, std::size_t before, base::Duration load) const;

  /// @name State changes of a load
  /// @{
  /// @param declaredTime duration of the load if the store isn't overloaded.
  void recordOrdered(const WorkerId& worker, base::Duration declaredTime, base::TimePoint now);
  void recordAccepted(const WorkerId& worker, base::TimePoint now);
  /// The order has an unclear outcome, or its worker is lost. A load that was not accepted may
  /// start some seconds later, and counts towards the rate meanwhile. No such load counts as in
  /// progress. If it did start, the worker's next report shows it, see `setPreviousLeaderLoads`.
  void recordUnclear(const WorkerId& worker, base::TimePoint now);
  /// @return the load's duration as a multiple of the declared one; 0 if there is no such load.
  double recordEnd(const WorkerId& worker, base::TimePoint now);
  /// The load was refused, or its order was not sent: it will not start.
  void recordAbandoned(const WorkerId& worker);
  /// @}

 private:
  struct Load {
    std::uint64_t number = 0;
    base::TimePoint startedAt;
    base::Duration declaredTime{0};
    std::size_t inProgressAtStart = 1;
    double observedLateness = 1;  ///< The last lateness that was observed before the load's end.

    double lateness(base::TimePoint now) const;
    base::TimePoint expectedEnd(std::size_t limit) const;
  };

  base::Duration timeUntilFirstEnd(base::TimePoint now) const;
  void observeOverdue(base::TimePoint now);
  void observe(const Load& load, double lateness);

  StoreRate rate_;
  LoadConcurrency concurrency_;
  std::map<WorkerId, Load> loads_;
  std::uint64_t lastLoadNumber_ = 0;
  std::size_t previousLeaderLoads_ = 0;
  base::TimePoint limitReachedAt_;  ///< When the concurrency limit was last reached.
};

}  // namespace walnut::registry
