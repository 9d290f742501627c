#include "gateway/demand_tracker.h"

#include <algorithm>
#include <utility>

namespace walnut::gateway {

void DemandTracker::Figures::note(const Urgency& urgency) {
  priority = std::min(priority, urgency.priority);
  targetLatency = std::min(targetLatency, urgency.targetLatency);
}

void DemandTracker::arrived(const std::string& service, const std::string& model,
                            const std::string& adapter, const Urgency& urgency) {
  Figures& figures = figures_[{service, model, adapter}];
  ++figures.arrivals;
  figures.note(urgency);
}

void DemandTracker::waitBegan(const std::string& service, const std::string& model,
                              const std::string& adapter, const Urgency& urgency) {
  Figures& figures = figures_[{service, model, adapter}];
  ++figures.waiting;
  figures.note(urgency);
  urgent_ = true;
}

void DemandTracker::waitEnded(const std::string& service, const std::string& model,
                              const std::string& adapter) {
  Figures& figures = figures_[{service, model, adapter}];
  if (figures.waiting > 0) {
    --figures.waiting;
  }
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
    Figures& figures = figures_[{service, model, adapter}];
    ++(outcome == AttemptOutcome::answered ? figures.answered : figures.failed);
  }
}

void DemandTracker::dropOutcomes() {
  outcomes_.clear();
  for (auto& [key, figures] : figures_) {
    figures.answered = 0;
    figures.failed = 0;
  }
}

registry::DemandUpdate DemandTracker::takeUpdate(const WorkerDirectory& directory) {
  registry::DemandUpdate update;
  for (auto& [key, figures] : figures_) {
    const auto& [service, model, adapter] = key;
    update.demands.push_back({service, model, adapter, figures.waiting, figures.arrivals,
                              figures.priority, figures.targetLatency, figures.answered,
                              figures.failed});
    figures.arrivals = 0;
    figures.answered = 0;
    figures.failed = 0;
  }
  std::erase_if(figures_, [](const auto& entry) { return entry.second.waiting == 0; });
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
  urgent_ = false;
  return update;
}

}  // namespace walnut::gateway
