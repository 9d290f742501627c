/// @file
/// The part of a leader's duties that decides what it believes of workers: which are alive, which
/// fail what they are sent though they say that they are well, and which ended under what; and of
/// models that come late.

#include <algorithm>
#include <cmath>
#include <utility>

#include "registry/leader_duties.h"

namespace walnut::registry {

namespace {

using runtime::LogEvent;

/// Heartbeats for which a worker counts as alive after its last one: it may be late by a half.
constexpr double kAliveHeartbeats = 1.5;
/// Several checks late: the process stood still, or its machine was suspended.
constexpr base::Duration kHeldUp = std::chrono::milliseconds(300);
/// Bound for what nobody takes out: callers that were heard once.
constexpr std::size_t kMostContests = 1024;

std::uint64_t percent(double share) {
  constexpr double kHundred = 100;
  return static_cast<std::uint64_t>(std::lround(kHundred * share));
}

std::uint64_t millisOf(base::Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

/// What another writer sends must not move a worker out of its service. One whose service has been
/// dropped from the document stays what it is.
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

/// A heartbeat of a life that has ended changes nothing. Clocks of workers may be set back: if the
/// life that is held has gone silent all the same, it is forgotten, and the next heartbeat counts.
bool LeaderDuties::isOfFormerLife(const Heartbeat& heartbeat, base::TimePoint now) {
  const WorkerRecord* present = state_.findLife(heartbeat.worker.calledName());
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

/// A heartbeat that a cut held up may arrive after its sender has crashed and another incarnation
/// has registered at its endpoint; taken at its word it would end the present one for good. An
/// unknown worker replaces one that is alive only once it has called again, or if it is known to be
/// a later life of it.
bool LeaderDuties::contestsALiveWorker(const Heartbeat& heartbeat, base::TimePoint now) {
  const WorkerId& id = heartbeat.worker.id;
  if (state_.findWorker(id) != nullptr) {
    contests_.erase(id);
    return false;
  }
  const std::chrono::duration<double> alive = kAliveHeartbeats * options_.heartbeatInterval;
  const std::set<WorkerId>& there = state_.workersAt(heartbeat.worker.endpoint);
  const bool contested = std::any_of(there.begin(), there.end(), [&](const WorkerId& other) {
    const auto status = workers_.find(other);
    return !heartbeat.worker.succeeds(*state_.findWorker(other)) && status != workers_.end() &&
           now - status->second.lastHeard < alive;
  });
  if (!contested) {
    contests_.erase(id);
    return false;
  }
  if (contests_.size() >= kMostContests) {
    contests_.clear();
  }
  const auto [former, first] = contests_.try_emplace(id, heartbeat.sequence);
  return first || heartbeat.sequence <= former->second;
}

/// What workers said while this process stood still waits to be read, or is lost: their silence
/// counts from the end of that.
void LeaderDuties::noteHeldUp(base::TimePoint now) {
  if (now - std::exchange(lastCheck_, now) > kHeldUp) {
    hearingSince_ = now;
  }
}

base::TimePoint LeaderDuties::lastHeard(const WorkerStatus& status) const {
  return std::max(status.lastHeard, hearingSince_);
}

void LeaderDuties::reviewCrashes(base::TimePoint now) {
  const std::chrono::duration<double> overdue =
      options_.overdueHeartbeats * options_.heartbeatInterval;
  crashes_.review(
      now, std::chrono::duration_cast<base::Duration>(overdue),
      [this, now](const WorkerId& id) -> CrashMonitor::Signs {
        const WorkerStatus& status = statusOf(id, now);
        return {status.heard ? std::optional(status.lastHeard) : std::nullopt, lastHeard(status)};
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

/// Without a list before its first view a gateway takes it that there are no suspects.
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

void LeaderDuties::checkSilenceAt(const WorkerId& id, WorkerStatus& status, base::TimePoint at) {
  status.silenceCheckAt = at;
  silenceChecks_.emplace(at, id);
}

/// Only workers whose heartbeat is overdue are looked at.
void LeaderDuties::noteSilence(base::TimePoint now) {
  while (!silenceChecks_.empty() && silenceChecks_.begin()->first <= now) {
    const auto [due, id] = *silenceChecks_.begin();
    silenceChecks_.erase(silenceChecks_.begin());
    const auto found = workers_.find(id);
    if (found != workers_.end() && found->second.silenceCheckAt == due) {
      reviewSilence(id, found->second, now);
    }
  }
}

void LeaderDuties::reviewSilence(const WorkerId& id, WorkerStatus& status, base::TimePoint now) {
  const base::TimePoint overdueAt = lastHeard(status) + heartbeatTime(options_.overdueHeartbeats);
  const base::TimePoint soon = now + base::Duration(1);
  if (state_.findWorker(id) == nullptr) {
    checkSilenceAt(id, status, std::max(overdueAt, soon));
    return;
  }
  const base::Duration silence = now - lastHeard(status);
  if (!status.silent && isSilent(id, status, now)) {
    status.silent = true;
    forgetLoad(*state_.findWorker(id));
    noteChanged(id);
    log_.write(LogEvent::workerSilent, {{"worker", id.value}});
  }
  if (silence > options_.workerForgottenAfter) {
    status.lastHeard = now;  // Proposed once; again only after another such time.
    commands_.emplace_back(ForgetWorker{id});
  }
  const base::TimePoint forgottenAt = lastHeard(status) + options_.workerForgottenAfter;
  checkSilenceAt(id, status, std::max(soon, status.silent ? forgottenAt : overdueAt));
}

void LeaderDuties::detectOutliers(base::TimePoint now) {
  if (!outliers_.reviewDue(now)) {
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
    noteChanged(change.subject);
    planSoon_ = true;
    log_.write(change.failing ? LogEvent::workerFailing : LogEvent::workerTried,
               {{"worker", change.subject.value},
                {"failed-percent", percent(change.share)},
                {"rest-percent", percent(change.restShare)},
                {"gateways", change.reporters},
                {"former-millis", millisOf(change.heldFor)}});
  }
}

void LeaderDuties::logAnswerChanges() {
  for (const AnswerChange& change : demand_.takeAnswerChanges()) {
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

LateModels LeaderDuties::lateModels() const {
  LateModels late;
  for (const auto& [service, policy] : policies_) {
    for (const ModelOutlook& outlook : policy.outlook()) {
      late.models.push_back({service, outlook.model, outlook.availableIn});
    }
  }
  return late;
}

/// What a gateway was told by a former leader ends by itself.
void LeaderDuties::sendLateModelsTo(protocol::ConnectionId gateway) {
  LateModels late = lateModels();
  if (!late.models.empty()) {
    actions_.emplace_back(
        control::SendToConnection{gateway, RegistryMessage{MessageBody(std::move(late))}});
  }
}

void LeaderDuties::sendLateModels(base::TimePoint now) {
  const LateModels late = lateModels();
  if (!lateModelAnnouncer_.due(late, now)) {
    return;
  }
  for (const protocol::ConnectionId gateway : publisher_.gateways()) {
    actions_.emplace_back(control::SendToConnection{gateway, RegistryMessage{MessageBody(late)}});
  }
}

bool LeaderDuties::isSilent(const WorkerId& id, const WorkerStatus& status,
                            base::TimePoint now) const {
  const double heartbeats =
      demand_.unreachable(id) ? options_.overdueHeartbeats : options_.silentHeartbeats;
  const std::chrono::duration<double> limit = heartbeats * options_.heartbeatInterval;
  return now - lastHeard(status) > limit;
}

}  // namespace walnut::registry
