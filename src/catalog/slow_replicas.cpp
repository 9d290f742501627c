#include "walnut/catalog/slow_replicas.h"

#include <algorithm>

#include "walnut/catalog/caller_timeout.h"

namespace walnut::catalog {

namespace {

base::Duration longestLoad(const EngineSpec& engine) {
  base::Duration longest{0};
  for (const ModelSpec& model : engine.models) {
    longest = std::max(longest, model.storeLoadTime);
  }
  return longest;
}

bool serves(const Route& route, std::string_view service) {
  return std::any_of(route.services.begin(), route.services.end(),
                     [service](const WeightedService& part) { return part.service == service; });
}

}  // namespace

bool replicasAreSlowToAdd(const Document& document, std::string_view service) {
  const auto found =
      std::find_if(document.services.begin(), document.services.end(),
                   [service](const Service& candidate) { return candidate.name == service; });
  if (found == document.services.end() || !found->engine) {
    return false;
  }
  const base::Duration longest = longestLoad(*found->engine);
  return std::any_of(
      document.routes.begin(), document.routes.end(), [service, longest](const Route& route) {
        return route.kind == RouteKind::streaming && serves(route, service) &&
               longest > kSlowLoadFactor * callerTimeout(route.targetLatency, route.targetGap);
      });
}

}  // namespace walnut::catalog
