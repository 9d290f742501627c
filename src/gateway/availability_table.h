#pragma once
/// @file
/// When models that no worker serves will be available, as announced by the registry's leader.

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "walnut/base/time.h"
#include "walnut/registry/messages.h"

namespace walnut::gateway {

/// When a model that no worker serves will be available.
struct ModelAvailability {
  base::TimePoint expectedAt;
  base::Duration shortestWait{0};  ///< See registry::ModelForecast.

  /// @return when a request could be served that arrived then. While the load has not begun this
  /// doesn't move with the time: a load that begins later may serve the caller when it returns.
  base::TimePoint earliestFor(base::TimePoint arrivedAt) const {
    return shortestWait > base::Duration::zero() ? arrivedAt + shortestWait : expectedAt;
  }
};

/// The leader's forecasts. Each announcement replaces the last and expires by itself.
class AvailabilityTable {
 public:
  void take(const registry::ModelForecasts& forecasts, base::TimePoint now);
  /// Takes the announcement of a leader that tells only expected times.
  void take(const registry::LateModels& late, base::TimePoint now);
  /// @return nothing if the model will be available soon, or if that isn't known.
  std::optional<ModelAvailability> find(const std::string& service, const std::string& model,
                                        base::TimePoint now) const;

 private:
  /// By service and model.
  std::map<std::pair<std::string, std::string>, ModelAvailability> forecasts_;
  base::TimePoint expireAt_;
};

}  // namespace walnut::gateway
