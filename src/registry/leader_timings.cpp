/// @file
/// The part of the leader's tasks that pools what gateways measure of the speed of workers.

#include <utility>

#include "registry/leader_duties.h"
#include "walnut/registry/feature_level.h"

namespace walnut::registry {

namespace {

using runtime::LogEvent;

constexpr base::Duration kRefusalLogInterval = std::chrono::seconds(1);

}  // namespace

/// Determines the services that are measured.
void LeaderDuties::refreshTimedServices() {
  timedServices_.clear();
  for (const catalog::Service& service : document_->services) {
    if (replicasAreSlowToAdd(service.name)) {
      timedServices_.insert(service.name);
    }
  }
  timings_.forgetServices(
      [this](const std::string& service) { return timedServices_.count(service) != 0; });
}

void LeaderDuties::subscribeToTimings(protocol::ConnectionId gateway, std::uint32_t featureLevel) {
  if (featureLevel >= feature::kWorkerTimings) {
    timingRevisions_[gateway] = 0;
  }
}

void LeaderDuties::timingsReported(protocol::ConnectionId gateway, const WorkerTimingReport& report,
                                   base::TimePoint now) {
  const WorkerTimingBook::Taken taken = timings_.report(
      report,
      [this](const WorkerId& id) -> const std::string* {
        const WorkerRecord* record = state_.findWorker(id);
        const bool timed = record != nullptr && timedServices_.count(record->service) != 0;
        return timed ? &record->service : nullptr;
      },
      now);
  if ((taken.tooOld || taken.impossible > 0) &&
      now >= timingRefusalLoggedAt_ + kRefusalLogInterval) {
    timingRefusalLoggedAt_ = now;
    const auto span = std::chrono::duration_cast<std::chrono::milliseconds>(report.span).count();
    log_.write(LogEvent::timingRefused, {{"connection", gateway.value},
                                         {"reason", taken.tooOld ? "span" : "impossible"},
                                         {"span-millis", std::to_string(span)},
                                         {"samples", report.samples.size()}});
  }
}

void LeaderDuties::sendTimings(base::TimePoint now) {
  if (timedServices_.empty() || !timings_.reviewDue(now)) {
    return;
  }
  for (const WorkerTimingBook::Change& change : timings_.review(now)) {
    log_.write(LogEvent::workerSlownessChanged,
               {{"worker", change.timing.worker.value},
                {"slowness-percent", std::uint64_t{change.timing.slownessPercent}},
                {"former-percent", std::uint64_t{change.formerPercent}},
                {"prompt-share-percent", std::uint64_t{change.timing.promptSharePercent}},
                {"samples", change.samples},
                {"pauses", change.pauses}});
  }
  for (auto& [gateway, revision] : timingRevisions_) {
    if (subscriptions_.count(gateway) != 0) {
      continue;  // Its complete view comes first.
    }
    if (auto update = timings_.takeUpdate(revision)) {
      actions_.emplace_back(
          control::SendToConnection{gateway, RegistryMessage{MessageBody(std::move(*update))}});
    }
  }
}

}  // namespace walnut::registry
