#include "registry/view_publisher.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "walnut/registry/feature_level.h"

namespace walnut::registry {

namespace {

/// Least time between two updates of loads to a gateway, fixed and per worker. Loads change all the
/// time; without it their traffic would grow with the square of the size of a deployment.
constexpr base::Duration kLoadSpacing = std::chrono::milliseconds(20);
constexpr base::Duration kLoadSpacingPerWorker = std::chrono::milliseconds(2);

/// Growth of the number of gateways that is published at once; smaller growth is covered by the
/// share of the budget that gateways keep (gateway.cpp).
constexpr double kUrgentGrowth = 1.3;

}  // namespace

std::vector<protocol::ConnectionId> ViewPublisher::gateways() const {
  std::vector<protocol::ConnectionId> all;
  for (const auto& [connection, gateway] : gateways_) {
    all.push_back(connection);
  }
  return all;
}

ViewPublisher::ViewPublisher(base::Duration interval)
    : interval_(interval), completeUpdates_(kMaxCompleteUpdates, kCompleteSpacing) {}

void ViewPublisher::subscribe(protocol::ConnectionId id, const base::ZoneId& zone,
                              std::uint32_t featureLevel) {
  unsubscribe(id);
  gateways_[id].zone = zone;
  gateways_[id].cursor.acceptsLimits = featureLevel >= feature::kWorkerLimits;
  gateways_[id].cursor.acceptsVersions = featureLevel >= feature::kSoftwareVersions;
  if (interest_) {
    incomplete_.insert(id);
    interest_->addGateway(id, zone);
    takeInterestChanges();
  }
  switchToPartialViews();
}

void ViewPublisher::unsubscribe(protocol::ConnectionId id) {
  const auto found = gateways_.find(id);
  if (found == gateways_.end()) {
    return;
  }
  dueAt_.erase({found->second.dueAt, id});
  incomplete_.erase(id);
  withChanges_.erase(id);
  gateways_.erase(found);
  if (interest_) {
    interest_->removeGateway(id);
  }
}

WorkerView ViewPublisher::Worker::viewFor(protocol::ConnectionId gateway) const {
  WorkerView visible = view;
  visible.record.leaving =
      visible.record.leaving || (allowedGateways && allowedGateways->count(gateway) == 0);
  return visible;
}

/// Chooses gateways by a hash of the worker's id, so that different workers get different ones.
std::set<protocol::ConnectionId> ViewPublisher::chooseGateways(const WorkerId& worker,
                                                               std::size_t most) const {
  std::set<protocol::ConnectionId> chosen;
  if (interest_ || gateways_.empty()) {
    return chosen;
  }
  const std::uint64_t hash = XXH3_64bits(worker.value.data(), worker.value.size());
  auto next = std::next(gateways_.begin(), static_cast<std::ptrdiff_t>(hash % gateways_.size()));
  for (std::size_t count = 0; count < std::min(most, gateways_.size()); ++count) {
    chosen.insert(next->first);
    ++next;
    next = next == gateways_.end() ? gateways_.begin() : next;
  }
  return chosen;
}

void ViewPublisher::setWorker(const WorkerView& view, bool plain,
                              std::optional<std::size_t> maxGateways) {
  const auto [found, added] = workers_.try_emplace(view.record.id);
  Worker& worker = found->second;
  const bool limited = worker.allowedGateways.has_value();
  const bool changed = added || worker.removed || !(worker.view == view) || worker.plain != plain ||
                       limited != maxGateways.has_value();
  if (!changed) {
    return;
  }
  worker.revision = ++revision_;
  worker.view = view;
  worker.plain = plain;
  worker.removed = false;
  if (!maxGateways) {
    worker.allowedGateways.reset();
  } else if (!limited) {
    worker.allowedGateways = chooseGateways(view.record.id, *maxGateways);
  }
  if (interest_) {
    noteWorkerChanged(view.record.id);
    interest_->setWorker(worker.viewFor({}), plain);
    takeInterestChanges();
  }
  switchToPartialViews();
}

void ViewPublisher::removeWorker(const WorkerId& id) {
  const auto found = workers_.find(id);
  if (found == workers_.end() || found->second.removed) {
    return;
  }
  found->second.removed = true;
  found->second.revision = ++revision_;
  if (interest_) {
    interest_->removeWorker(id);
    takeInterestChanges();
    workers_.erase(found);
  }
}

std::vector<WorkerId> ViewPublisher::workers() const {
  std::vector<WorkerId> present;
  for (const auto& [id, worker] : workers_) {
    if (!worker.removed) {
      present.push_back(id);
    }
  }
  return present;
}

bool ViewPublisher::isDue(const Gateway& gateway, base::TimePoint now,
                          std::uint64_t documentVersion) const {
  if (!gateway.complete) {
    return now >= completeUpdates_.next();
  }
  return gateway.mark != 0 || gateway.revision < revision_ ||
         gateway.documentVersion < documentVersion || gatewayCountGrew(gateway) ||
         now >= gateway.lastSent + interval_;
}

void ViewPublisher::setMark(protocol::ConnectionId id, std::uint64_t mark, base::TimePoint now) {
  const auto found = gateways_.find(id);
  if (found == gateways_.end()) {
    return;
  }
  found->second.mark = mark;
  if (interest_ && found->second.complete) {
    scheduleAt(id, found->second, now);
  }
}

/// A gateway that does not know of many others uses too large a part of the shared budget. But not
/// each new gateway is published at once, as that would take gateways squared updates.
bool ViewPublisher::gatewayCountGrew(const Gateway& gateway) const {
  return static_cast<double>(gateways_.size()) > kUrgentGrowth * gateway.gateways;
}

bool ViewPublisher::due(base::TimePoint now, std::uint64_t documentVersion) const {
  if (interest_) {
    return followedDue(now, documentVersion);
  }
  return std::any_of(gateways_.begin(), gateways_.end(),
                     [&](const auto& entry) { return isDue(entry.second, now, documentVersion); });
}

std::vector<ViewPublisher::Update> ViewPublisher::takeUpdates(
    base::TimePoint now, consensus::Term term, std::uint64_t documentVersion,
    const std::vector<WorkerLoad>& loads, const std::vector<base::Endpoint>& servers) {
  std::vector<Update> updates;
  setLoads(loads);
  const auto count = static_cast<std::uint32_t>(gateways_.size());
  for (const protocol::ConnectionId connection : dueGateways(now, documentVersion)) {
    Gateway& gateway = gateways_.at(connection);
    if (!gateway.complete && !completeUpdates_.take(now)) {
      continue;
    }
    ViewUpdate update =
        interest_ ? makeFollowedUpdate(connection, gateway) : makeUpdate(connection, gateway);
    update.term = term;
    update.documentVersion = documentVersion;
    update.gateways = count;
    if (!interest_) {
      addLoads(gateway, now, update);
    }
    if (gateway.servers != servers) {
      update.servers = servers;
      gateway.servers = servers;
    }
    update.mark = std::exchange(gateway.mark, 0);
    gateway.complete = true;
    gateway.revision = revision_;
    gateway.documentVersion = documentVersion;
    gateway.gateways = count;
    gateway.lastSent = now;
    if (interest_) {
      scheduleAt(connection, gateway, now + interval_);
    }
    updates.push_back({connection, std::move(update), gateway.cursor});
  }
  dropRemoved();
  return updates;
}

void ViewPublisher::setLoads(const std::vector<WorkerLoad>& loads) {
  std::map<WorkerId, std::uint32_t> present;
  for (const WorkerLoad& load : loads) {
    present[load.worker] = load.running;
    loads_.try_emplace(load.worker);
  }
  for (auto& [id, load] : loads_) {
    const auto found = present.find(id);
    const std::uint32_t running = found == present.end() ? 0 : found->second;
    if (running != load.running || load.revision == 0) {
      load = {running, ++loadRevision_};
      noteLoadChanged(id, running);
    }
  }
  std::erase_if(loads_, [this](const auto& entry) {
    return entry.second.running == 0 && (interest_ || workers_.count(entry.first) == 0);
  });
}

base::Duration ViewPublisher::loadSpacing() const {
  return std::min<base::Duration>(interval_,
                                  kLoadSpacing + kLoadSpacingPerWorker * workers_.size());
}

void ViewPublisher::addLoads(Gateway& gateway, base::TimePoint now, ViewUpdate& update) const {
  if (!update.complete && now < gateway.loadsSentAt + loadSpacing()) {
    return;
  }
  for (const auto& [id, load] : loads_) {
    const bool isIncluded =
        update.complete ? load.running > 0 : load.revision > gateway.loadRevision;
    if (isIncluded) {
      update.loads.push_back({id, {}, load.running});
    }
  }
  gateway.loadRevision = loadRevision_;
  gateway.loadsSentAt = now;
}

ViewUpdate ViewPublisher::makeUpdate(protocol::ConnectionId id, const Gateway& gateway) const {
  ViewUpdate update;
  update.complete = !gateway.complete;
  for (const auto& [workerId, worker] : workers_) {
    if (worker.removed) {
      if (gateway.complete && worker.revision > gateway.revision) {
        update.removed.push_back(workerId);
      }
    } else if (!gateway.complete || worker.revision > gateway.revision) {
      update.changed.push_back(worker.viewFor(id));
    }
  }
  return update;
}

void ViewPublisher::dropRemoved() {
  if (interest_) {
    return;
  }
  std::uint64_t oldest = revision_;
  for (const auto& [connection, gateway] : gateways_) {
    oldest = std::min(oldest, gateway.complete ? gateway.revision : revision_);
  }
  std::erase_if(workers_, [oldest](const auto& entry) {
    return entry.second.removed && entry.second.revision <= oldest;
  });
}

base::TimePoint ViewPublisher::nextUpdate() const {
  base::TimePoint next = base::kNever;
  if (interest_) {
    next = dueAt_.empty() ? next : dueAt_.begin()->first;
    return incomplete_.empty() ? next : std::min(next, completeUpdates_.next());
  }
  for (const auto& [connection, gateway] : gateways_) {
    next =
        std::min(next, gateway.complete ? gateway.lastSent + interval_ : completeUpdates_.next());
  }
  return next;
}

}  // namespace walnut::registry
