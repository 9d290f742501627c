#include "gateway/worker_directory.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace walnut::gateway {

namespace {

constexpr double kSampleWeight = 0.2;
constexpr double kDecaySeconds = 4.0;
/// Minimum number of requests at a worker whose queue is full, as a multiple of its slots: in all
/// known deployments the queue has at least as many places as there are slots.
constexpr std::uint32_t kFullQueueFactor = 2;

}  // namespace

void FailureRatio::observe(bool failed, base::TimePoint now) {
  ratio_ = value(now) * (1 - kSampleWeight) + (failed ? kSampleWeight : 0);
  updatedAt_ = now;
}

double FailureRatio::value(base::TimePoint now) const {
  const double age = std::chrono::duration<double>(now - updatedAt_).count();
  return ratio_ * std::exp(-age / kDecaySeconds);
}

bool Worker::holds(const std::string& model, const std::string& adapter,
                   base::TimePoint now) const {
  if (model.empty()) {
    return true;
  }
  const auto missing = missingUntil_.find({model, adapter});
  if (missing != missingUntil_.end() && now < missing->second) {
    return false;
  }
  for (const registry::HeldModel& held : view.models) {
    if (held.name == model) {
      return adapter.empty() ||
             std::find(held.adapters.begin(), held.adapters.end(), adapter) != held.adapters.end();
    }
  }
  return false;
}

void Worker::requestBegan(const std::string& model) {
  ++running;
  ++runningByModel[model];
}

void Worker::requestEnded(const std::string& model) {
  --running;
  const auto found = runningByModel.find(model);
  if (found != runningByModel.end() && --found->second == 0) {
    runningByModel.erase(found);
  }
}

void Worker::markFull() {
  const std::uint32_t minimum = kFullQueueFactor * view.record.slots;
  runningElsewhere = std::max(runningElsewhere, minimum > running ? minimum - running : 0);
}

void Worker::markMissing(const std::string& model, const std::string& adapter,
                         base::TimePoint until) {
  missingUntil_[{model, adapter}] = until;
}

void WorkerDirectory::apply(const registry::ViewUpdate& update) {
  std::set<registry::WorkerId> listed;
  for (const registry::WorkerView& view : update.changed) {
    applyView(view);
    listed.insert(view.record.id);
  }
  for (const registry::WorkerId& id : update.removed) {
    remove(id);
  }
  if (update.complete) {
    std::vector<registry::WorkerId> unlisted;
    for (const auto& [id, worker] : workers_) {
      if (listed.count(id) == 0) {
        unlisted.push_back(id);
      }
    }
    for (const registry::WorkerId& id : unlisted) {
      remove(id);
    }
  }
  applyLoads(update);
}

void WorkerDirectory::applyLoads(const registry::ViewUpdate& update) {
  if (update.complete) {
    for (const auto& [id, worker] : workers_) {
      worker->runningAtAllGateways = 0;
    }
  }
  for (const registry::WorkerLoad& load : update.loads) {
    const auto found = workers_.find(load.worker);
    if (found != workers_.end()) {
      found->second->runningAtAllGateways = load.running;
    }
  }
  for (const auto& [id, worker] : workers_) {
    const std::uint32_t all = worker->runningAtAllGateways;
    worker->runningElsewhere = all > worker->running ? all - worker->running : 0;
  }
}

void WorkerDirectory::applyView(const registry::WorkerView& view) {
  const auto found = workers_.find(view.record.id);
  if (found == workers_.end()) {
    workers_.emplace(view.record.id, std::make_shared<Worker>(view));
    return;
  }
  registry::WorkerView& held = found->second->view;
  if (view.holdingsKnown) {
    held = view;
    return;
  }
  held.record = view.record;
  held.silent = view.silent;
  held.failing = view.failing;
}

void WorkerDirectory::remove(const registry::WorkerId& id) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) {
    return;
  }
  found->second->view.record.leaving = true;
  removed_.push_back(id);
  workers_.erase(found);
}

std::vector<WorkerDirectory::WorkerPtr> WorkerDirectory::candidates(
    const std::string& service) const {
  std::vector<WorkerPtr> found;
  for (const auto& [id, worker] : workers_) {
    if (worker->view.record.service == service && !worker->view.record.leaving) {
      found.push_back(worker);
    }
  }
  return found;
}

}  // namespace walnut::gateway
