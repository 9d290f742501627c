#pragma once
/// @file
/// Which target a request is for.

#include <cstddef>
#include <vector>

#include "walnut/base/random.h"

namespace walnut::scale {

/// Draws ranks by Zipf's law with exponent 1: rank r, counted from 1, with weight 1/r.
class TargetDraw {
 public:
  explicit TargetDraw(std::size_t targets);
  /// @return a rank counted from 0.
  std::size_t draw(base::Random& random) const;

 private:
  std::vector<double> cumulative_;
};

}  // namespace walnut::scale
