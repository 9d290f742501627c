#include "registry/late_model_announcer.h"

#include <algorithm>

namespace walnut::registry {

bool LateModelAnnouncer::differs(const Expected& expected) const {
  return !std::equal(expected.begin(), expected.end(), announced_.begin(), announced_.end(),
                     [](const auto& left, const auto& right) {
                       return left.first == right.first &&
                              std::chrono::abs(left.second - right.second) < kMinChange;
                     });
}

bool LateModelAnnouncer::due(const LateModels& late, base::TimePoint now) {
  Expected expected;
  for (const LateModel& model : late.models) {
    expected[{model.service, model.model}] = now + model.availableIn;
  }
  const bool isRepeatDue = !expected.empty() && now >= announcedAt_ + kLateModelsLifetime / 2;
  if (now < announcedAt_ + kMinInterval || !(isRepeatDue || differs(expected))) {
    return false;
  }
  announced_ = std::move(expected);
  announcedAt_ = now;
  return true;
}

}  // namespace walnut::registry
