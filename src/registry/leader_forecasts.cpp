/// @file
/// The part of the leader's tasks that tells gateways when requested models will be available.

#include <utility>

#include "registry/leader_duties.h"
#include "walnut/registry/feature_level.h"

namespace walnut::registry {

namespace {

/// Gateways that know only LateModels refuse every caller that leaves before the expected time.
/// They are told of models that take at least this long: a load from disk takes 1 to 2 s, plus the
/// time until its worker is free.
constexpr base::Duration kLateThreshold = std::chrono::seconds(4);

/// @return the models that take at least that long.
LateModels lateModelsOf(const ModelForecasts& forecasts, base::Duration threshold) {
  LateModels late;
  for (const ModelForecast& forecast : forecasts.models) {
    if (forecast.availableIn >= threshold) {
      late.models.push_back({forecast.service, forecast.model, forecast.availableIn});
    }
  }
  return late;
}

}  // namespace

ModelForecasts LeaderDuties::modelForecasts() const {
  ModelForecasts forecasts;
  for (const auto& [service, policy] : policies_) {
    for (const LateModelForecast& forecast : policy.outlook()) {
      forecasts.models.push_back(
          {service, forecast.model, forecast.availableIn, forecast.shortestWait});
    }
  }
  return forecasts;
}

void LeaderDuties::subscribeToForecasts(protocol::ConnectionId gateway,
                                        std::uint32_t featureLevel) {
  if (featureLevel >= feature::kModelForecasts) {
    forecastGateways_.insert(gateway);
  }
}

/// An empty list need not be sent: what a previous leader sent expires at the gateway.
void LeaderDuties::sendFirstForecasts(protocol::ConnectionId gateway) {
  const ModelForecasts forecasts = modelForecasts();
  if (!forecasts.models.empty()) {
    sendForecasts(gateway, forecasts);
  }
}

void LeaderDuties::sendForecasts(protocol::ConnectionId gateway, const ModelForecasts& forecasts) {
  const bool isSupported = forecastGateways_.count(gateway) != 0;
  MessageBody message =
      isSupported ? MessageBody(forecasts) : MessageBody(lateModelsOf(forecasts, kLateThreshold));
  actions_.emplace_back(control::SendToConnection{gateway, RegistryMessage{std::move(message)}});
}

void LeaderDuties::announceForecasts(base::TimePoint now) {
  const ModelForecasts forecasts = modelForecasts();
  if (!lateModelAnnouncer_.due(lateModelsOf(forecasts, base::Duration::zero()), now)) {
    return;
  }
  for (const protocol::ConnectionId gateway : publisher_.gateways()) {
    sendForecasts(gateway, forecasts);
  }
}

}  // namespace walnut::registry
