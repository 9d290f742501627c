#include "registry/late_model_announcer.h"

#include <algorithm>

namespace walnut::registry {

bool LateModelAnnouncer::differs(const Expected& expected) const {
  return !std::equal(expected.begin(), expected.end(), told_.begin(), told_.end(),
                     [](const auto& left, const auto& right) {
                       return left.first == right.first &&
                              std::chrono::abs(left.second - right.second) < kMoved;
                     });
}

bool LateModelAnnouncer::due(const LateModels& late, base::TimePoint now) {
  Expected expected;
  for (const LateModel& model : late.models) {
    expected[{model.service, model.model}] = now + model.availableIn;
  }
  const bool again = !expected.empty() && now >= toldAt_ + kLateModelsLast / 2;
  if (now < toldAt_ + kSpacing || !(again || differs(expected))) {
    return false;
  }
  told_ = std::move(expected);
  toldAt_ = now;
  return true;
}

}  // namespace walnut::registry
