#include "registry/crash_monitor.h"

#include <algorithm>
#include <string>

namespace walnut::registry {

namespace {

using runtime::LogEvent;

/// Latest arrival, after the cut, of a heartbeat that was in flight when its worker ended: a link
/// takes some ms.
constexpr base::Duration kMaxHeartbeatDelay = std::chrono::milliseconds(100);
/// Time after which a lost log entry is proposed again; entries are applied within some ms.
constexpr base::Duration kProposalRetryInterval = std::chrono::seconds(1);
/// Time for which gateways hold a request; longer than until a worker's heartbeat is overdue.
constexpr base::Duration kHoldPeriod = std::chrono::seconds(2);
/// Time for which a request that has reached the crash limit is held after its last crash, before
/// it is quarantined, if there are other suspects. These are retried meanwhile, and the crashes
/// they cause clear or confirm it. Longer than until a worker's heartbeat is overdue, shorter than
/// gateways hold a request.
constexpr base::Duration kSettlePeriod = std::chrono::milliseconds(1800);
/// Length of the time slices in which suspects below the limit run, half of them in each: suspects
/// that are retried together would be cut together again and could not be told apart. As long as
/// most requests stay at a worker, and no longer than gateways hold a request.
constexpr base::Duration kTimeSlice = std::chrono::seconds(2);
/// Time after a request's last crash in which it is confined to time slices; callers have retried
/// by then. It bounds the updates to gateways.
constexpr base::Duration kTimeSlicingPeriod = std::chrono::seconds(10);
/// Interval in which suspects are classified again as time passes.
constexpr base::Duration kClassifyInterval = std::chrono::milliseconds(250);
/// @name Bounds of the data that gateways report
/// @{
constexpr std::size_t kMaxPendingCrashes = 256;
constexpr std::size_t kMaxRequestsPerCrash = 256;
/// @}

/// @return true if the suspect may run in the present time slice; drawn anew for each slice.
bool isInTimeSlice(const RequestDigest& request, base::TimePoint now) {
  const auto slice = static_cast<std::size_t>(now.time_since_epoch() / kTimeSlice);
  return request.bytes.at(slice % request.bytes.size()) % 2 == 0;
}

std::string_view standingName(RequestStanding standing) {
  switch (standing) {
    case RequestStanding::suspected:
      return "suspected";
    case RequestStanding::held:
      return "held";
    case RequestStanding::quarantined:
      return "quarantined";
  }
  return "unknown";
}

std::uint64_t millisOf(base::Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void append(std::string& list, const std::string& entry) {
  if (!list.empty()) {
    list += ',';
  }
  list += entry;
}

std::string textOf(const std::vector<RequestDigest>& requests) {
  std::string text;
  for (const RequestDigest& request : requests) {
    append(text, request.text());
  }
  return text;
}

}  // namespace

void CrashMonitor::report(const CutReport& report, base::TimePoint now) {
  for (const CutRequest& cut : report.cuts) {
    parts_.addCut(cut, now);
    const bool full = pending_.size() >= kMaxPendingCrashes && pending_.count(cut.worker) == 0;
    if (full) {
      continue;
    }
    if (state_.requestCrashes().has(cut.request, cut.worker)) {
      parts_.confirm(cut.worker, now);
      continue;
    }
    const auto [found, added] = pending_.try_emplace(cut.worker);
    PendingCrash& pending = found->second;
    const base::TimePoint cutAt = now - std::max(cut.age, base::Duration::zero());
    pending.cutAt = added ? cutAt : std::min(pending.cutAt, cutAt);
    if (pending.requests.size() < kMaxRequestsPerCrash) {
      bool& begun = pending.requests[cut.request];
      begun = begun || cut.begun;
      pending.proposedAt.reset();
    }
    dirty_ = true;
  }
  std::vector<RequestDigest> cleared;
  for (const RequestDigest& request : report.answered) {
    for (auto& [worker, pending] : pending_) {
      pending.requests.erase(request);
    }
    if (state_.requestCrashes().evidence().count(request) != 0) {
      cleared.push_back(request);
    }
  }
  if (!cleared.empty()) {
    commands_.emplace_back(ReleaseSuspects{std::move(cleared), false});
  }
}

void CrashMonitor::recordContact(const WorkerId& worker) {
  parts_.recordContact(worker);
  const RequestCrashLedger& ledger = state_.requestCrashes();
  if (!ledger.empty() && ledger.knows(worker) && retracting_.insert(worker).second) {
    log_.write(LogEvent::crashRetracted, {{"worker", worker.value}});
    commands_.emplace_back(RetractCrash{worker});
  }
}

void CrashMonitor::review(base::TimePoint now, base::Duration overdueAfter,
                          const ContactOf& contactOf) {
  const RequestCrashLedger& ledger = state_.requestCrashes();
  reviewParts(now);
  if (pending_.empty() && ledger.empty() && suspects_.empty()) {
    return;
  }
  for (auto& [worker, pending] : pending_) {
    decide(worker, pending, now, overdueAfter, contactOf);
  }
  const auto emptied =
      std::erase_if(pending_, [](const auto& entry) { return entry.second.requests.empty(); });
  std::erase_if(retracting_, [&ledger](const WorkerId& id) { return !ledger.knows(id); });
  if (dirty_ || emptied > 0 || (!suspects_.empty() && now >= classifiedAt_ + kClassifyInterval)) {
    dirty_ = false;
    classify(now);
  }
  ageEvidence(now);
}

void CrashMonitor::reviewParts(base::TimePoint now) {
  parts_.review(now);
  if (parts_.takeExplainedChanged()) {
    retractExplained();
  }
  for (Command& command : parts_.takeCommands()) {
    commands_.push_back(std::move(command));
  }
}

/// What merely was on the workers that crashed under a part is no longer suspected for it.
void CrashMonitor::retractExplained() {
  for (const WorkerId& worker : parts_.explained()) {
    if (state_.requestCrashes().knows(worker) && retracting_.insert(worker).second) {
      commands_.emplace_back(RetractCrash{worker});
    }
  }
}

void CrashMonitor::decide(const WorkerId& worker, PendingCrash& pending, base::TimePoint now,
                          base::Duration overdueAfter, const ContactOf& contactOf) {
  const RequestCrashLedger& ledger = state_.requestCrashes();
  if (!ledger.empty()) {
    std::erase_if(pending.requests,
                  [&](const auto& entry) { return ledger.has(entry.first, worker); });
  }
  const bool proposed = pending.proposedAt && now < *pending.proposedAt + kProposalRetryInterval;
  if (pending.requests.empty() || proposed) {
    return;
  }
  const WorkerRecord* record = state_.findWorker(worker);
  if (record == nullptr) {
    confirm(worker, pending, "replaced", now);
    return;
  }
  const Contact contact = contactOf(worker);
  const bool alive =
      contact.lastHeartbeat && *contact.lastHeartbeat > pending.cutAt + kMaxHeartbeatDelay;
  if (alive || record->leaving) {
    log_.write(LogEvent::crashDenied, {{"worker", worker.value},
                                       {"evidence", std::string_view(alive ? "heard" : "leaving")},
                                       {"requests", std::uint64_t{pending.requests.size()}},
                                       {"age-millis", millisOf(now - pending.cutAt)}});
    pending.requests.clear();
    parts_.deny(worker);
  } else if (now > contact.unresponsiveSince + overdueAfter) {
    confirm(worker, pending, "silent", now);
  }
}

StoreCrash CrashMonitor::crashOf(const WorkerId& worker, const PendingCrash& pending) {
  StoreCrash crash{worker, {}, {}};
  for (const auto& [request, begun] : pending.requests) {
    (begun ? crash.begun : crash.queued).push_back(request);
  }
  return crash;
}

void CrashMonitor::confirm(const WorkerId& worker, PendingCrash& pending, std::string_view evidence,
                           base::TimePoint now) {
  pending.proposedAt = now;
  parts_.confirm(worker, now);
  const bool explained = parts_.explains(worker);
  StoreCrash crash = crashOf(worker, pending);
  const std::string begun = textOf(crash.begun);
  const std::string queued = textOf(crash.queued);
  log_.write(LogEvent::crashConfirmed, {{"worker", worker.value},
                                        {"evidence", evidence},
                                        {"begun", begun},
                                        {"queued", queued},
                                        {"by-part", std::string_view(explained ? "yes" : "no")},
                                        {"age-millis", millisOf(now - pending.cutAt)}});
  if (explained) {
    pending.requests.clear();
    retractExplained();
  } else {
    commands_.emplace_back(std::move(crash));
  }
}

/// @return the requests that would be classified as causes if all pending crashes were confirmed.
std::set<RequestDigest> CrashMonitor::expectedCauses() const {
  const RequestCrashLedger& known = state_.requestCrashes();
  const bool close =
      std::any_of(known.evidence().begin(), known.evidence().end(),
                  [](const auto& entry) { return RequestCrashLedger::close(entry.second); });
  if (!close || pending_.empty()) {
    return {};
  }
  RequestCrashLedger expected = known;
  for (const auto& [worker, pending] : pending_) {
    const StoreCrash crash = crashOf(worker, pending);
    expected.add(worker, crash.begun, crash.queued);
  }
  return expected.requestsToRefuse();
}

void CrashMonitor::classify(base::TimePoint now) {
  classifiedAt_ = now;
  const RequestCrashLedger& ledger = state_.requestCrashes();
  const std::set<RequestDigest> causes = ledger.requestsToRefuse();
  const std::set<RequestDigest> likelyCauses = expectedCauses();
  for (const auto& [request, evidence] : ledger.evidence()) {
    auto& [latest, since] = evidenceAt_[request];
    if (latest != evidence.lastCrashSequence) {
      latest = evidence.lastCrashSequence;
      since = now;
    }
    if (const auto standing = standingOf(request, evidence, causes, likelyCauses, now)) {
      setStanding(request, *standing, evidence, now);
    }
  }
  release(now);
}

std::optional<RequestStanding> CrashMonitor::standingOf(
    const RequestDigest& request, const RequestCrashLedger::Evidence& evidence,
    const std::set<RequestDigest>& causes, const std::set<RequestDigest>& likelyCauses,
    base::TimePoint now) const {
  if (causes.count(request) != 0) {
    return canQuarantine(request, evidence, now) ? RequestStanding::quarantined
                                                 : RequestStanding::held;
  }
  if (!RequestCrashLedger::close(evidence)) {
    return std::nullopt;
  }
  const std::size_t crashes = evidence.crashes.size() + evidence.crashesWhileQueued.size();
  const bool waitsForSlice = crashes < control::crash::kLimit && !isInTimeSlice(request, now) &&
                             now < evidenceAt_.at(request).second + kTimeSlicingPeriod &&
                             state_.requestCrashes().contested(request);
  return waitsForSlice || likelyCauses.count(request) != 0 ? RequestStanding::held
                                                           : RequestStanding::suspected;
}

bool CrashMonitor::hasOtherSuspects(const RequestDigest& request) const {
  const auto& evidence = state_.requestCrashes().evidence();
  return std::any_of(evidence.begin(), evidence.end(), [&request](const auto& entry) {
    return entry.first != request && RequestCrashLedger::close(entry.second);
  });
}

/// @return true if a request classified as a cause may be quarantined without further delay.
bool CrashMonitor::canQuarantine(const RequestDigest& request,
                                 const RequestCrashLedger::Evidence& evidence,
                                 base::TimePoint now) const {
  const auto known = suspects_.find(request);
  const bool refused =
      known != suspects_.end() && known->second.standing == RequestStanding::quarantined;
  return refused || evidence.crashes.size() != control::crash::kLimit ||
         now >= evidenceAt_.at(request).second + kSettlePeriod || !hasOtherSuspects(request);
}

void CrashMonitor::setStanding(const RequestDigest& request, RequestStanding standing,
                               const RequestCrashLedger::Evidence& evidence, base::TimePoint now) {
  const auto crashes =
      static_cast<std::uint32_t>(evidence.crashes.size() + evidence.crashesWhileQueued.size());
  const auto [found, added] = suspects_.try_emplace(request);
  Suspect& suspect = found->second;
  if (!added && suspect.standing == standing && suspect.crashes == crashes) {
    return;
  }
  const base::Duration former = added ? base::Duration::zero() : now - suspect.since;
  suspect = {standing, crashes, now};
  changed_ = true;
  std::string workers;
  for (const WorkerId& worker : evidence.crashes) {
    append(workers, worker.value);
  }
  log_.write(LogEvent::requestSuspected,
             {{"digest", request.text()},
              {"standing", standingName(standing)},
              {"crashes", std::uint64_t{crashes}},
              {"workers", workers},
              {"queued-at", std::uint64_t{evidence.crashesWhileQueued.size()}},
              {"former-millis", millisOf(former)}});
}

void CrashMonitor::release(base::TimePoint now) {
  const auto& known = state_.requestCrashes().evidence();
  for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
    const auto found = known.find(suspect->first);
    if (found != known.end() && RequestCrashLedger::close(found->second)) {
      ++suspect;
      continue;
    }
    log_.write(LogEvent::requestReleased,
               {{"digest", suspect->first.text()},
                {"standing", standingName(suspect->second.standing)},
                {"former-millis", millisOf(now - suspect->second.since)}});
    suspect = suspects_.erase(suspect);
    changed_ = true;
  }
  std::erase_if(evidenceAt_, [&known](const auto& entry) { return known.count(entry.first) == 0; });
}

void CrashMonitor::ageEvidence(base::TimePoint now) {
  std::vector<RequestDigest> old;
  for (auto& [request, evidence] : evidenceAt_) {
    if (now >= evidence.second + kEvidenceRetention) {
      evidence.second = now;  // Proposes it once, and again only after another such period.
      old.push_back(request);
    }
  }
  if (!old.empty()) {
    commands_.emplace_back(ReleaseSuspects{std::move(old), true});
  }
}

SuspectList CrashMonitor::list(base::TimePoint now) const {
  SuspectList list;
  for (const auto& [request, suspect] : suspects_) {
    const auto evidence = evidenceAt_.find(request);
    const base::TimePoint until =
        suspect.standing == RequestStanding::held || evidence == evidenceAt_.end()
            ? now + kHoldPeriod
            : evidence->second.second + kEvidenceRetention;
    list.requests.push_back({request, suspect.standing, suspect.crashes,
                             std::max(until - now, base::Duration::zero())});
  }
  return list;
}

}  // namespace walnut::registry
