/// @file
/// The part of the placement policy that keeps workers of full models free of other models. It is
/// used only in services where replicas are slow to add.

#include <algorithm>

#include "registry/placement.h"
#include "registry/placement_round.h"

namespace walnut::registry {

namespace {

/// Beyond two workers, at most one in this many is kept free of other models: each takes a place
/// from rarely used models, whose callers would be refused.
constexpr std::size_t kKeptDivisor = 10;
constexpr std::size_t kMinKeptWorkers = 2;

}  // namespace

/// Determines which workers take no further model. The rule is suspended while it would hold for
/// more workers than may be kept, or for more than half of them.
void PlacementPolicy::updateFullModels(const PlacementRound& round) {
  fullModels_.update(round);
  const auto& workers = round.workers();
  const auto closed = static_cast<std::size_t>(std::count_if(
      workers.begin(), workers.end(),
      [this](const PlacementWorker& worker) { return !fullModels_.findOn(worker).empty(); }));
  const std::size_t most = std::max(kMinKeptWorkers, workers.size() / kKeptDivisor);
  keepsWorkersForFullModels_ = closed > 0 && closed <= most && 2 * closed <= workers.size();
}

bool PlacementPolicy::isKeptForFullModel(const PlacementWorker& worker) const {
  return keepsWorkersForFullModels_ && !fullModels_.findOn(worker).empty();
}

/// @return true if the model can do without its replica on this worker: another one has room, and
/// the model would not get a further replica again at once.
bool PlacementPolicy::canMoveAway(const PlacementRound& round, const PlacementWorker& worker,
                                  const std::string& model) const {
  const PlacementRound::Replicas replicas = round.replicas(model);
  const DemandFigures figures = round.figures(model);
  if (replicas.serving < 2 || fullModels_.contains(model) || figures.waiting > 0 ||
      round.keptLoadWith(model, replicas.serving - 1) > kScaleOutShare ||
      (replicas.serving == 2 && figures.rate >= kSecondReplicaRate)) {
    return false;
  }
  const auto& workers = round.workers();
  return std::any_of(workers.begin(), workers.end(), [&](const PlacementWorker& other) {
    return other.id != worker.id && other.serving && other.unloadingModel != model &&
           other.holdings.find(model) != nullptr && fullModels_.findOn(other).empty() &&
           other.running < kFullShare * round.engine().slots;
  });
}

/// Unloads other models from the workers of full models, at most one replica of each in a run.
void PlacementPolicy::moveNeighbours(PlacementRound& round) {
  std::set<std::string> moved;
  for (const PlacementWorker& worker : round.workers()) {
    if (!isKeptForFullModel(worker) || !worker.canLoadModels || !isFree(round, worker)) {
      continue;
    }
    for (const HeldModel& held : worker.holdings.models) {
      if (moved.count(held.name) != 0 || !canMoveAway(round, worker, held.name)) {
        continue;
      }
      moved.insert(held.name);
      recordNeighbourMove(round, worker, held.name);
      round.order(
          {worker.id, OrderOperation::unload, held.name, {}, false, PlacementReason::neighbour});
      break;
    }
  }
}

void PlacementPolicy::recordNeighbourMove(const PlacementRound& round,
                                          const PlacementWorker& worker,
                                          const std::string& neighbour) {
  PlacementDecision decision;
  decision.model = fullModels_.findOn(worker);
  decision.reason = PlacementReason::neighbour;
  decision.outcome = PlacementOutcome::unloadOrdered;
  const DemandFigures figures = round.figures(decision.model);
  const PlacementRound::Replicas replicas = round.replicas(decision.model);
  decision.waiting = figures.waiting;
  decision.unservedRequests = figures.unservedRequests;
  decision.queued = replicas.queued;
  decision.rate = figures.rate;
  decision.replicas = replicas.present;
  decision.copies = replicas.copies;
  decision.storeQueue = previousStoreQueue_;
  decision.storeIsScarce = storeIsScarce_;
  decision.worker = worker.id;
  decision.victim = neighbour;
  decisions_.push_back(std::move(decision));
}

}  // namespace walnut::registry
