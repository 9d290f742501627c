#include "gateway/worker_directory.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace walnut::gateway {

namespace {

constexpr double kSampleWeight = 0.2;
constexpr double kFadeSeconds = 4.0;
/// Minimum number of requests at a worker whose queue is full, as a multiple of its slots: in all
/// known deployments the queue has at least as many places as there are slots.
constexpr std::uint32_t kFullQueueFactor = 2;

}  // namespace

void FailureShare::observe(bool failed, base::TimePoint now) {
  share_ = value(now) * (1 - kSampleWeight) + (failed ? kSampleWeight : 0);
  updatedAt_ = now;
}

double FailureShare::value(base::TimePoint now) const {
  const double age = std::chrono::duration<double>(now - updatedAt_).count();
  return share_ * std::exp(-age / kFadeSeconds);
}

bool Worker::holds(const std::string& model, const std::string& adapter,
                   base::TimePoint now) const {
  if (model.empty()) {
    return true;
  }
  const auto missed = missedUntil_.find({model, adapter});
  if (missed != missedUntil_.end() && now < missed->second) {
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

void Worker::began(const std::string& model) {
  ++running;
  ++runningByModel[model];
}

void Worker::ended(const std::string& model) {
  --running;
  const auto found = runningByModel.find(model);
  if (found != runningByModel.end() && --found->second == 0) {
    runningByModel.erase(found);
  }
}

void Worker::saidFull() {
  const std::uint32_t least = kFullQueueFactor * view.record.slots;
  runningElsewhere = std::max(runningElsewhere, least > running ? least - running : 0);
}

void Worker::missed(const std::string& model, const std::string& adapter, base::TimePoint until) {
  missedUntil_[{model, adapter}] = until;
}

void WorkerDirectory::apply(const registry::ViewUpdate& update) {
  std::set<registry::WorkerId> named;
  for (const registry::WorkerView& view : update.changed) {
    takeView(view);
    named.insert(view.record.id);
  }
  for (const registry::WorkerId& id : update.removed) {
    remove(id);
  }
  if (update.complete) {
    std::vector<registry::WorkerId> unnamed;
    for (const auto& [id, worker] : workers_) {
      if (named.count(id) == 0) {
        unnamed.push_back(id);
      }
    }
    for (const registry::WorkerId& id : unnamed) {
      remove(id);
    }
  }
  takeLoads(update);
}

void WorkerDirectory::takeLoads(const registry::ViewUpdate& update) {
  if (update.complete) {
    for (const auto& [id, worker] : workers_) {
      worker->runningInAll = 0;
    }
  }
  for (const registry::WorkerLoad& load : update.loads) {
    const auto found = workers_.find(load.worker);
    if (found != workers_.end()) {
      found->second->runningInAll = load.running;
    }
  }
  for (const auto& [id, worker] : workers_) {
    const std::uint32_t all = worker->runningInAll;
    worker->runningElsewhere = all > worker->running ? all - worker->running : 0;
  }
}

void WorkerDirectory::takeView(const registry::WorkerView& view) {
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
  gone_.push_back(id);
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
