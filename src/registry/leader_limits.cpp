/// @file
/// The part of the leader's tasks that grants gateways shares of quotas and of the request limits
/// of workers.

#include <utility>

#include "registry/leader_duties.h"

namespace walnut::registry {

namespace {

using runtime::LogEvent;

std::uint64_t millisOf(base::Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

void LeaderDuties::quotaRequested(protocol::ConnectionId gateway, const QuotaRequest& request,
                                  base::TimePoint now) {
  actions_.emplace_back(control::SendToConnection{
      gateway, RegistryMessage{MessageBody(quotas_.grant(gateway, request, now))}});
  logQuotaChanges();
}

void LeaderDuties::handleLimitReport(protocol::ConnectionId gateway, const LimitReport& report,
                                     base::TimePoint now) {
  LimitReport known;
  for (const LimitObservation& sighting : report.sightings) {
    if (state_.findWorker(sighting.worker) != nullptr) {
      known.sightings.push_back(sighting);
    }
  }
  for (const WorkerLimitTracker::Change& change : limits_.report(known, now)) {
    markChanged(change.worker);
    planSoon_ = true;
    log_.write(change.perSecond ? LogEvent::workerLimited : LogEvent::workerLimitEnded,
               {{"worker", change.worker.value},
                {"limit", limitText(change.perSecond)},
                {"former", limitText(change.previous)},
                {"connection", gateway.value},
                {"age-millis", millisOf(change.age)}});
  }
}

void LeaderDuties::sharesRequested(protocol::ConnectionId gateway, const ShareRequest& request,
                                   base::TimePoint now) {
  actions_.emplace_back(control::SendToConnection{
      gateway, RegistryMessage{MessageBody(limits_.grant(gateway, request, now))}});
  logShareChanges();
}

void LeaderDuties::logShareChanges() {
  for (const QuotaLedger::Change& change : limits_.takeChanges()) {
    planSoon_ = true;
    log_.write(change.exhausted ? LogEvent::limitExhausted : LogEvent::limitRegained,
               {{"worker", change.owner},
                {"limit", limitText(change.unitsPerSecond)},
                {"held", static_cast<std::uint64_t>(change.held)},
                {"former-millis", millisOf(change.formerFor)}});
  }
}

}  // namespace walnut::registry
