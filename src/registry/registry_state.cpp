/// @file
/// Application of log entries to the replicated state, and snapshots.

#include <algorithm>
#include <utility>

#include "registry/registry_impl.h"

namespace walnut::registry {

using runtime::LogEvent;

void RegistryImpl::applyEntries(const std::vector<consensus::LogEntry>& entries) {
  for (const consensus::LogEntry& entry : entries) {
    if (unreadable_) {
      return;
    }
    applyEntry(entry);
  }
  if (!entries.empty() && leading_ != nullptr) {
    leading_->stateChanged(now_);
  }
}

void RegistryImpl::applyEntry(const consensus::LogEntry& entry) {
  appliedIndex_ = entry.index;
  if (entry.type == consensus::EntryType::command) {
    bytesSinceSnapshot_ += entry.payload.size();
    const auto command = decodeCommand(entry.payload);
    if (command) {
      recordRegistration(command.value(), entry.index);
      recordSuccession(command.value());
      state_.apply(command.value());
      noteApplied(command.value(), entry.index);
    } else {
      setUnreadable(entry.index, command.error());
      return;
    }
  }
  const auto waiting = callsByEntry_.find(entry.index);
  if (waiting != callsByEntry_.end()) {
    const std::vector<std::uint64_t> calls = std::move(waiting->second);
    callsByEntry_.erase(waiting);
    for (const std::uint64_t call : calls) {
      answerApplied(call);
    }
  }
}

void RegistryImpl::setUnreadable(consensus::LogIndex index, const base::Error& error) {
  log_.write(LogEvent::entryRefused, {{"index", index},
                                      {"error", base::errorCodeName(error.code)},
                                      {"field", error.field},
                                      {"detail", error.detail}});
  unreadable_ = error;
}

void RegistryImpl::noteApplied(const Command& command, consensus::LogIndex index) {
  if (const auto* document = std::get_if<StoreDocument>(&command)) {
    log_.write(LogEvent::documentStored, {{"version", document->version}, {"index", index}});
  } else if (const auto* worker = std::get_if<StoreWorker>(&command)) {
    if (index > recoveredIndex_) {  // Recovered entries were logged when they were first applied.
      log_.write(LogEvent::workerStored,
                 {{"worker", worker->worker.id.value},
                  {"service", worker->worker.service},
                  {"version", worker->worker.softwareVersion},
                  {"state", std::string_view(worker->worker.leaving ? "leaving" : "ready")}});
    }
    const auto pending = pendingWorkers_.find(worker->worker.id);
    if (pending != pendingWorkers_.end() && pending->second.index <= index) {
      pendingWorkers_.erase(pending);
    }
  } else if (const auto* gone = std::get_if<ForgetWorker>(&command)) {
    if (index > recoveredIndex_) {
      log_.write(LogEvent::workerForgotten, {{"worker", gone->worker.value}});
    }
    orderTurns_.forget(gone->worker);
  } else if (std::holds_alternative<StoreOrderHolder>(command) && index > recoveredIndex_) {
    lastTakeoverAt_ = now_;
  } else if (const auto* ordered = std::get_if<StoreOrderedWorkers>(&command)) {
    noteOrdered(*ordered, index);
  } else if (const auto* raised = std::get_if<RaiseFeatureLevel>(&command)) {
    log_.write(LogEvent::featureLevelRaised,
               {{"level", std::uint64_t{raised->level}}, {"index", index}});
  } else if (const auto* zone = std::get_if<StoreZoneEvacuation>(&command)) {
    log_.write(state_.evacuated(zone->zone) ? LogEvent::zoneEvacuated : LogEvent::zoneReturned,
               {{"zone", zone->zone.value},
                {"asked", std::string_view(zone->evacuated ? "evacuated" : "in service")},
                {"based-on", zone->basedOn},
                {"revision", state_.zoneRevision(zone->zone)},
                {"index", index}});
  }
}

/// Records when a new worker registered; to be called before the command is applied.
void RegistryImpl::recordRegistration(const Command& command, consensus::LogIndex index) {
  const auto* stored = std::get_if<StoreWorker>(&command);
  if (stored != nullptr && index > recoveredIndex_ &&
      state_.findWorker(stored->worker.id) == nullptr) {
    registrations_.registered(stored->worker.id, now_);
  }
}

/// Passes on the last order time of a worker's previous incarnation; to be called before the
/// command is applied.
void RegistryImpl::recordSuccession(const Command& command) {
  const auto* stored = std::get_if<StoreWorker>(&command);
  if (stored == nullptr) {
    return;
  }
  const WorkerRecord* former = state_.findIncarnation(stored->worker.calledName());
  if (former != nullptr && stored->worker.succeeds(*former)) {
    orderTurns_.succeeded(former->id, stored->worker.id);
    log_.write(LogEvent::workerReborn,
               {{"worker", stored->worker.id.value}, {"former", former->id.value}});
  }
}

void RegistryImpl::noteOrdered(const StoreOrderedWorkers& ordered, consensus::LogIndex index) {
  if (index > recoveredIndex_) {
    orderTurns_.ordered(ordered.workers, now_);
  }
  const consensus::RaftStatus status = raft_->status();
  if (leading_ != nullptr && ordered.server == status.self && ordered.term == status.term) {
    leading_->ordersRecorded(ordered.batch, now_, raft_->leaseValid(now_));
  }
}

/// Snapshots wait until the log has grown by the size of the last one, so that they write at most
/// as many bytes as the log, however large the state is.
void RegistryImpl::takeSnapshotIfDue() {
  if (bytesSinceSnapshot_ < std::max(options_.snapshotEveryBytes, snapshotBytes_)) {
    return;
  }
  std::string snapshot = state_.encode();
  bytesSinceSnapshot_ = 0;
  snapshotBytes_ = snapshot.size();
  raft_->compact(appliedIndex_, std::move(snapshot), options_.snapshotKeepEntries);
}

}  // namespace walnut::registry
