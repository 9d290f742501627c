#include "routing/dispatcher.h"

#include <algorithm>
#include <utility>

namespace walnut::routing {

using base::ErrorCode;

namespace {
/// Polling interval while the circuit breaker's trial at the only engine is in progress.
constexpr base::Duration kDispatchPoll = std::chrono::milliseconds(50);
/// Retry delay for callers whose claim was not answered.
constexpr base::Duration kRetryAfter = std::chrono::seconds(1);
}  // namespace

void Dispatcher::run() {
  if (!core_.dispatchWhenConfirmed.empty() && core_.canServe()) {
    core_.dispatchDue.merge(core_.dispatchWhenConfirmed);
    core_.dispatchWhenConfirmed.clear();
  }
  while (!core_.dispatchLater.empty() && core_.dispatchLater.begin()->first <= core_.now) {
    const std::string name = core_.dispatchLater.begin()->second;
    setDispatchAt(name, base::kNever);
    core_.dispatchDue.insert(name);
  }
  while (!core_.dispatchDue.empty()) {
    const std::string name = *core_.dispatchDue.begin();
    core_.dispatchDue.erase(core_.dispatchDue.begin());
    dispatch(name);
  }
}

base::TimePoint Dispatcher::nextWakeup() const {
  return core_.dispatchLater.empty() ? base::kNever : core_.dispatchLater.begin()->first;
}

void Dispatcher::setDispatchAt(const std::string& name, base::TimePoint at) {
  Target& target = core_.targets[name];
  if (target.dispatchAt == at) {
    return;
  }
  core_.dispatchLater.erase({target.dispatchAt, name});
  target.dispatchAt = at;
  if (at != base::kNever) {
    core_.dispatchLater.emplace(at, name);
  }
}

void Dispatcher::updateReadiness(const std::string& name, bool ready) {
  Target& target = core_.targets[name];
  const bool waiting = core_.queue.target(name).size() > 0;
  if (ready) {
    if (target.coldSince.has_value() && (waiting || core_.now < target.refusedDemandUntil)) {
      target.loadTimes.observe(core_.now, core_.now - *target.coldSince);
    }
    target.coldSince.reset();
    target.refusedDemandUntil = std::min(target.refusedDemandUntil, core_.now);
    return;
  }
  if (waiting && !target.coldSince.has_value()) {
    target.coldSince = core_.now;
    core_.demand.markChanged(name);
    core_.demand.requestUrgentReport(core_.now);
  }
  if (!waiting && core_.now >= target.refusedDemandUntil) {
    target.coldSince.reset();  // Demand is no longer reported, so the load may be cancelled.
  }
}

void Dispatcher::refuseUnserved(const std::string& name) {
  while (core_.queue.target(name).size() > 0) {
    Request& request = *core_.queue.target(name).entries().begin()->request;
    const bool run = request.machine.executed() != Executed::no;
    const ErrorCode code = run ? ErrorCode::streamBroken : ErrorCode::unknownModel;
    lifecycle_.refuse(request, {{code, "model", "the model or adapter is no longer served"}});
  }
  setDispatchAt(name, base::kNever);
  const auto target = core_.targets.find(name);
  if (target->second.running == 0 && target->second.needingReplica == 0) {
    core_.targets.erase(target);
  }
}

void Dispatcher::dispatch(const std::string& name) {
  const std::optional<resource::Servable> servable = core_.view.resolve(name);
  if (!servable.has_value()) {
    refuseUnserved(name);
    return;
  }
  updateReadiness(name, core_.view.hasReadyReplica(*servable));
  if (!core_.canServe()) {
    // An engine may have started to leave, or the model may have changed, without this router being
    // informed.
    core_.dispatchWhenConfirmed.insert(name);
    setDispatchAt(name, base::kNever);
    return;
  }
  const std::set<resource::Servable> blocked = serveQueue(name, *servable);
  scheduleRetry(name, blocked);
}

void Dispatcher::scheduleRetry(const std::string& name,
                               const std::set<resource::Servable>& blocked) {
  base::TimePoint at = base::kNever;
  for (const resource::Servable& servable : blocked) {
    at = std::min(at, core_.selector.retryAt(core_.now, core_.view.readyReplicas(servable)));
  }
  setDispatchAt(name, at == base::kNever ? at : std::max(at, core_.now + kDispatchPoll));
}

std::set<resource::Servable> Dispatcher::serveQueue(const std::string& name,
                                                    const resource::Servable& current) {
  std::set<resource::Servable> blocked;
  const TargetQueue& queue = core_.queue.target(name);
  std::size_t left = queue.size();
  for (auto entry = queue.entries().begin(); left > 0; --left) {
    Request& request = *entry->request;
    ++entry;  // Invariant: `entry` is not the entry that is removed below.
    const resource::Servable needed = request.pinned.value_or(current);
    if (blocked.contains(needed)) {
      if (queueEntry(request).rank == QueueRank::resumed) {
        continue;
      }
      break;  // All following requests need the current servable as well.
    }
    if (request.prefixHashes.empty()) {
      request.prefixHashes = prefixHashes(needed, request.caller.prompt);
    }
    const std::optional<ReadyReplica> chosen = core_.selector.choose(
        core_.now, core_.view.readyReplicas(needed), {request.prefixHashes, request.failedEngine});
    if (chosen.has_value()) {
      begin(request, *chosen, needed);
    } else {
      blocked.insert(needed);
    }
  }
  return blocked;
}

void Dispatcher::begin(Request& request, const ReadyReplica& replica,
                       const resource::Servable& servable) {
  lifecycle_.dequeue(request);
  lifecycle_.reserveSlot(request, replica, servable);
  if (!request.caller.repeatable && !request.claimed) {
    request.machine.enter(RequestState::claiming);
    claims_.startClaim(request);
    return;
  }
  start(request);
}

void Dispatcher::start(Request& request) {
  Attempt& attempt = *request.attempt;
  attempt.id = base::AttemptId{core_.nextAttempt++};
  attempt.dispatchedAt = core_.now;
  attempt.lastTokenAt = core_.now;
  if (request.attempts == 0) {
    core_.retryBudget.firstAttempt(core_.now);
  }
  ++request.attempts;
  request.machine.enter(RequestState::starting);
  request.machine.markDispatched();
  core_.selector.recordDispatch(attempt.engine, request.prefixHashes);
  engine::GenerateRequest generate;
  generate.request = request.caller.request;
  generate.attempt = attempt.id;
  generate.servable = attempt.servable;
  generate.prompt = request.caller.prompt;
  generate.maxTokens = request.caller.maxTokens;
  generate.offset = request.machine.deliveredCount();
  generate.priority = request.caller.priority;
  if (request.move != nullptr) {
    generate.kvSource = request.move->kvSource;
  }
  if (request.caller.repeatable) {
    // The text is left out for a request that must not be repeated, so that no engine can recompute
    // its tokens.
    generate.delivered = request.machine.deliveredText();
  }
  core_.actions.emplace_back(StartAttempt{attempt.engine, attempt.endpoint, std::move(generate)});
  lifecycle_.setPhaseDeadline(request, core_.now + core_.options.startTimeout);
}

void Dispatcher::handleClaimAnswer(const ClaimAnswer& answer) {
  Request& request = *answer.request;
  claims_.removeRequest(request);
  switch (answer.outcome) {
    case control::ClaimOutcome::granted:
      break;
    case control::ClaimOutcome::duplicate:
      // It is not known here whether the other request with this key was executed.
      core_.actions.emplace_back(CallerRefused{
          request.caller.request,
          {ErrorCode::duplicateRequest, "idempotency_key", "claimed by another request"},
          false,
          Executed::unknown});
      lifecycle_.abandon(request);
      return;
    case control::ClaimOutcome::expired:
      lifecycle_.refuse(
          request, {{ErrorCode::claimExpired, "issued_at", "before the claim window of the cell"}});
      return;
    case control::ClaimOutcome::unavailable:
      return;
  }
  request.claimed = true;
  const std::vector<ReadyReplica>& ready = core_.view.readyReplicas(request.attempt->servable);
  const bool isStillReady = std::any_of(ready.begin(), ready.end(), [&](const ReadyReplica& one) {
    return one.id == request.attempt->replica;
  });
  if (isStillReady && !core_.selector.isLeaving(request.attempt->engine) && core_.canServe()) {
    start(request);
    return;
  }
  lifecycle_.releaseAttempt(request, AttemptEnd::byEngine);
  request.machine.enter(RequestState::queued);
  lifecycle_.enqueue(request);
}

void Dispatcher::handleClaimTimeout(Request& request) {
  if (claims_.retryClaim(request)) {
    return;
  }
  claims_.removeRequest(request);
  lifecycle_.refuse(request, {{ErrorCode::claimUnavailable, "",
                               "the cell did not answer the claim of the idempotency key"},
                              true,
                              kRetryAfter});
}

}  // namespace walnut::routing
