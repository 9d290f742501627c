/// @file
/// The part of ViewPublisher for large fleets, in which a gateway follows only some workers. Its
/// work grows with the number of changes and their followers.

#include <algorithm>
#include <utility>

#include "registry/view_publisher.h"

namespace walnut::registry {

namespace {

/// Most updates per event loop iteration: some ms of a small core.
constexpr std::size_t kMaxUpdatesPerIteration = 64;

}  // namespace

/// Switches to partial views once the fleet is large. Gateways were sent all workers so far, and go
/// on following them.
void ViewPublisher::switchToPartialViews() {
  if (interest_ || gateways_.size() * workers_.size() <= kMaxPairs) {
    return;
  }
  interest_.emplace();
  for (const auto& [id, worker] : workers_) {
    if (!worker.removed) {
      interest_->setWorker(worker.viewFor({}), worker.plain);
    }
  }
  for (auto& [id, gateway] : gateways_) {
    interest_->addGateway(id, gateway.zone);
    if (!gateway.complete) {
      incomplete_.insert(id);
      continue;
    }
    for (const auto& [workerId, worker] : workers_) {
      if (worker.removed) {
        gateway.removed.insert(workerId);
        continue;
      }
      interest_->markFollowed(id, workerId);
      gateway.loads.insert(workerId);
      if (worker.revision > gateway.revision) {
        gateway.changed.insert(workerId);
      }
    }
    dueAt_.emplace(gateway.dueAt, id);
  }
  std::erase_if(workers_, [](const auto& entry) { return entry.second.removed; });
  for (const auto& [id, load] : loads_) {
    interest_->setRunning(id, load.running);
  }
  takeInterestChanges();
}

void ViewPublisher::recordRequest(protocol::ConnectionId gateway, const ModelKey& key, bool waiting,
                                  base::TimePoint now) {
  if (interest_) {
    interest_->recordRequest(gateway, key, waiting, now);
    takeInterestChanges();
  }
}

void ViewPublisher::takeInterestChanges() {
  for (const ViewInterest::Change& change : interest_->takeChanges()) {
    Gateway& gateway = gateways_.at(change.gateway);
    if (!gateway.complete) {
      continue;  // Its complete view will have all workers that it follows.
    }
    if (change.follows) {
      gateway.changed.insert(change.worker);
      gateway.loads.insert(change.worker);
      gateway.removed.erase(change.worker);
    } else {
      gateway.changed.erase(change.worker);
      gateway.loads.erase(change.worker);
      gateway.removed.insert(change.worker);
    }
    withChanges_.insert(change.gateway);
  }
}

void ViewPublisher::noteWorkerChanged(const WorkerId& worker) {
  for (const protocol::ConnectionId id : interest_->followersOf(worker)) {
    Gateway& gateway = gateways_.at(id);
    if (gateway.complete) {
      gateway.changed.insert(worker);
      withChanges_.insert(id);
    }
  }
}

/// Loads change all the time, so they are sent only with the next update that is due anyway.
void ViewPublisher::noteLoadChanged(const WorkerId& worker, std::uint32_t running) {
  if (!interest_) {
    return;
  }
  interest_->setRunning(worker, running);
  for (const protocol::ConnectionId id : interest_->followersOf(worker)) {
    gateways_.at(id).loads.insert(worker);
  }
}

void ViewPublisher::scheduleAt(protocol::ConnectionId id, Gateway& gateway, base::TimePoint at) {
  dueAt_.erase({gateway.dueAt, id});
  gateway.dueAt = at;
  dueAt_.emplace(at, id);
  incomplete_.erase(id);
  withChanges_.erase(id);
}

/// Schedules an update for all gateways if the document version has changed.
void ViewPublisher::scheduleDocumentUpdate(std::uint64_t version) {
  if (!interest_ || std::exchange(publishedVersion_, version) == version) {
    return;
  }
  for (const auto& [id, gateway] : gateways_) {
    if (gateway.complete) {
      withChanges_.insert(id);
    }
  }
}

bool ViewPublisher::followedDue(base::TimePoint now, std::uint64_t documentVersion) const {
  const bool intervalOver = !dueAt_.empty() && dueAt_.begin()->first <= now;
  const bool completeDue = !incomplete_.empty() && now >= completeUpdates_.next();
  return intervalOver || completeDue || !withChanges_.empty() ||
         documentVersion != publishedVersion_;
}

/// @return gateways to be sent an update now: first those that wait for their first view, then
/// those whose interval is over, longest first, then those with changes.
std::vector<protocol::ConnectionId> ViewPublisher::dueGateways(base::TimePoint now,
                                                               std::uint64_t documentVersion) {
  std::vector<protocol::ConnectionId> due;
  if (!interest_) {
    for (const auto& [id, gateway] : gateways_) {
      if (isDue(gateway, now, documentVersion)) {
        due.push_back(id);
      }
    }
    return due;
  }
  scheduleDocumentUpdate(documentVersion);
  if (now >= completeUpdates_.next()) {
    due.assign(incomplete_.begin(), incomplete_.end());
    due.resize(std::min(due.size(), kMaxCompleteUpdates));
  }
  const std::size_t most = due.size() + kMaxUpdatesPerIteration;
  for (auto next = dueAt_.begin(); next != dueAt_.end() && next->first <= now && due.size() < most;
       ++next) {
    due.push_back(next->second);
  }
  for (auto next = withChanges_.begin(); next != withChanges_.end() && due.size() < most; ++next) {
    if (gateways_.at(*next).dueAt > now) {
      due.push_back(*next);
    }
  }
  return due;
}

ViewUpdate ViewPublisher::makeFollowedUpdate(protocol::ConnectionId id, Gateway& gateway) {
  ViewUpdate update;
  update.complete = !gateway.complete;
  if (update.complete) {
    gateway.changed = interest_->followedBy(id);
    gateway.loads = gateway.changed;
    gateway.removed.clear();
  }
  for (const WorkerId& worker : std::exchange(gateway.changed, {})) {
    update.changed.push_back(workers_.at(worker).viewFor(id));
  }
  for (const WorkerId& worker : std::exchange(gateway.removed, {})) {
    update.removed.push_back(worker);
  }
  for (const WorkerId& worker : std::exchange(gateway.loads, {})) {
    const auto load = loads_.find(worker);
    const std::uint32_t running = load == loads_.end() ? 0 : load->second.running;
    if (running > 0 || !update.complete) {
      update.loads.push_back({worker, {}, running});
    }
  }
  return update;
}

}  // namespace walnut::registry
