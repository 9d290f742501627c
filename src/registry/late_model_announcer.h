#pragma once
/// @file
/// Decides when gateways are notified of models that will be available late.

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "walnut/registry/messages.h"

namespace walnut::registry {

/// Decides when the leader sends the list of late models to all gateways: when it changes by enough
/// for callers to notice, and periodically while it isn't empty, since gateways drop it after
/// `kLateModelsLifetime`.
class LateModelAnnouncer {
 public:
  /// Least change of an expected time that is announced.
  static constexpr base::Duration kMinChange = std::chrono::seconds(2);
  /// Least time between two announcements.
  static constexpr base::Duration kMinInterval = std::chrono::milliseconds(250);

  /// @return true if `late` has to be sent to all gateways now, in which case it counts as sent.
  bool due(const LateModels& late, base::TimePoint now);

 private:
  using Expected = std::map<std::pair<std::string, std::string>, base::TimePoint>;

  bool differs(const Expected& expected) const;

  Expected announced_;  ///< Last announced times, by service and model.
  base::TimePoint announcedAt_;
};

}  // namespace walnut::registry
