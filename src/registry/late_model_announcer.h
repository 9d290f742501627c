#pragma once
/// @file
/// When gateways are told of models that come late.

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "walnut/registry/messages.h"

namespace walnut::registry {

/// Kept by the leader. Told when it changes by more than callers would notice, and again while
/// there is something to tell, as gateways forget it.
class LateModelAnnouncer {
 public:
  /// A change of an expected time that is told.
  static constexpr base::Duration kMoved = std::chrono::seconds(2);
  /// Least time between two announcements.
  static constexpr base::Duration kSpacing = std::chrono::milliseconds(250);

  /// @return true if `late` is to be told to all gateways now.
  bool due(const LateModels& late, base::TimePoint now);

 private:
  using Expected = std::map<std::pair<std::string, std::string>, base::TimePoint>;

  bool differs(const Expected& expected) const;

  Expected told_;  ///< By service and model.
  base::TimePoint toldAt_;
};

}  // namespace walnut::registry
