#include "registry/view_interest.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <limits>

namespace walnut::registry {

void ViewInterest::addGateway(GatewayId id, const base::ZoneId& zone) {
  removeGateway(id);
  Gateway& gateway = gateways_[id];
  gateway.zone = zone;
  for (const ModelKey& key : plain_) {
    requireWorkers(id, gateway, key, kPlainWorkers, {});
  }
}

void ViewInterest::removeGateway(GatewayId id) {
  const auto found = gateways_.find(id);
  if (found == gateways_.end()) {
    return;
  }
  for (const WorkerId& worker : found->second.follows) {
    workers_.at(worker).followers.erase(id);
  }
  for (const auto& [key, need] : found->second.needs) {
    unmet_[key].erase(id);
  }
  gateways_.erase(found);
}

void ViewInterest::markFollowed(GatewayId id, const WorkerId& worker) {
  const auto found = workers_.find(worker);
  if (found != workers_.end()) {
    found->second.followers.insert(id);
    gateways_.at(id).follows.insert(worker);
  }
}

std::set<ModelKey> ViewInterest::servedBy(const WorkerView& view, bool plain) {
  std::set<ModelKey> keys;
  if (view.record.leaving || view.silent || view.failing) {
    return keys;
  }
  if (plain) {
    keys.insert({view.record.service, {}, {}});
  }
  for (const HeldModel& model : view.models) {
    keys.insert({view.record.service, model.name, {}});
    for (const std::string& adapter : model.adapters) {
      keys.insert({view.record.service, model.name, adapter});
    }
  }
  return keys;
}

void ViewInterest::setWorker(const WorkerView& view, bool plain) {
  const WorkerId& id = view.record.id;
  const auto [found, added] = workers_.try_emplace(id);
  Worker& worker = found->second;
  if (added) {
    worker.hash = XXH3_64bits(id.value.data(), id.value.size());
  }
  worker.slots = view.record.slots;
  std::set<ModelKey> serves = servedBy(view, plain);
  const bool moved = !added && worker.zone != view.record.zone;
  const std::set<ModelKey> previous = std::exchange(worker.serves, {});
  for (const ModelKey& key : previous) {
    if (moved || serves.count(key) == 0) {
      stoppedServing(id, worker, key);
    }
  }
  worker.zone = view.record.zone;
  worker.serves = std::move(serves);
  for (const ModelKey& key : worker.serves) {
    if (moved || previous.count(key) == 0) {
      startedServing(id, worker, key);
    }
  }
}

void ViewInterest::removeWorker(const WorkerId& id) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) {
    return;
  }
  const Worker removed = std::move(found->second);
  workers_.erase(found);
  for (const GatewayId gateway : removed.followers) {
    gateways_.at(gateway).follows.erase(id);
    changes_.push_back({gateway, id, false});
  }
  for (const ModelKey& key : removed.serves) {
    stoppedServing(id, removed, key);
  }
}

void ViewInterest::setRunning(const WorkerId& id, std::uint32_t running) {
  const auto found = workers_.find(id);
  if (found != workers_.end()) {
    found->second.running = running;
  }
}

/// Lets gateways that follow too few workers for the key follow the one that now serves it.
void ViewInterest::startedServing(const WorkerId& id, const Worker& worker, const ModelKey& key) {
  serving_[key][worker.zone].emplace(worker.hash, id);
  if (key.model.empty() && plain_.insert(key).second) {
    for (auto& [gatewayId, gateway] : gateways_) {
      requireWorkers(gatewayId, gateway, key, kPlainWorkers, {});
    }
    return;
  }
  const auto unmet = unmet_.find(key);
  if (unmet == unmet_.end()) {
    return;
  }
  const std::set<GatewayId> all = unmet->second;
  for (const GatewayId gateway : all) {
    followEnough(gateway, gateways_.at(gateway), key);
  }
}

void ViewInterest::stoppedServing(const WorkerId& id, const Worker& worker, const ModelKey& key) {
  serving_.at(key).at(worker.zone).erase({worker.hash, id});
  const std::set<GatewayId> followers = worker.followers;
  for (const GatewayId gatewayId : followers) {
    Gateway& gateway = gateways_.at(gatewayId);
    if (gateway.needs.count(key) != 0) {
      followEnough(gatewayId, gateway, key);
    }
  }
}

void ViewInterest::recordRequest(GatewayId id, const ModelKey& key, bool waiting,
                                 base::TimePoint now) {
  const auto found = gateways_.find(id);
  if (found == gateways_.end()) {
    return;
  }
  Gateway& gateway = found->second;
  const auto known = gateway.needs.find(key);
  std::size_t workers = kModelWorkers;
  if (known != gateway.needs.end()) {
    const bool more =
        known->second.workers < servingCount(key) && (waiting || isBusy(gateway, key));
    workers = known->second.workers * (more ? 2 : 1);
  }
  requireWorkers(id, gateway, key, workers, now);
  if (gateway.follows.size() > kMaxFollowed) {
    dropUnneeded(id, gateway, now);
  }
}

