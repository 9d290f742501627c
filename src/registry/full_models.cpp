#include "registry/full_models.h"

#include <algorithm>

#include "registry/placement_round.h"

namespace walnut::registry {

void FullModels::update(const PlacementRound& round) {
  std::erase_if(models_, [&round](const std::string& model) {
    return round.loadWith(model, round.replicas(model).serving) < kFullShare;
  });
  for (const catalog::ModelSpec& model : round.engine().models) {
    const PlacementRound::Replicas replicas = round.replicas(model.name);
    if (replicas.serving > 0 && replicas.queued >= replicas.serving) {
      models_.insert(model.name);
    }
  }
}

std::string FullModels::findOn(const PlacementWorker& worker) const {
  const auto found = std::find_if(worker.holdings.models.begin(), worker.holdings.models.end(),
                                  [this](const HeldModel& held) { return contains(held.name); });
  return found == worker.holdings.models.end() ? std::string() : found->name;
}

}  // namespace walnut::registry
