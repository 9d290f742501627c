/// @file
/// The part of a gateway that measures the speed of workers and uses what all gateways measured.

#include <set>
#include <string>
#include <utility>

#include "gateway/gateway.h"
#include "walnut/catalog/slow_replicas.h"
#include "walnut/registry/feature_level.h"

namespace walnut::gateway {

/// Determines the services whose workers are selected by the time model: those whose replicas are
/// slow to add.
void Gateway::refreshTimedServices() {
  std::set<std::string> services;
  for (const catalog::Service& service : document_->services) {
    if (catalog::replicasAreSlowToAdd(*document_, service.name)) {
      services.insert(service.name);
    }
  }
  timeModel_.setServices(std::move(services));
}

void Gateway::streamBegan(const Worker& worker, const RequestFacts& facts, base::TimePoint sentAt,
                          bool wasFull) {
  const registry::WorkerRecord& record = worker.view.record;
  const base::TimePoint now = scheduler_.now();
  if (timeModel_.covers(record.service) &&
      timingRecorder_.streamBegan(record.id, facts.promptTokens, sentAt, now, !wasFull)) {
    timeModel_.streamBegan(record.service, record.id, facts.promptTokens, now - sentAt, now);
  }
}

void Gateway::streamPaused(const Worker& worker) {
  if (timeModel_.covers(worker.view.record.service)) {
    timingRecorder_.streamPaused(worker.view.record.id);
  }
}

void Gateway::recordPromptSent(const Worker& worker, const RequestFacts& facts) {
  if (timeModel_.covers(worker.view.record.service)) {
    timeModel_.promptSent(worker.view.record.id, facts.promptTokens, scheduler_.now());
  }
}

/// @return true if the followed leader pools the measurements.
bool Gateway::poolsTimings() const {
  return session_.followingWith(registry::feature::kWorkerTimings);
}

void Gateway::reportTimings() {
  if (!poolsTimings()) {
    timingRecorder_.discard(scheduler_.now());
  } else if (auto report = timingRecorder_.takeReport(scheduler_.now())) {
    session_.send(std::move(*report));
  }
}

void Gateway::timingsReceived(const registry::WorkerTimings& update) {
  timeModel_.timingsReceived(update, scheduler_.now());
}

/// Keeps the estimates current while their leader is heard, and drops those of removed workers.
void Gateway::refreshTimings(const registry::ViewUpdate& update) {
  if (poolsTimings()) {
    timeModel_.leaderHeard(scheduler_.now());
  }
  for (const registry::WorkerId& worker : update.removed) {
    timeModel_.forget(worker);
  }
}

}  // namespace walnut::gateway