void ViewInterest::requireWorkers(GatewayId id, Gateway& gateway, const ModelKey& key,
                                  std::size_t workers, base::TimePoint now) {
  Need& need = gateway.needs[key];
  need.requestedAt = now;
  if (need.workers < workers) {
    need.workers = workers;
    followEnough(id, gateway, key);
  }
}

std::size_t ViewInterest::servingCount(const ModelKey& key) const {
  const auto rings = serving_.find(key);
  std::size_t count = 0;
  if (rings != serving_.end()) {
    for (const auto& [zone, ring] : rings->second) {
      count += ring.size();
    }
  }
  return count;
}

std::vector<WorkerId> ViewInterest::followedFor(const Gateway& gateway, const ModelKey& key) const {
  std::vector<WorkerId> serving;
  std::copy_if(gateway.follows.begin(), gateway.follows.end(), std::back_inserter(serving),
               [this, &key](const WorkerId& id) { return workers_.at(id).serves.count(key) != 0; });
  return serving;
}

bool ViewInterest::isBusy(const Gateway& gateway, const ModelKey& key) const {
  double slots = 0;
  double running = 0;
  for (const WorkerId& id : followedFor(gateway, key)) {
    const Worker& worker = workers_.at(id);
    slots += worker.slots;
    running += worker.running;
  }
  return running > kBusyShare * slots;
}

/// Makes the gateway follow as many workers for the key as it needs, if there are enough.
void ViewInterest::followEnough(GatewayId id, Gateway& gateway, const ModelKey& key) {
  const std::size_t needed = gateway.needs.at(key).workers;
  const std::size_t followed = followedFor(gateway, key).size();
  if (followed < needed) {
    followMore(id, gateway, key, needed - followed);
  }
  if (followedFor(gateway, key).size() < needed) {
    unmet_[key].insert(id);
  } else {
    unmet_[key].erase(id);
  }
}

void ViewInterest::followMore(GatewayId id, Gateway& gateway, const ModelKey& key,
                              std::size_t most) {
  const auto rings = serving_.find(key);
  if (rings == serving_.end()) {
    return;
  }
  for (const WorkerId& worker : unfollowed(id, gateway, rings->second, most)) {
    follow(id, gateway, worker);
  }
}

/// @return workers to follow next: first those of the gateway's zone, then those of the following
/// zones in cyclic order; in each zone from the start of the gateway's group.
std::vector<WorkerId> ViewInterest::unfollowed(GatewayId id, const Gateway& gateway,
                                               const Rings& rings, std::size_t most) const {
  constexpr std::uint64_t kSpan = std::numeric_limits<std::uint64_t>::max() / kGroups;
  const std::pair<std::uint64_t, WorkerId> first(id.value % kGroups * kSpan, {});
  std::vector<WorkerId> chosen;
  const auto choose = [&](auto from, auto to) {
    for (; from != to && chosen.size() < most; ++from) {
      if (gateway.follows.count(from->second) == 0) {
        chosen.push_back(from->second);
      }
    }
  };
  auto zone = rings.lower_bound(gateway.zone);
  for (std::size_t visited = 0; visited < rings.size() && chosen.size() < most; ++visited) {
    zone = zone == rings.end() ? rings.begin() : zone;
    const Ring& ring = zone->second;
    const auto begin = ring.lower_bound(first);
    choose(begin, ring.end());
    choose(ring.begin(), begin);
    ++zone;
  }
  return chosen;
}

void ViewInterest::follow(GatewayId id, Gateway& gateway, const WorkerId& workerId) {
  gateway.follows.insert(workerId);
  workers_.at(workerId).followers.insert(id);
  changes_.push_back({id, workerId, true});
}

void ViewInterest::dropUnneeded(GatewayId id, Gateway& gateway, base::TimePoint now) {
  std::set<WorkerId> useful;
  for (auto next = gateway.needs.begin(); next != gateway.needs.end();) {
    const auto& [key, need] = *next;
    if (!key.model.empty() && now >= need.requestedAt + kInterestPeriod) {
      unmet_[key].erase(id);
      next = gateway.needs.erase(next);
      continue;
    }
    for (const WorkerId& worker : followedFor(gateway, key)) {
      useful.insert(worker);
    }
    ++next;
  }
  const std::set<WorkerId> previous = std::exchange(gateway.follows, useful);
  for (const WorkerId& worker : previous) {
    if (useful.count(worker) == 0) {
      workers_.at(worker).followers.erase(id);
      changes_.push_back({id, worker, false});
    }
  }
}

const std::set<ViewInterest::GatewayId>& ViewInterest::followersOf(const WorkerId& worker) const {
  static const std::set<GatewayId> kNone;
  const auto found = workers_.find(worker);
  return found == workers_.end() ? kNone : found->second.followers;
}

const std::set<WorkerId>& ViewInterest::followedBy(GatewayId gateway) const {
  static const std::set<WorkerId> kNone;
  const auto found = gateways_.find(gateway);
  return found == gateways_.end() ? kNone : found->second.follows;
}

}  // namespace walnut::registry
