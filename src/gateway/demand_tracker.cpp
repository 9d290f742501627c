#include "gateway/demand_tracker.h"

namespace walnut::gateway {

void DemandTracker::arrived(const std::string& service, const std::string& model,
                            const std::string& adapter) {
  ++figures_[{service, model, adapter}].arrivals;
}

void DemandTracker::waitBegan(const std::string& service, const std::string& model,
                              const std::string& adapter) {
  ++figures_[{service, model, adapter}].waiting;
  urgent_ = true;
}

void DemandTracker::waitEnded(const std::string& service, const std::string& model,
                              const std::string& adapter) {
  Figures& figures = figures_[{service, model, adapter}];
  if (figures.waiting > 0) {
    --figures.waiting;
  }
}

registry::DemandUpdate DemandTracker::takeUpdate(const WorkerDirectory& directory) {
  registry::DemandUpdate update;
  for (auto& [key, figures] : figures_) {
    const auto& [service, model, adapter] = key;
    update.demands.push_back({service, model, adapter, figures.waiting, figures.arrivals});
    figures.arrivals = 0;
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
  urgent_ = false;
  return update;
}

}  // namespace walnut::gateway
