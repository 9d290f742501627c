#pragma once
/// @file
/// When a load from the weight store may begin: the store's rate, and the loads under way.

#include <map>

#include "registry/load_concurrency.h"
#include "registry/store_rate.h"
#include "walnut/registry/worker.h"

namespace walnut::registry {

/// Kept by the leader for one service. A worker has one load under way at most.
class StoreScheduler {
 public:
  StoreScheduler() = default;
  explicit StoreScheduler(const FormerLoads& former) : rate_(former) {}

  /// @param longestLoad that a model declares. @param patience the longest that a caller waits.
  void setPatience(base::Duration longestLoad, base::Duration patience) {
    concurrency_.setCautious(patience > base::Duration::zero() && 2 * longestLoad > patience);
  }
  /// To be called before the rest, with the present time.
  void setLimit(double perSecond, const StoreWindow& window, base::TimePoint now);
  /// Loads under way that a former leader ordered, by workers that are busy with an unknown order.
  void setForeign(std::size_t loads) { foreign_ = loads; }

  /// @return true if a load may begin now.
  bool allows() const { return rate_.allows() && underWay() < concurrency_.limit(); }
  std::size_t underWay() const { return loads_.size() + foreign_; }
  std::size_t limit() const { return concurrency_.limit(); }
  /// @return time until a place is free, of the load that ends first; zero if one is free.
  base::Duration expectedWait(base::TimePoint now) const;
  /// @return time until a load may begin that so many others wait before, each of that length.
  base::Duration expectedWait(base::TimePoint now, std::size_t before, base::Duration load) const;

  /// @name The life of a load
  /// @{
  /// @param declaredTime that it takes if the store isn't crowded.
  void ordered(const WorkerId& worker, base::Duration declaredTime, base::TimePoint now);
  void accepted(const WorkerId& worker, base::TimePoint now);
  /// Nobody knows whether it begins: it takes from the rate for some time, but no place, as its
  /// worker may be lost. If it did begin, the worker's next report tells, see `setForeign`.
  void unclear(const WorkerId& worker, base::TimePoint now);
  /// @return its time as a multiple of the declared one; 0 if there is no such load.
  double ended(const WorkerId& worker, base::TimePoint now);
  /// It was refused, or its worker is lost.
  void abandoned(const WorkerId& worker) { loads_.erase(worker); }
  /// @}

 private:
  struct Load {
    std::uint64_t number = 0;
    base::TimePoint begunAt;
    base::Duration declaredTime{0};
    std::size_t underWayAtStart = 1;
    double notedLateness = 1;  ///< Up to which it was taken note of before its end.

    double lateness(base::TimePoint now) const;
    base::TimePoint expectedEnd(std::size_t limit) const;
  };

  void noteOverdue(base::TimePoint now);
  void observe(const Load& load, double lateness);

  StoreRate rate_;
  LoadConcurrency concurrency_;
  std::map<WorkerId, Load> loads_;
  std::uint64_t lastLoad_ = 0;
  std::size_t foreign_ = 0;
  base::TimePoint limitReachedAt_;  ///< Last time.
};

}  // namespace walnut::registry
