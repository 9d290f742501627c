#include "registry/heartbeat_relay.h"

#include <algorithm>
#include <utility>

namespace walnut::registry {

bool HeartbeatRelay::take(const Heartbeat& heartbeat, const CellState& state) {
  removeForgotten(state);
  const WorkerRecord* held = state.findWorker(heartbeat.worker.id);
  if (held == nullptr || !(heartbeat.worker.storedOver(*held) == *held)) {
    return false;
  }
  Worker& worker = workers_[held->id];
  const std::uint64_t hash = hashOf(heartbeat);
  if (heartbeat.sequence < worker.latest.sequence) {
    return true;  // An earlier heartbeat that arrives late has no new information.
  }
  const bool same = worker.sentInFull && worker.hash == hash;
  worker.latest = heartbeat;
  worker.hash = hash;
  if (same) {
    contacts_.insert(held->id);
  } else {
    worker.sentInFull = false;
    contacts_.erase(held->id);
    changed_.insert(held->id);
  }
  return true;
}

/// Drops the workers that were forgotten: they never return under the same id.
void HeartbeatRelay::removeForgotten(const CellState& state) {
  const auto modified = state.changedSince(workerChanges_);
  workerChanges_ = state.workerChanges();
  const auto forget = [this](const WorkerId& id) {
    workers_.erase(id);
    changed_.erase(id);
    contacts_.erase(id);
  };
  if (modified) {
    for (const WorkerId& id : *modified) {
      if (state.findWorker(id) == nullptr) {
        forget(id);
      }
    }
    return;
  }
  std::vector<WorkerId> ended;
  for (const auto& [id, worker] : workers_) {
    if (state.findWorker(id) == nullptr) {
      ended.push_back(id);
    }
  }
  std::for_each(ended.begin(), ended.end(), forget);
}

void HeartbeatRelay::leaderChanged() {
  contacts_.clear();
  changed_.clear();
  // Workers that no longer send heartbeats here are reported by another server.
  workers_.clear();
}

void HeartbeatRelay::requestFull(const HeartbeatRequest& request) {
  for (const WorkerId& id : request.workers) {
    const auto found = workers_.find(id);
    if (found != workers_.end()) {
      found->second.sentInFull = false;
      contacts_.erase(id);
      changed_.insert(id);
    }
  }
}

std::optional<HeartbeatBatch> HeartbeatRelay::takeBatch(base::TimePoint now) {
  if (now < nextBatch()) {
    return std::nullopt;
  }
  lastBatchAt_ = now;
  HeartbeatBatch batch;
  while (!changed_.empty() && batch.changed.size() < kMaxFullHeartbeats) {
    Worker& worker = workers_.at(*changed_.begin());
    worker.sentInFull = true;
    batch.changed.push_back(worker.latest);
    changed_.erase(changed_.begin());
  }
  for (const WorkerId& id : std::exchange(contacts_, {})) {
    const Worker& worker = workers_.at(id);
    batch.contacts.push_back({id, worker.latest.sequence, worker.hash});
  }
  return batch;
}

base::TimePoint HeartbeatRelay::nextBatch() const {
  if (!changed_.empty()) {
    return lastBatchAt_ + kChangeSpacing;
  }
  return contacts_.empty() ? base::kNever : lastBatchAt_ + kBatchInterval;
}

}  // namespace walnut::registry
