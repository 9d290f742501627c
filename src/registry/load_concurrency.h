#pragma once
/// @file
/// How many loads from the weight store are worth having under way at once, found from how long
/// they take.

#include <cstddef>
#include <cstdint>
#include <optional>

namespace walnut::registry {

/// An adaptive concurrency limit. Up to some number of loads at once, which nobody tells, a load
/// takes its declared time; beyond it each takes longer in proportion to the loads under way when
/// it began, so that more at once bring no more throughput, only late ends. A late load therefore
/// tells the number: the loads under way at its start, by its lateness.
///
/// Begins low and grows by one with each load that ends in time while the limit is in use, to no
/// more than twice the loads that it began with (it doubles in the time of a load), until a load is
/// late; from then on it grows slowly, to notice a store that has become faster.
///
/// What it begins with depends on what a wrong guess costs. Where loads are short against what
/// callers wait, too many at once are late and still of use. Where two at once at a store that
/// takes one both end after all callers have left, the first guess would cost every load of it: it
/// begins with one.
class LoadConcurrency {
 public:
  /// Loads at once to begin with, and the least that the limit falls to. Of the stores seen the
  /// median takes 10, the least 4: too many only make the first loads late, which the store serves
  /// in the same time in all; too few leave it idle, and a round of doubling costs a load's time.
  static constexpr double kInitialLimit = 8;
  static constexpr double kLeastLimit = 2;
  /// The same where a wrong guess costs every load.
  static constexpr double kCautiousLimit = 1;

  /// @param cautious whether loads are so long that a wrong guess costs every one of them.
  void setCautious(bool cautious);

  /// @return loads that may be under way.
  std::size_t limit() const { return static_cast<std::size_t>(limit_); }

  /// A load has ended, or is overdue.
  /// @param load names it: what is told of one load again and again counts once.
  /// @param underWayAtStart loads under way when it began, itself included.
  /// @param lateness its time as a multiple of the declared one.
  /// @param limitReached whether the limit kept another load from beginning in that time.
  void observe(std::uint64_t load, std::size_t underWayAtStart, double lateness, bool limitReached);

 private:
  void grow(std::size_t underWayAtStart);
  void late(std::uint64_t load, std::size_t underWayAtStart, double lateness);

  struct LateLoad {
    std::uint64_t load = 0;
    double estimate = 0;  ///< Of the store's number.
  };

  double least() const { return cautious_ ? kCautiousLimit : kLeastLimit; }

  bool cautious_ = false;
  bool observed_ = false;  ///< Some load has told of the store.
  double limit_ = kInitialLimit;
  double shown_ = 0;     ///< Loads at once that the store was seen to take in time.
  bool probing_ = true;  ///< No load was late yet.
  /// Of the late load before; none if the load before was in time.
  std::optional<LateLoad> lastLate_;
};

}  // namespace walnut::registry
