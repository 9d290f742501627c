#include "registry/view_publisher.h"

#include <algorithm>

namespace walnut::registry {

void ViewPublisher::subscribe(protocol::ConnectionId gateway, std::uint64_t documentVersion) {
  Gateway& added = gateways_[gateway];
  added = {};
  added.documentVersion = documentVersion;
}

std::vector<protocol::ConnectionId> ViewPublisher::gateways() const {
  std::vector<protocol::ConnectionId> all;
  for (const auto& [connection, gateway] : gateways_) {
    all.push_back(connection);
  }
  return all;
}

void ViewPublisher::setWorker(const WorkerView& view) {
  const auto [found, added] = workers_.try_emplace(view.record.id);
  Worker& worker = found->second;
  if (added || worker.removed || !(worker.view == view)) {
    worker.revision = ++revision_;
  }
  worker.view = view;
  worker.removed = false;
}

void ViewPublisher::removeWorker(const WorkerId& id) {
  const auto found = workers_.find(id);
  if (found != workers_.end() && !found->second.removed) {
    found->second.removed = true;
    found->second.revision = ++revision_;
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
  return !gateway.complete || gateway.revision < revision_ ||
         gateway.documentVersion < documentVersion || gateway.gateways != gateways_.size() ||
         now >= gateway.lastSent + interval_;
}

bool ViewPublisher::due(base::TimePoint now, std::uint64_t documentVersion) const {
  return std::any_of(gateways_.begin(), gateways_.end(),
                     [&](const auto& entry) { return isDue(entry.second, now, documentVersion); });
}

std::vector<ViewPublisher::Update> ViewPublisher::takeUpdates(
    base::TimePoint now, consensus::Term term, const catalog::Document* document,
    const std::vector<WorkerLoad>& loads, const std::vector<base::Endpoint>& servers) {
  std::vector<Update> updates;
  const std::uint64_t version = document == nullptr ? 0 : document->version;
  const auto count = static_cast<std::uint32_t>(gateways_.size());
  for (auto& [connection, gateway] : gateways_) {
    if (!isDue(gateway, now, version)) {
      continue;
    }
    ViewUpdate update = makeUpdate(gateway, document);
    update.term = term;
    update.gateways = count;
    update.loads = loads;
    update.servers = servers;
    gateway.complete = true;
    gateway.revision = revision_;
    gateway.documentVersion = std::max(gateway.documentVersion, version);
    gateway.gateways = count;
    gateway.lastSent = now;
    updates.push_back({connection, std::move(update)});
  }
  dropRemoved();
  return updates;
}

ViewUpdate ViewPublisher::makeUpdate(const Gateway& gateway,
                                     const catalog::Document* document) const {
  ViewUpdate update;
  update.complete = !gateway.complete;
  if (document != nullptr) {
    update.documentVersion = document->version;
    if (document->version > gateway.documentVersion) {
      update.document = *document;
    }
  }
  for (const auto& [id, worker] : workers_) {
    if (worker.removed) {
      if (gateway.complete && worker.revision > gateway.revision) {
        update.removed.push_back(id);
      }
    } else if (!gateway.complete || worker.revision > gateway.revision) {
      update.changed.push_back(worker.view);
    }
  }
  return update;
}

void ViewPublisher::dropRemoved() {
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
  for (const auto& [connection, gateway] : gateways_) {
    next = std::min(next, gateway.complete ? gateway.lastSent + interval_ : base::TimePoint());
  }
  return next;
}

}  // namespace walnut::registry
