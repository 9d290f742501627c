#pragma once
/// @file
/// Seeded random numbers, passed to the decision logic as an input. Boost.Random is used because
/// its distributions yield the same numbers on every platform; the standard library's do not.

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cstdint>

#include "walnut/base/time.h"

namespace walnut::base {

/// Deterministic generator; the same seed gives the same sequence everywhere.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// @return an integer in [low, high], both inclusive.
  std::uint64_t uniform(std::uint64_t low, std::uint64_t high) {
    return boost::random::uniform_int_distribution<std::uint64_t>(low, high)(engine_);
  }

  /// @return a real number in [0, 1).
  double unit() { return boost::random::uniform_real_distribution<double>(0.0, 1.0)(engine_); }

  /// @return true with probability `probability`.
  bool chance(double probability) { return unit() < probability; }

  /// @return a duration in [low, high].
  Duration between(Duration low, Duration high) {
    return Duration(static_cast<Duration::rep>(uniform(static_cast<std::uint64_t>(low.count()),
                                                       static_cast<std::uint64_t>(high.count()))));
  }

  /// The underlying engine, for other Boost.Random distributions.
  boost::random::mt19937_64& engine() { return engine_; }

 private:
  boost::random::mt19937_64 engine_;
};

}  // namespace walnut::base
