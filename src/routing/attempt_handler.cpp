#include "routing/attempt_handler.h"

#include <algorithm>

namespace walnut::routing {

using base::ErrorCode;
using engine::GenerateFailed;

namespace {
/// A time-out that fires later than this shows that the process was frozen.
constexpr base::Duration kFreezeThreshold = std::chrono::seconds(1);
constexpr base::Duration kPostFreezeGrace = std::chrono::seconds(1);
constexpr std::uint32_t kMaxBackoffDoublings = 16;
/// Maximum time for which a retry waits for the budget. After two windows, the retries that
/// exhausted the budget no longer count.
constexpr base::Duration kMaxBudgetWait = 2 * RetryBudget::kWindow;

/// @return whether the error indicates a fault of the engine. An engine that answers is healthy.
bool isEngineFault(ErrorCode code) {
  switch (code) {
    case ErrorCode::engineOverloaded:
    case ErrorCode::engineLeaving:
    case ErrorCode::modelNotLoaded:
    case ErrorCode::unknownAttempt:
    case ErrorCode::malformedInput:
    case ErrorCode::inputTooLarge:
    case ErrorCode::outOfRange:
      return false;
    default:
      return true;
  }
}

/// @return whether no replica was there to attempt the request: its engine is gone, is leaving, or
/// has lost the replica, and the cell has yet to detect it.
bool isReplicaMissing(ErrorCode code) {
  return code == ErrorCode::connectFailed || code == ErrorCode::engineLeaving ||
         code == ErrorCode::modelNotLoaded;
}

}  // namespace

Request* AttemptHandler::find(const base::RequestId& request, base::AttemptId attempt) {
  Request* found = core_.requests.find(request);
  const bool current =
      found != nullptr && found->attempt.has_value() && found->attempt->id == attempt;
  return current && attempt != base::AttemptId{} ? found : nullptr;
}

void AttemptHandler::handleEvent(const engine::GenerateEvent& event) {
  std::visit(
      [this](const auto& body) {
        Request* request = find(body.request, body.attempt);
        if (request != nullptr) {
          handle(*request, body);
        }
      },
      event);
}

void AttemptHandler::enterStreaming(Request& request) {
  request.machine.markStarted();
  if (request.machine.state() != RequestState::starting) {
    return;
  }
  request.machine.enter(RequestState::streaming);
  core_.selector.recordSuccess(request.attempt->engine);
  core_.dispatchDue.insert(request.caller.target);  // The circuit breaker may have closed.
  lifecycle_.dropMove(request);                     // The new engine has imported the export.
  const resource::Engine* engine = core_.view.engine(request.attempt->engine);
  if (engine != nullptr && engine->reclaimAt.has_value()) {
    lifecycle_.setMoveAt(request, core_.now);
  }
}

void AttemptHandler::handle(Request& request, const engine::GenerateStarted& event) {
  core_.selector.recordLoad(core_.now, request.attempt->engine, event.load);
  enterStreaming(request);
  if (request.machine.state() == RequestState::streaming) {
    request.timeoutExtended = false;
    lifecycle_.setPhaseDeadline(request, core_.now + core_.options.tokenTimeout);
  }
}

void AttemptHandler::handle(Request& request, const engine::GenerateToken& event) {
  enterStreaming(request);
  switch (request.machine.checkToken(event.offset)) {
    case TokenCheck::duplicate:
      return;
    case TokenCheck::gap:
      fail(request,
           {{ErrorCode::streamBroken, "", "a token is missing"}, true, AttemptEnd::cancelled});
      return;
    case TokenCheck::deliver:
      break;
  }
  Attempt& attempt = *request.attempt;
  Target& target = core_.targets[request.caller.target];
  const base::Duration sinceLast = core_.now - attempt.lastTokenAt;
  if (attempt.lastTokenAt == attempt.dispatchedAt) {
    target.startLatency.observe(sinceLast);
  } else {
    target.tokenInterval.observe(sinceLast);
    attempt.tokenInterval.observe(sinceLast);
  }
  attempt.lastTokenAt = core_.now;
  request.machine.deliver(event.text);
  request.pinned = attempt.servable;
  core_.actions.emplace_back(CallerToken{request.caller.request, event.offset, event.text});
  if (request.machine.state() == RequestState::streaming) {
    request.timeoutExtended = false;
    lifecycle_.setPhaseDeadline(request, core_.now + core_.options.tokenTimeout);
    return;
  }
  if (request.move->offset == request.machine.deliveredCount()) {
    detach(request);
  }
}

void AttemptHandler::handle(Request& request, const engine::GenerateEnded& event) {
  core_.selector.recordLoad(core_.now, request.attempt->engine, event.load);
  enterStreaming(request);
  if (event.tokenCount != request.machine.deliveredCount()) {
    fail(request, {{ErrorCode::streamBroken, "", "the engine's count of tokens differs"}, true});
    return;
  }
  Target& target = core_.targets[request.caller.target];
  target.serviceTime.observe(core_.now - request.attempt->dispatchedAt);
  lifecycle_.end(request, event.reason);
}

void AttemptHandler::handle(Request& request, const engine::GenerateFailed& event) {
  const bool exporting = request.machine.state() == RequestState::exporting;
  if (exporting && !request.move->offset.has_value()) {
    request.move->sourceFailed = true;  // The engine's answer to the export is still pending.
    return;
  }
  if (event.started == GenerateFailed::Started::yes) {
    request.machine.markStarted();
  } else if (event.started == GenerateFailed::Started::no ||
             event.error.code == ErrorCode::connectFailed) {
    request.machine.markNotStarted();
  }
  fail(request, {event.error, isEngineFault(event.error.code)});
}

void AttemptHandler::recordRefusal(const base::EngineId& engine, ErrorCode code) {
  if (code == ErrorCode::engineLeaving) {
    const resource::Engine* known = core_.view.engine(engine);
    core_.selector.markLeaving(engine, known == nullptr ? base::Incarnation{} : known->incarnation);
  } else if (code == ErrorCode::modelNotLoaded) {
    core_.selector.recordMissingReplica(core_.now, engine);
  } else if (code == ErrorCode::engineOverloaded) {
    core_.selector.avoidUntil(engine,
                              core_.now + core_.random.between(core_.options.retryBackoffMin,
                                                               4 * core_.options.retryBackoffMin));
  }
}

bool AttemptHandler::canRunAgain(const Request& request) const {
  if (RequestLifecycle::canBeResent(request)) {
    return true;
  }
  // An exported run that the other engine did not resume is still the same run.
  return request.move != nullptr && request.move->detached && !request.machine.attemptMayHaveRun();
}

void AttemptHandler::fail(Request& request, const AttemptFailure& failure) {
  const base::EngineId engine = request.attempt->engine;
  recordRefusal(engine, failure.error.code);
  if (failure.engineFault) {
    core_.selector.recordFailure(core_.now, engine);
  }
  request.failedEngine = engine;
  lifecycle_.releaseAttempt(request, failure.end);
  if (request.caller.repeatable || request.machine.attemptMayHaveRun()) {
    lifecycle_.dropMove(request);  // A repeatable request is recomputed rather than imported again.
  }
  const bool counted = !isReplicaMissing(failure.error.code) || request.machine.attemptMayHaveRun();
  request.failedAttempts += counted ? 1 : 0;
  if (!canRunAgain(request) || request.failedAttempts >= core_.options.maxAttempts) {
    giveUp(request, failure.error);
  } else if (!counted) {
    backOff(request, 0);
  } else {
    retry(request, failure.error);
  }
}

void AttemptHandler::retry(Request& request, const base::Error& error) {
  if (core_.retryBudget.takeRetry(core_.now)) {
    backOff(request, request.failedAttempts - 1);
  } else if (error.code == ErrorCode::engineOverloaded) {
    giveUp(request, error);
  } else {
    request.pendingRetry = PendingRetry{error, core_.now + kMaxBudgetWait};
    backOff(request, kMaxBackoffDoublings);
  }
}

void AttemptHandler::retryPending(Request& request) {
  const PendingRetry pending = *request.pendingRetry;
  if (core_.retryBudget.takeRetry(core_.now)) {
    request.pendingRetry.reset();
    request.machine.enter(RequestState::queued);
    lifecycle_.enqueue(request);
  } else if (core_.now >= pending.retryUntil) {
    giveUp(request, pending.failure);
  } else {
    lifecycle_.setPhaseDeadline(request,
                                core_.now + backoffWithJitter(core_.options.retryBackoffMax));
  }
}

base::Duration AttemptHandler::backoffWithJitter(base::Duration ceiling) {
  return core_.random.between(ceiling / 2, ceiling);
}

void AttemptHandler::backOff(Request& request, std::uint32_t doublings) {
  const base::Duration ceiling =
      std::min(core_.options.retryBackoffMax,
               core_.options.retryBackoffMin * (1U << std::min(doublings, kMaxBackoffDoublings)));
  request.machine.enter(RequestState::backingOff);
  lifecycle_.setPhaseDeadline(request, core_.now + backoffWithJitter(ceiling));
}

void AttemptHandler::giveUp(Request& request, const base::Error& error) {
  ErrorCode code = ErrorCode::engineFailed;
  if (request.machine.deliveredCount() > 0) {
    code = ErrorCode::streamBroken;
  } else if (error.code == ErrorCode::engineOverloaded) {
    code = ErrorCode::noCapacity;
  }
  const bool retryable = RequestLifecycle::canBeResent(request);
  const base::Duration retryAfter = retryable ? core_.options.retryBackoffMax : base::Duration(0);
  const std::string detail = std::string(base::errorCodeName(error.code)) + ": " + error.detail;
  lifecycle_.refuse(request, {{code, error.field, detail}, retryable, retryAfter});
}

bool AttemptHandler::extendAfterFreeze(Request& request) {
  if (request.timeoutExtended || core_.now - request.phaseDeadline < kFreezeThreshold) {
    return false;
  }
  request.timeoutExtended = true;
  lifecycle_.setPhaseDeadline(request, core_.now + kPostFreezeGrace);
  return true;
}

void AttemptHandler::handlePhaseTimeout(Request& request) {
  if (request.machine.state() == RequestState::backingOff) {
    if (request.pendingRetry.has_value()) {
      retryPending(request);
      return;
    }
    request.machine.enter(RequestState::queued);
    lifecycle_.enqueue(request);
    return;
  }
  if (extendAfterFreeze(request)) {
    return;
  }
  const char* awaited =
      request.machine.state() == RequestState::starting ? "no start" : "no token in time";
  fail(request, {{ErrorCode::timedOut, "", awaited}, true, AttemptEnd::cancelled});
}

void AttemptHandler::detach(Request& request) {
  request.move->detached = true;
  request.failedEngine = request.attempt->engine;
  lifecycle_.releaseAttempt(request, AttemptEnd::byEngine);
  request.machine.enter(RequestState::queued);
  lifecycle_.enqueue(request);
}

void AttemptHandler::recompute(Request& request) {
  request.failedEngine = request.attempt->engine;
  lifecycle_.releaseAttempt(request, AttemptEnd::cancelled);
  lifecycle_.dropMove(request);
  request.machine.enter(RequestState::backingOff);
  lifecycle_.setPhaseDeadline(request, core_.now);
}

}  // namespace walnut::routing
