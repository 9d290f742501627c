#pragma once
/// @file
/// Estimates how long the workers of a service take to begin a stream, by its prompt tokens.

#include <algorithm>
#include <cmath>

#include "walnut/base/time.h"

namespace walnut::registry {

/// Least squares fit of the time to a stream's first event as a fixed part and a part for each
/// prompt token. The fixed part covers the steps until the first event, the network and the mean
/// wait for other prompts. Older samples count less, with an exponential decay.
class PromptTimeFit {
 public:
  struct Coefficients {
    double fixedSeconds = 0;
    double secondsPerToken = 0;
  };

  /// @param streams number of streams; the other values are sums over them.
  void add(double streams, double tokens, double seconds, base::TimePoint now) {
    decay(now);
    streams_ += streams;
    tokens_ += tokens;
    seconds_ += seconds;
    tokensSquared_ += tokens * tokens / streams;
    tokensSeconds_ += tokens * seconds / streams;
  }
  /// @return true once a single sample has little influence on the result.
  bool settled() const { return streams_ >= kMinStreams; }
  bool empty() const { return tokens_ < 1; }

  /// @return the fit. Nearly equal prompts, or too few of them, don't tell the two parts apart:
  /// then the whole time counts as proportional to the tokens. Zero if `empty()`.
  Coefficients coefficients() const {
    if (empty()) {
      return {};
    }
    const double proportional = seconds_ / tokens_;
    const double meanTerm = tokens_ * tokens_ / streams_;
    const double variance = tokensSquared_ - meanTerm;
    if (!settled() || variance < kMinVariance * meanTerm) {
      return {0, proportional};
    }
    const double slope = (tokensSeconds_ - tokens_ * seconds_ / streams_) / variance;
    const double perToken = std::clamp(slope, kMinProportion * proportional, proportional);
    return {(seconds_ - perToken * tokens_) / streams_, perToken};
  }

 private:
  static constexpr double kDecaySeconds = 20;
  static constexpr double kMinStreams = 20;
  /// Least variance of the prompt tokens relative to their squared mean.
  static constexpr double kMinVariance = 0.01;
  /// Lower bound of the part of the time that is proportional to the tokens. Noise must not make
  /// reading prompts seem free.
  static constexpr double kMinProportion = 0.1;

  void decay(base::TimePoint now) {
    const double age = std::chrono::duration<double>(now - updatedAt_).count();
    const double factor = std::exp(-std::max(0.0, age) / kDecaySeconds);
    updatedAt_ = std::max(updatedAt_, now);
    for (double* sum : {&streams_, &tokens_, &seconds_, &tokensSquared_, &tokensSeconds_}) {
      *sum *= factor;
    }
  }

  double streams_ = 0;
  double tokens_ = 0;
  double seconds_ = 0;
  double tokensSquared_ = 0;
  double tokensSeconds_ = 0;
  base::TimePoint updatedAt_;
};

}  // namespace walnut::registry
