#include "registry/cell_state.h"

#include <algorithm>

#include "base/archive.h"

namespace walnut::registry {

namespace {

/// A worker's call may be seconds late; far fewer workers than this end in that time.
constexpr std::size_t kMaxForgotten = 1024;

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
                     body.aged ? requestCrashes_.age(request) : requestCrashes_.acquit(request);
                   }
                 },
                 [this](const RaiseFeatureLevel& body) {
                   featureLevel_ = std::max(featureLevel_, body.level);
                 },
                 [this](const StoreZoneEvacuation& body) { store(body); },
             },
             command);
}

void CellState::store(const WorkerRecord& worker) {
  if (wasForgotten(worker.id)) {
    return;
  }
  std::vector<WorkerId> replaced;
  base::ServerId lastOrderedBy;
  for (const auto& [id, other] : workers_) {
    if (other.succeeds(worker)) {
      return;
    }
    const bool formerLife = worker.succeeds(other);
    if (id != worker.id && (formerLife || other.endpoint == worker.endpoint)) {
      replaced.push_back(id);
    }
    if (formerLife) {
      lastOrderedBy = this->lastOrderedBy(id);
    }
  }
  for (const WorkerId& id : replaced) {
    forget(id);
  }
  if (lastOrderedBy != base::ServerId{}) {
    lastOrderedBy_[worker.id] = lastOrderedBy;
  }
  WorkerRecord& held = workers_[worker.id];
  const bool leaving = held.leaving || worker.leaving;
  held = worker;
  held.leaving = leaving;
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
  workers_.erase(id);
  holdings_.erase(id);
  lastOrderedBy_.erase(id);
  if (wasForgotten(id)) {
    return;
  }
  forgotten_.push_back(id);
  if (forgotten_.size() > kMaxForgotten) {
    forgotten_.erase(forgotten_.begin());
  }
}

const WorkerRecord* CellState::findWorker(const WorkerId& id) const {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

const WorkerRecord* CellState::findLife(const std::string& name) const {
  const auto found = std::find_if(workers_.begin(), workers_.end(), [&name](const auto& entry) {
    return entry.second.calledName() == name;
  });
  return found == workers_.end() ? nullptr : &found->second;
}

const std::vector<HeldModel>* CellState::findHoldings(const WorkerId& id) const {
  const auto found = holdings_.find(id);
  return found == holdings_.end() ? nullptr : &found->second;
}

base::ServerId CellState::lastOrderedBy(const WorkerId& id) const {
  const auto found = lastOrderedBy_.find(id);
  return found == lastOrderedBy_.end() ? base::ServerId{} : found->second;
}

bool CellState::wasForgotten(const WorkerId& id) const {
  return std::find(forgotten_.begin(), forgotten_.end(), id) != forgotten_.end();
}

std::string CellState::encode() const { return base::encode(*this); }

base::Result<void> CellState::restore(std::string_view bytes) {
  BOOST_OUTCOME_TRY(state, base::decode<CellState>(bytes, "snapshot"));
  *this = std::move(state);
  return base::success();
}

}  // namespace walnut::registry
