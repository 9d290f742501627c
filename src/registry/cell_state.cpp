#include "registry/cell_state.h"

#include <algorithm>
#include <utility>

#include "base/archive.h"

namespace walnut::registry {

namespace {

/// Least number of forgotten workers that are remembered. A heartbeat may be seconds late; within
/// that time fewer workers end than this number, or than there are workers.
constexpr std::size_t kMinForgotten = 1024;
/// Bound of `changes_`, which a leader reads after each batch of entries.
constexpr std::size_t kMaxChanges = 8192;
/// Most services whose version is kept; one that comes later has no answer. Services are declared
/// by the operator, and far fewer in a cell's life.
constexpr std::size_t kMaxVersionedServices = 65536;

/// Bound of `refusedParts_`; the leader refuses fewer.
constexpr std::size_t kMaxRefusedParts = 256;

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

std::string encodeCommand(const Command& command) { return base::encode(command); }

base::Result<Command> decodeCommand(std::string_view bytes) {
  return base::decode<Command>(bytes, "command");
}

void CellState::apply(const Command& command) {
  std::visit(Overloaded{
                 [this](const StoreDocument& body) {
                   if (body.version > documentVersion_) {
                     documentVersion_ = body.version;
                     documentText_ = body.text;
                   }
                 },
                 [this](const StoreWorker& body) { store(body.worker); },
                 [this](const ForgetWorker& body) { forget(body.worker); },
                 [this](const StoreOrderHolder& body) { orderHolder_ = body.server; },
                 [this](const StoreOrderedWorkers& body) {
                   for (const WorkerId& id : body.workers) {
                     if (workers_.count(id) != 0) {
                       lastOrderedBy_[id] = body.server;
                     }
                   }
                 },
                 [this](const StoreHoldings& body) {
                   if (workers_.count(body.worker) != 0) {
                     holdings_[body.worker] = body.models;
                   }
                 },
                 [this](const StoreCrash& body) {
                   requestCrashes_.add(body.worker, body.begun, body.queued);
                 },
                 [this](const RetractCrash& body) { requestCrashes_.retract(body.worker); },
                 [this](const ReleaseSuspects& body) {
                   for (const RequestDigest& request : body.requests) {
                     body.aged ? requestCrashes_.age(request)
                               : requestCrashes_.clearEvidence(request);
                   }
                 },
                 [this](const RaiseFeatureLevel& body) { raise(body.level); },
                 [this](const StoreZoneEvacuation& body) { store(body); },
                 [this](const RefusePart& body) {
                   if (refusedParts_.size() < kMaxRefusedParts) {
                     refusedParts_[body.part] = body.crashes;
                   }
                 },
                 [this](const ReleaseParts& body) {
                   for (const PromptPartDigest& part : body.parts) {
                     refusedParts_.erase(part);
                   }
                 },
             },
             command);
}

void CellState::store(const WorkerRecord& worker) {
  if (wasForgotten(worker.id)) {
    return;
  }
  std::set<WorkerId> replaced = workersAt(worker.endpoint);
  base::ServerId lastOrderedBy;
  const auto incarnations = idsByName_.find(worker.calledName());
  if (incarnations != idsByName_.end()) {
    for (const WorkerId& id : incarnations->second) {
      const WorkerRecord& other = workers_.at(id);
      if (other.succeeds(worker)) {
        return;
      }
      if (worker.succeeds(other)) {
        replaced.insert(id);
        lastOrderedBy = this->lastOrderedBy(id);
      }
    }
  }
  replaced.erase(worker.id);
  for (const WorkerId& id : replaced) {
    forget(id);
  }
  if (lastOrderedBy != base::ServerId{}) {
    lastOrderedBy_[worker.id] = lastOrderedBy;
  }
  const auto [found, added] = workers_.try_emplace(worker.id);
  WorkerRecord& held = found->second;
  if (!added) {
    removeFromIndex(held);
  }
  if (!added && held.service != worker.service) {
    noteVersion(held.service, held.softwareVersion);
  }
  held = added ? worker : worker.storedOver(held);
  addToIndex(held);
  noteChange(held.id);
  if (!held.softwareVersion.empty()) {
    noteVersion(held.service, held.softwareVersion);
  }
}

void CellState::raise(std::uint32_t level) {
  const std::uint32_t former = std::exchange(featureLevel_, std::max(featureLevel_, level));
  if (former < feature::kSoftwareVersions && featureLevel_ >= feature::kSoftwareVersions) {
    versionsKnown_ = forgotten_.empty();
  }
}

/// @param version of a worker that has one, or empty for one whose version will never be known.
void CellState::noteVersion(const std::string& service, const std::string& version) {
  if (!versionsKnown_ ||
      (versions_.size() >= kMaxVersionedServices && versions_.count(service) == 0)) {
    return;
  }
  const auto [found, added] = versions_.try_emplace(service, version);
  if (found->second != version) {
    found->second.clear();
  }
}

std::optional<std::string> CellState::onlyVersionOf(const std::string& service) const {
  const auto found = versions_.find(service);
  if (found == versions_.end() || found->second.empty() || unknownVersions_.count(service) != 0) {
    return std::nullopt;
  }
  return found->second;
}

void CellState::store(const StoreZoneEvacuation& change) {
  if (change.evacuated == evacuated(change.zone) || change.basedOn < zoneRevision(change.zone)) {
    return;
  }
  ZoneState& zone = zones_[change.zone];
  zone.evacuated = change.evacuated;
  ++zone.revision;
  ++zoneChanges_;
}

bool CellState::evacuated(const base::ZoneId& zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && found->second.evacuated;
}

std::uint64_t CellState::zoneRevision(const base::ZoneId& zone) const {
  const auto found = zones_.find(zone);
  return found == zones_.end() ? 0 : found->second.revision;
}

void CellState::forget(const WorkerId& id) {
  const auto found = workers_.find(id);
  if (found != workers_.end()) {
    noteVersion(found->second.service, found->second.softwareVersion);
    removeFromIndex(found->second);
    workers_.erase(found);
  }
  holdings_.erase(id);
  lastOrderedBy_.erase(id);
  noteChange(id);
  if (!forgottenIds_.insert(id).second) {
    return;
  }
  forgotten_.push_back(id);
  while (forgotten_.size() > maxForgotten()) {
    forgottenIds_.erase(forgotten_.front());
    forgotten_.pop_front();
  }
}

/// At feature level 0 the cell may have servers of early builds, which always remember the least
/// number only; all servers must do the same.
std::size_t CellState::maxForgotten() const {
  return featureLevel_ == 0 ? kMinForgotten : std::max(kMinForgotten, workers_.size());
}

void CellState::addToIndex(const WorkerRecord& worker) {
  idsByName_[worker.calledName()].insert(worker.id);
  idsByEndpoint_[worker.endpoint].insert(worker.id);
  if (worker.softwareVersion.empty()) {
    ++unknownVersions_[worker.service];
  }
}

void CellState::removeFromIndex(const WorkerRecord& worker) {
  const auto remove = [&worker](auto& index, const auto& key) {
    const auto found = index.find(key);
    found->second.erase(worker.id);
    if (found->second.empty()) {
      index.erase(found);
    }
  };
  remove(idsByName_, worker.calledName());
  remove(idsByEndpoint_, worker.endpoint);
  if (worker.softwareVersion.empty() && --unknownVersions_.at(worker.service) == 0) {
    unknownVersions_.erase(worker.service);
  }
}

void CellState::buildIndex() {
  for (const auto& [id, worker] : workers_) {
    addToIndex(worker);
  }
  forgottenIds_ = {forgotten_.begin(), forgotten_.end()};
}

void CellState::noteChange(const WorkerId& id) {
  changes_.push_back(id);
  if (changes_.size() > kMaxChanges) {
    changes_.pop_front();
    ++firstChange_;
  }
}

std::optional<std::vector<WorkerId>> CellState::changedSince(std::uint64_t count) const {
  if (count < firstChange_) {
    return std::nullopt;
  }
  const auto skipped = static_cast<std::ptrdiff_t>(count - firstChange_);
  return std::vector<WorkerId>(changes_.begin() + skipped, changes_.end());
}

const std::set<WorkerId>& CellState::workersAt(const base::Endpoint& endpoint) const {
  static const std::set<WorkerId> kNone;
  const auto found = idsByEndpoint_.find(endpoint);
  return found == idsByEndpoint_.end() ? kNone : found->second;
}

const WorkerRecord* CellState::findWorker(const WorkerId& id) const {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

const WorkerRecord* CellState::findIncarnation(const std::string& name) const {
  const auto found = idsByName_.find(name);
  return found == idsByName_.end() ? nullptr : findWorker(*found->second.begin());
}

const std::vector<HeldModel>* CellState::findHoldings(const WorkerId& id) const {
  const auto found = holdings_.find(id);
  return found == holdings_.end() ? nullptr : &found->second;
}

base::ServerId CellState::lastOrderedBy(const WorkerId& id) const {
  const auto found = lastOrderedBy_.find(id);
  return found == lastOrderedBy_.end() ? base::ServerId{} : found->second;
}

bool CellState::wasForgotten(const WorkerId& id) const { return forgottenIds_.count(id) != 0; }

std::string CellState::encode() const { return base::encode(*this); }

base::Result<void> CellState::restore(std::string_view bytes) {
  BOOST_OUTCOME_TRY(state, base::decode<CellState>(bytes, "snapshot"));
  const std::uint64_t next = workerChanges() + 1;
  *this = std::move(state);
  firstChange_ = next;
  buildIndex();
  return base::success();
}

}  // namespace walnut::registry
