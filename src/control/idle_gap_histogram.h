#pragma once
/// @file
/// Histogram of the idle time between two uses of a model or adapter. It is bounded, and old gaps
/// lose weight.

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstddef>
#include <tuple>
#include <vector>

#include "walnut/base/time.h"

namespace walnut::control {

/// One bar of the histogram.
struct GapBar {
  double from = 0;  ///< Seconds.
  double to = 0;
  double weight = 0;

  double middle() const { return (from + to) / 2; }
};

/// Histogram of idle gaps with bars of equal ratio from 5 seconds to two days. A bar is one sixth
/// wide, which is precise enough to decide whether to hold or preload a model, and a histogram
/// takes about 0.5 KB for each model and adapter. Invariant: the total weight is at most `limit`;
/// when it is exceeded all bars are halved, so that old usage patterns fade.
class IdleGapHistogram {
 public:
  static constexpr unsigned kBars = 64;
  /// Shorter gaps do not count as idle time: running requests are reported to the leader at least
  /// every 5 s.
  static constexpr double kShortestSeconds = 5.0;
  static constexpr double kLongestSeconds = 2.0 * 24 * 3600;
  /// Default weight limit for one model: some weeks of a model that is loaded on demand a few times
  /// a day.
  static constexpr double kModelWeightLimit = 128;

  explicit IdleGapHistogram(double limit = kModelWeightLimit);

  /// Gaps below the shortest are ignored; those above the longest count as the longest.
  void record(base::Duration gap);
  double total() const { return total_; }
  std::vector<GapBar> bars() const;

 private:
  using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log,
                                                  boost::histogram::use_default,
                                                  boost::histogram::axis::option::none_t>;
  using Histogram =
      boost::histogram::histogram<std::tuple<LogAxis>, boost::histogram::dense_storage<double>>;

  double limit_;
  double total_ = 0;
  Histogram histogram_;
};

}  // namespace walnut::control
