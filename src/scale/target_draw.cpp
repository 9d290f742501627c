#include "scale/target_draw.h"

#include <algorithm>

namespace walnut::scale {

TargetDraw::TargetDraw(std::size_t targets) {
  double sum = 0;
  for (std::size_t rank = 1; rank <= targets; ++rank) {
    sum += 1 / static_cast<double>(rank);
    cumulative_.push_back(sum);
  }
}

std::size_t TargetDraw::draw(base::Random& random) const {
  const double at = random.unit() * cumulative_.back();
  const auto found = std::upper_bound(cumulative_.begin(), cumulative_.end(), at);
  return std::min<std::size_t>(found - cumulative_.begin(), cumulative_.size() - 1);
}

}  // namespace walnut::scale
