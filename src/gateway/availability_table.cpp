#include "gateway/availability_table.h"

#include <algorithm>

namespace walnut::gateway {

void AvailabilityTable::take(const registry::ModelForecasts& forecasts, base::TimePoint now) {
  forecasts_.clear();
  expireAt_ = now + registry::kLateModelsLifetime;
  for (const registry::ModelForecast& forecast : forecasts.models) {
    forecasts_[{forecast.service, forecast.model}] = {now + forecast.availableIn,
                                                      forecast.shortestWait};
  }
}

void AvailabilityTable::take(const registry::LateModels& late, base::TimePoint now) {
  registry::ModelForecasts forecasts;
  for (const registry::LateModel& model : late.models) {
    forecasts.models.push_back(
        {model.service, model.model, model.availableIn, base::Duration::zero()});
  }
  take(forecasts, now);
}

std::optional<ModelAvailability> AvailabilityTable::find(const std::string& service,
                                                         const std::string& model,
                                                         base::TimePoint now) const {
  const auto found = forecasts_.find({service, model});
  if (now >= expireAt_ || found == forecasts_.end()) {
    return std::nullopt;
  }
  ModelAvailability availability = found->second;
  availability.expectedAt = std::max(availability.expectedAt, now + availability.shortestWait);
  return availability;
}

}  // namespace walnut::gateway
