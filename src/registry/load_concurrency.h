#pragma once
/// @file
/// Adaptive limit on concurrent loads from the weight store, derived from how long loads take.

#include <cstddef>
#include <cstdint>
#include <optional>

namespace walnut::registry {

/// An adaptive concurrency limit. Up to the store's capacity, a number of concurrent loads that it
/// doesn't announce, a load takes its declared time. Beyond it each load takes longer in proportion
/// to the loads in progress at its start, so that more of them bring no more throughput but only
/// later ends. A late load therefore gives an estimate of the capacity: the loads in progress at
/// its start, divided by its lateness.
///
/// The limit starts low and grows by one with each load that ends in time while the limit is
/// reached, so that it doubles in the duration of a load. It never grows beyond twice the loads
/// that were in progress at the start of such a load. Once a load is late it grows slowly, to
/// detect a store that has become faster.
///
/// The initial value depends on the cost of a wrong guess. Where loads are short compared to the
/// callers' timeouts, too many concurrent loads are late but still useful. Where loads are long,
/// two concurrent loads on a store with a capacity of one both end after all callers have left;
/// every load of the first guess would be wasted, so the limit starts at one. Where loads outlast
/// the callers that a stream has now, but not the longest deadline, the limit starts at two, grows
/// by half a load for each load in time, and may fall to one.
class LoadConcurrency {
 public:
  /// Initial limit, and the minimum to which it falls. Known stores have a median capacity of 10
  /// and a minimum of 4. Too high a limit only makes the first loads late, and the store serves
  /// them in the same total time. Too low a limit leaves the store idle, and each doubling takes
  /// the duration of a load.
  static constexpr double kInitialLimit = 8;
  static constexpr double kMinLimit = 2;
  /// Initial limit and minimum where a wrong guess wastes every load.
  static constexpr double kCautiousLimit = 1;
  /// Initial limit where replicas are slow to add (`catalog::replicasAreSlowToAdd`). Eight loads
  /// from a store that serves two at a time all end after four load times, and the models that are
  /// requested most wait behind the first ones that were requested at all.
  static constexpr double kSlowLoadsLimit = 2;

  /// @param cautious true if loads are so long that a wrong guess wastes every one of them.
  void setCautious(bool cautious);
  /// @param slowLoads true if a replica can't be added while its callers wait.
  void setSlowLoads(bool slowLoads);

  /// @return the number of loads that may be in progress.
  std::size_t limit() const { return static_cast<std::size_t>(limit_); }

  /// Adapts the limit to a load that has ended or is overdue.
  /// @param load identifies the load: repeated observations of one load count once.
  /// @param inProgressAtStart loads in progress when it started, itself included.
  /// @param lateness its duration as a multiple of the declared one.
  /// @param limitReached true if the limit kept another load from starting meanwhile.
  void observe(std::uint64_t load, std::size_t inProgressAtStart, double lateness,
               bool limitReached);

 private:
  void grow(std::size_t inProgressAtStart);
  void handleLateLoad(std::uint64_t load, std::size_t inProgressAtStart, double lateness);

  struct LateLoad {
    std::uint64_t load = 0;
    double estimate = 0;  ///< Estimated capacity of the store, in concurrent loads.
  };

  void resetUnlessObserved();
  double initialLimit() const;
  double minLimit() const { return cautious_ || slowLoads_ ? kCautiousLimit : kMinLimit; }
  double probeStep() const;

  bool cautious_ = false;
  bool slowLoads_ = false;
  bool observed_ = false;  ///< True once a load was observed.
  double limit_ = kInitialLimit;
  double servedInTime_ = 0;  ///< Concurrent loads that the store was seen to serve in time.
  bool probing_ = true;      ///< True until the store's capacity was first reached.
  /// The previous load if it was late, otherwise empty.
  std::optional<LateLoad> lastLate_;
};

}  // namespace walnut::registry
