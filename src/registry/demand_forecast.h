#pragma once
/// @file
/// Forecast of the demand for a model: the level and the trend of its arrivals.

#include "walnut/base/time.h"

namespace walnut::registry {

/// Largest forecast, as a multiple of the present demand. It bounds the cost of a wrong forecast to
/// one replica more than twice the present need.
inline constexpr double kMaxGrowth = 2.0;

/// The arrivals of a model, weighted by their age with a short and a long time constant. The
/// difference of the two means gives the trend.
class ArrivalTrend {
 public:
  void count(base::TimePoint now, double arrivals);

  /// @return the expected arrivals as a multiple of the present ones, between 0 and kMaxGrowth; 1
  /// if no trend is known.
  /// @param ahead time of the forecast.
  /// @param since when counting began. Both means are corrected for the missing time before it. No
  /// trend is known before two reports of each gateway have arrived.
  double growth(base::TimePoint now, base::Duration ahead, base::TimePoint since) const;

 private:
  double recent_ = 0;  ///< Arrivals weighted with the short time constant.
  double mean_ = 0;    ///< Arrivals weighted with the long time constant.
  base::TimePoint updatedAt_;
};

/// Mean of a model's requests over the last seconds, for which its replicas are kept: demand that
/// has just gone down may come back before a replica could be loaded again.
class RequestMean {
 public:
  void update(base::TimePoint now, double requests);
  double value() const { return mean_; }

 private:
  double mean_ = 0;
  base::TimePoint updatedAt_;
};

}  // namespace walnut::registry
