/// @file
/// The leader's assessment of workers: which are alive, which report healthy but fail requests, and
/// which crashed under which requests.

#include <algorithm>
#include <cmath>
#include <utility>

#include "registry/leader_duties.h"

namespace walnut::registry {

namespace {

using runtime::LogEvent;

/// Time after its last heartbeat for which a worker counts as alive, in heartbeat intervals: a
/// heartbeat may be late by half an interval.
constexpr double kAliveHeartbeats = 1.5;
/// Time between two checks from which the process is taken to have been suspended; several check
/// intervals long.
constexpr base::Duration kSuspensionThreshold = std::chrono::milliseconds(300);
/// Bound of `contests_`: callers that sent a single heartbeat are never removed one by one.
constexpr std::size_t kMaxOpenContests = 1024;

std::uint64_t percent(double share) {
  constexpr double kHundred = 100;
  return static_cast<std::uint64_t>(std::lround(kHundred * share));
}

std::uint64_t millisOf(base::Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

/// Rejects heartbeats that name an unknown service, so that a foreign sender can't move a worker
/// out of its service. A worker whose service was removed from the document keeps that service.
bool LeaderDuties::namesUnknownService(const Heartbeat& heartbeat) const {
  if (document_ == nullptr || document_->findService(heartbeat.worker.service) != nullptr) {
    return false;
  }
  const WorkerRecord* held = state_.findWorker(heartbeat.worker.id);
  if (held != nullptr && held->service == heartbeat.worker.service) {
    return false;
  }
  log_.write(LogEvent::heartbeatRefused,
             {{"worker", heartbeat.worker.id.value}, {"reason", "unknown-service"}});
  return true;
}

/// A heartbeat of a previous incarnation changes nothing. As the clock of a worker may be set back,
/// the registered incarnation is forgotten if it is unresponsive; the next heartbeat is accepted.
bool LeaderDuties::isOutdated(const Heartbeat& heartbeat, base::TimePoint now) {
  const WorkerRecord* present = state_.findIncarnation(heartbeat.worker.calledName());
  if (present == nullptr || !present->succeeds(heartbeat.worker)) {
    return false;
  }
  const WorkerStatus& status = statusOf(present->id, now);
  if (status.silent) {
    commands_.emplace_back(ForgetWorker{present->id});
  }
  log_.write(LogEvent::heartbeatRefused,
             {{"worker", heartbeat.worker.id.value},
              {"reason", "former-life"},
              {"present", present->id.value},
              {"present-silent", std::string_view(status.silent ? "yes" : "no")}});
  return true;
}

/// A heartbeat delayed by a network partition may arrive after its sender crashed and another
/// incarnation registered at the same endpoint; accepting it would remove the present incarnation
/// for good. An unknown worker replaces a live one only after a second heartbeat, or if it is known
/// to be a later incarnation of the same worker.
bool LeaderDuties::contestsLiveWorker(const Heartbeat& heartbeat, base::TimePoint now) {
  const WorkerId& id = heartbeat.worker.id;
  if (state_.findWorker(id) != nullptr) {
    contests_.erase(id);
    return false;
  }
  const std::chrono::duration<double> alive = kAliveHeartbeats * options_.heartbeatInterval;
  const std::set<WorkerId>& atEndpoint = state_.workersAt(heartbeat.worker.endpoint);
  const bool contested =
      std::any_of(atEndpoint.begin(), atEndpoint.end(), [&](const WorkerId& other) {
        const auto status = workers_.find(other);
        return !heartbeat.worker.succeeds(*state_.findWorker(other)) && status != workers_.end() &&
               now - status->second.lastContact < alive;
      });
  if (!contested) {
    contests_.erase(id);
    return false;
  }
  if (contests_.size() >= kMaxOpenContests) {
    contests_.clear();
  }
  const auto [contest, first] = contests_.try_emplace(id, heartbeat.sequence);
  return first || heartbeat.sequence <= contest->second;
}

/// Heartbeats that came while this process was suspended are still unread or lost, so silence is
/// counted from the end of the suspension.
void LeaderDuties::detectSuspension(base::TimePoint now) {
  if (now - std::exchange(lastCheck_, now) > kSuspensionThreshold) {
    receivingSince_ = now;
  }
}

base::TimePoint LeaderDuties::lastContact(const WorkerStatus& status) const {
  return std::max(status.lastContact, receivingSince_);
}

void LeaderDuties::reviewCrashes(base::TimePoint now) {
  const std::chrono::duration<double> overdue =
      options_.overdueHeartbeats * options_.heartbeatInterval;
  crashes_.review(now, std::chrono::duration_cast<base::Duration>(overdue),
                  [this, now](const WorkerId& id) -> CrashMonitor::Contact {
                    const WorkerStatus& status = statusOf(id, now);
                    return {status.hasContact ? std::optional(status.lastContact) : std::nullopt,
                            lastContact(status)};
                  });
  for (Command& command : crashes_.takeCommands()) {
    commands_.push_back(std::move(command));
  }
}

void LeaderDuties::sendSuspects(base::TimePoint now) {
  if (!crashes_.takeChanged()) {
    return;
  }
  const SuspectList list = crashes_.list(now);
  for (const protocol::ConnectionId gateway : publisher_.gateways()) {
    actions_.emplace_back(control::SendToConnection{gateway, RegistryMessage{MessageBody(list)}});
  }
}

/// A gateway that gets no list before its first view assumes that there are no suspects.
void LeaderDuties::sendSuspectsTo(protocol::ConnectionId gateway, base::TimePoint now) {
  SuspectList list = crashes_.list(now);
  if (!list.requests.empty()) {
    actions_.emplace_back(
        control::SendToConnection{gateway, RegistryMessage{MessageBody(std::move(list))}});
  }
}

base::Duration LeaderDuties::heartbeatTime(double count) const {
  const std::chrono::duration<double> time = count * options_.heartbeatInterval;
  return std::chrono::duration_cast<base::Duration>(time);
}

void LeaderDuties::scheduleSilenceCheck(const WorkerId& id, WorkerStatus& status,
                                        base::TimePoint at) {
  status.nextSilenceCheck = at;
  silenceChecks_.emplace(at, id);
}

/// Checks only the workers whose heartbeat is overdue.
void LeaderDuties::checkOverdueWorkers(base::TimePoint now) {
  while (!silenceChecks_.empty() && silenceChecks_.begin()->first <= now) {
    const auto [due, id] = *silenceChecks_.begin();
    silenceChecks_.erase(silenceChecks_.begin());
    const auto found = workers_.find(id);
    if (found != workers_.end() && found->second.nextSilenceCheck == due) {
      checkSilence(id, found->second, now);
    }
  }
}

void LeaderDuties::checkSilence(const WorkerId& id, WorkerStatus& status, base::TimePoint now) {
  const base::TimePoint overdueAt = lastContact(status) + heartbeatTime(options_.overdueHeartbeats);
  const base::TimePoint soon = now + base::Duration(1);
  if (state_.findWorker(id) == nullptr) {
    scheduleSilenceCheck(id, status, std::max(overdueAt, soon));
    return;
  }
  const base::Duration silence = now - lastContact(status);
  if (!status.silent && isUnresponsive(id, status, now)) {
    status.silent = true;
    if (StoreScheduler* const store = storeOfLoad(id)) {
      store->recordUnclear(id, now);
    }
    markChanged(id);
    log_.write(LogEvent::workerSilent, {{"worker", id.value}});
  }
  if (silence > options_.workerForgottenAfter) {
    status.lastContact = now;  // Proposes it once, and again only after another such period.
    commands_.emplace_back(ForgetWorker{id});
  }
  const base::TimePoint forgottenAt = lastContact(status) + options_.workerForgottenAfter;
  scheduleSilenceCheck(id, status, std::max(soon, status.silent ? forgottenAt : overdueAt));
}

void LeaderDuties::detectOutliers(base::TimePoint now) {
  if (!outliers_.isReviewDue(now)) {
    return;
  }
  std::map<std::string_view, std::vector<WorkerId>> services;
  for (const auto& [id, record] : state_.workers()) {
    if (!record.leaving) {
      services[record.service].push_back(id);
    }
  }
  outliers_.review(services, publisher_.gatewayCount(), now);
  for (const WorkerOutlierDetector::Change& change : outliers_.takeChanges()) {
    markChanged(change.subject);
    planSoon_ = true;
    log_.write(change.failing ? LogEvent::workerFailing : LogEvent::workerTried,
               {{"worker", change.subject.value},
                {"failed-percent", percent(change.share)},
                {"rest-percent", percent(change.othersFailureShare)},
                {"gateways", change.reporters},
                {"former-millis", millisOf(change.heldFor)}});
  }
}

void LeaderDuties::logAnswerChanges() {
  for (const ServedChange& change : demand_.takeServedChanges()) {
    log_.write(change.answered ? LogEvent::modelAnswered : LogEvent::modelUnanswered,
               {{"service", change.key.service},
                {"model", change.key.model},
                {"adapter", change.key.adapter},
                {"millis", millisOf(change.lasted)},
                {"requests", change.requests},
                {"failed", change.failed}});
  }
}

void LeaderDuties::logQuotaChanges() {
  for (const QuotaLedger::Change& change : quotas_.takeChanges()) {
    log_.write(change.exhausted ? LogEvent::quotaExhausted : LogEvent::quotaRegained,
               {{"tenant", change.owner},
                {"rate", static_cast<std::uint64_t>(change.unitsPerSecond)},
                {"held", static_cast<std::uint64_t>(change.held)},
                {"former-millis", millisOf(change.formerFor)}});
  }
}

bool LeaderDuties::isUnresponsive(const WorkerId& id, const WorkerStatus& status,
                                  base::TimePoint now) const {
  const double heartbeats =
      demand_.unreachable(id) ? options_.overdueHeartbeats : options_.silentHeartbeats;
  const std::chrono::duration<double> limit = heartbeats * options_.heartbeatInterval;
  return now - lastContact(status) > limit;
}

}  // namespace walnut::registry
