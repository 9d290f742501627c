#include "routing/request_lifecycle.h"

namespace walnut::routing {

void RequestLifecycle::enqueue(Request& request) {
  request.phaseDeadline = base::kNever;
  // The engine that has its exported state may leave: see StateParker.
  request.moveAt = waitsWithExportedState(request) ? core_.now : base::kNever;
  core_.requests.arm(request);
  core_.queue.push(request);
  core_.demand.markChanged(request.caller.target);
  core_.dispatchDue.insert(request.caller.target);
}

void RequestLifecycle::dequeue(Request& request) {
  core_.queue.remove(request);
  core_.demand.markChanged(request.caller.target);
}

void RequestLifecycle::reserveSlot(Request& request, const ReadyReplica& replica,
                                   const resource::Servable& servable) {
  request.attempt =
      Attempt{{}, replica.engine, replica.endpoint, replica.id, servable, core_.now, core_.now, {}};
  core_.selector.takeSlot(replica.engine, replica.id);
  core_.requests.attach(request, replica.engine);
  ++core_.targets[request.caller.target].running;
  core_.demand.markChanged(request.caller.target);
}

void RequestLifecycle::releaseAttempt(Request& request, AttemptEnd end) {
  if (!request.attempt.has_value()) {
    return;
  }
  const Attempt& attempt = *request.attempt;
  const bool wasDispatched = attempt.id != base::AttemptId{};
  if (wasDispatched && end == AttemptEnd::cancelled) {
    core_.actions.emplace_back(
        CancelAttempt{attempt.engine, attempt.endpoint, {request.caller.request, attempt.id}});
  }
  if (wasDispatched) {
    // A circuit breaker trial that ended by its deadline or its caller has no outcome; it is over.
    core_.selector.recordNoOutcome(core_.now, attempt.engine);
  }
  core_.selector.freeSlot(attempt.engine, attempt.replica);
  core_.requests.detach(request, attempt.engine);
  --core_.targets[request.caller.target].running;
  core_.demand.markChanged(request.caller.target);
  core_.dispatchDue.insert(request.caller.target);
  request.attempt.reset();
  setNeedsReplica(request, false);
  request.moveAt = base::kNever;
}

void RequestLifecycle::dropMove(Request& request) {
  if (request.move != nullptr && request.move->detached) {
    dropKeptState(request);
    const Move& move = *request.move;
    const engine::CancelRequest cancel{request.caller.request, move.source.id};
    core_.actions.emplace_back(CancelAttempt{move.holder.engine, move.holder.endpoint, cancel});
    if (move.pendingHolder.has_value()) {
      core_.actions.emplace_back(
          CancelAttempt{move.pendingHolder->engine, move.pendingHolder->endpoint, cancel});
    }
  }
  request.move.reset();
}

void RequestLifecycle::dropKeptState(Request& request) {
  Move& move = *request.move;
  if (move.localCopy == LocalCopy::no) {
    return;
  }
  move.localCopy = LocalCopy::no;
  --core_.storedStates;
  core_.actions.emplace_back(DiscardState{request.caller.request, move.source.id});
}

void RequestLifecycle::setPhaseDeadline(Request& request, base::TimePoint at) {
  request.phaseDeadline = at;
  core_.requests.arm(request);
}

void RequestLifecycle::setMoveAt(Request& request, base::TimePoint at) {
  request.moveAt = at;
  core_.requests.arm(request);
}

void RequestLifecycle::setNeedsReplica(Request& request, bool needs) {
  if (request.needsReplica == needs) {
    return;
  }
  request.needsReplica = needs;
  Target& target = core_.targets[request.caller.target];
  if (needs) {
    ++target.needingReplica;
  } else {
    --target.needingReplica;
  }
  core_.demand.markChanged(request.caller.target);
}

void RequestLifecycle::remove(Request& request, AttemptEnd end) {
  if (request.machine.state() == RequestState::queued) {
    dequeue(request);
  }
  releaseAttempt(request, end);
  setNeedsReplica(request, false);
  dropMove(request);
  request.machine.enter(RequestState::done);
  core_.requests.erase(request);
}

void RequestLifecycle::end(Request& request, engine::FinishReason reason) {
  core_.actions.emplace_back(
      CallerEnded{request.caller.request, request.machine.deliveredCount(), reason, request.cold});
  remove(request, AttemptEnd::byEngine);
}

void RequestLifecycle::refuse(Request& request, const Refusal& refusal) {
  core_.actions.emplace_back(CallerRefused{request.caller.request, refusal.error, refusal.retryable,
                                           request.machine.executed(), refusal.retryAfter});
  remove(request, AttemptEnd::cancelled);
}

void RequestLifecycle::abandon(Request& request) { remove(request, AttemptEnd::cancelled); }

bool RequestLifecycle::waitsWithExportedState(const Request& request) {
  return request.machine.state() == RequestState::queued && !request.caller.repeatable &&
         request.move != nullptr && request.move->detached;
}

bool RequestLifecycle::canBeResent(const Request& request) {
  return request.caller.repeatable || request.machine.executed() == Executed::no;
}

}  // namespace walnut::routing
