#include "gateway/demand_tracker.h"

#include <algorithm>
#include <utility>

namespace walnut::gateway {

void DemandTracker::Counters::note(const Urgency& urgency) {
  priority = std::min(priority, urgency.priority);
  targetLatency = std::min(targetLatency, urgency.targetLatency);
}

void DemandTracker::requestArrived(const std::string& service, const std::string& model,
                                   const std::string& adapter, const Urgency& urgency) {
  Counters& counters = counters_[{service, model, adapter}];
  ++counters.arrivals;
  counters.note(urgency);
}

void DemandTracker::waitBegan(const std::string& service, const std::string& model,
                              const std::string& adapter, const Urgency& urgency) {
  Counters& counters = counters_[{service, model, adapter}];
  ++counters.waiting;
  counters.note(urgency);
  isUrgent_ = true;
}

void DemandTracker::waitEnded(const std::string& service, const std::string& model,
                              const std::string& adapter) {
  Counters& counters = counters_[{service, model, adapter}];
  if (counters.waiting > 0) {
    --counters.waiting;
  }
}

void DemandTracker::versionWaitBegan(const std::string& service, const std::string& model,
                                     const std::string& adapter, const std::string& version) {
  ++versionWaits_[{service, model, adapter, version}];
  isUrgent_ = true;
}

void DemandTracker::versionWaitEnded(const std::string& service, const std::string& model,
                                     const std::string& adapter, const std::string& version) {
  const auto found = versionWaits_.find({service, model, adapter, version});
  if (found != versionWaits_.end() && --found->second == 0) {
    versionWaits_.erase(found);
  }
}

std::optional<registry::VersionDemand> DemandTracker::takeVersionDemand() {
  if (!std::exchange(isVersionDemandReported_, !versionWaits_.empty()) && versionWaits_.empty()) {
    return std::nullopt;
  }
  registry::VersionDemand demand;
  for (const auto& [key, waiting] : versionWaits_) {
    const auto& [service, model, adapter, version] = key;
    demand.waits.push_back({service, model, adapter, version, waiting});
  }
  return demand;
}

void DemandTracker::attemptSettled(const registry::WorkerId& worker, const std::string& service,
                                   const std::string& model, const std::string& adapter,
                                   AttemptOutcome outcome) {
  registry::WorkerOutcomes& outcomes = outcomes_[worker];
  outcomes.worker = worker;
  switch (outcome) {
    case AttemptOutcome::answered:
      ++outcomes.answered;
      break;
    case AttemptOutcome::failed:
      ++outcomes.failed;
      break;
    case AttemptOutcome::stalled:
      ++outcomes.stalled;
      break;
  }
  if (!model.empty()) {
    Counters& counters = counters_[{service, model, adapter}];
    ++(outcome == AttemptOutcome::answered ? counters.answered : counters.failed);
  }
}

void DemandTracker::dropOutcomes() {
  outcomes_.clear();
  for (auto& [key, counters] : counters_) {
    counters.answered = 0;
    counters.failed = 0;
  }
}

registry::DemandUpdate DemandTracker::takeUpdate(const WorkerDirectory& directory) {
  registry::DemandUpdate update;
  for (auto& [key, counters] : counters_) {
    const auto& [service, model, adapter] = key;
    update.demands.push_back({service, model, adapter, counters.waiting, counters.arrivals,
                              counters.priority, counters.targetLatency, counters.answered,
                              counters.failed});
    counters.arrivals = 0;
    counters.answered = 0;
    counters.failed = 0;
  }
  std::erase_if(counters_, [](const auto& entry) { return entry.second.waiting == 0; });
  for (const auto& [id, worker] : directory.workers()) {
    for (const auto& [model, running] : worker->runningByModel) {
      update.loads.push_back({id, model, running});
    }
    if (worker->breaker.state() != routing::BreakerState::closed) {
      update.unreachable.push_back(id);
    }
  }
  for (auto& [id, outcomes] : std::exchange(outcomes_, {})) {
    update.outcomes.push_back(std::move(outcomes));
  }
  isUrgent_ = false;
  return update;
}

}  // namespace walnut::gateway
