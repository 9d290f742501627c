#include "routing/stream_mover.h"

#include <algorithm>

namespace walnut::routing {

using base::ErrorCode;

namespace {
/// Time before the reclaim of a machine at which a repeatable stream is cancelled and run
/// elsewhere. It may be short, since nothing has to be fetched from the machine.
constexpr base::Duration kRecomputeMargin = std::chrono::seconds(1);
/// Token interval assumed until one was observed; that of a slow engine.
constexpr base::Duration kInitialTokenInterval = std::chrono::milliseconds(50);
}  // namespace

void StreamMover::engineChanged(const base::EngineId& engine) {
  for (Request* request : core_.requests.onEngine(engine)) {
    reconsider(*request);
  }
}

base::Duration StreamMover::remainingTime(const Request& request) const {
  const auto target = core_.targets.find(request.caller.target);
  const base::Duration usual = target->second.tokenInterval.valueOr(kInitialTokenInterval);
  const base::Duration interval = request.attempt->tokenInterval.valueOr(usual);
  const std::uint32_t delivered = request.machine.deliveredCount();
  const std::uint32_t left =
      request.caller.maxTokens > delivered ? request.caller.maxTokens - delivered : 0;
  return interval * static_cast<base::Duration::rep>(left);
}

bool StreamMover::otherReplicaReady(const Request& request) const {
  const Attempt& attempt = *request.attempt;
  const std::vector<ReadyReplica>& ready = core_.view.readyReplicas(attempt.servable);
  return std::any_of(ready.begin(), ready.end(), [&](const ReadyReplica& replica) {
    return replica.engine != attempt.engine && core_.selector.selectable(core_.now, replica);
  });
}

bool StreamMover::isServed(const Request& request) const {
  return core_.view.resolve(request.caller.target).has_value();
}

bool StreamMover::canBeParked(const Request& request) const {
  return !request.caller.repeatable &&
         parker_.canBecomeReady(request.caller.target, request.attempt->servable) &&
         parker_.canPark(request.attempt->engine);
}

void StreamMover::reconsider(Request& request) {
  if (request.machine.state() != RequestState::streaming) {
    lifecycle_.setMoveAt(request, base::kNever);
    return;
  }
  const resource::Engine* engine = core_.view.engine(request.attempt->engine);
  const bool reclaimed = engine != nullptr && engine->reclaimAt.has_value();
  if (!reclaimed) {
    lifecycle_.setNeedsReplica(request, false);
    lifecycle_.setMoveAt(request, base::kNever);
    return;
  }
  const base::Duration margin = request.caller.repeatable ? kRecomputeMargin : kReclaimMargin;
  const base::TimePoint moveDeadline = *engine->reclaimAt - margin;
  const base::TimePoint soon = core_.now + kRecheckInterval;
  if (core_.now + remainingTime(request) <= moveDeadline) {
    // The estimate may be wrong: check again after half of the time.
    lifecycle_.setNeedsReplica(request, false);
    lifecycle_.setMoveAt(request, std::max(soon, core_.now + (moveDeadline - core_.now) / 2));
    return;
  }
  const bool lastMoment = core_.now >= moveDeadline;
  const bool exportsNow = otherReplicaReady(request) || (lastMoment && canBeParked(request));
  if (!request.cannotMove && exportsNow) {
    beginExport(request);
    return;
  }
  lifecycle_.setNeedsReplica(request, true);
  if (!lastMoment) {
    lifecycle_.setMoveAt(request, std::min(soon, moveDeadline));
  } else if (request.caller.repeatable && isServed(request)) {
    attempts_.recompute(request);
  } else {
    // It may still end in time, or another engine may come.
    lifecycle_.setMoveAt(request, soon);
  }
}

void StreamMover::beginExport(Request& request) {
  const Attempt& attempt = *request.attempt;
  lifecycle_.setNeedsReplica(request, false);
  lifecycle_.setMoveAt(request, base::kNever);
  request.machine.enter(RequestState::exporting);
  request.move = std::make_unique<Move>();
  request.move->source = attempt;
  request.move->holder = {attempt.engine, attempt.endpoint,
                          core_.view.engine(attempt.engine)->incarnation};
  core_.actions.emplace_back(
      ExportAttempt{attempt.engine, attempt.endpoint, {request.caller.request, attempt.id}});
  lifecycle_.setPhaseDeadline(request, core_.now + core_.options.tokenTimeout);
}

void StreamMover::handleExported(const EngineExported& event) {
  Request* request = core_.requests.find(event.request);
  const bool awaited = request != nullptr && request->machine.state() == RequestState::exporting &&
                       request->attempt->id == event.attempt && !request->move->offset.has_value();
  if (!awaited) {
    return;
  }
  if (event.result.has_error()) {
    handleExportRefusal(*request, event.result.error());
    return;
  }
  const engine::ExportReply& reply = event.result.value();
  Move& move = *request->move;
  move.offset = reply.offset;
  move.kvSource = {move.source.endpoint, reply.handle};
  const std::uint32_t delivered = request->machine.deliveredCount();
  if (reply.offset == delivered) {
    attempts_.detach(*request);
  } else if (reply.offset < delivered || move.sourceFailed) {
    attempts_.fail(*request, {{ErrorCode::streamBroken, "", "the export does not fit the stream"},
                              false,
                              AttemptEnd::cancelled});
  }
}

void StreamMover::handleExportRefusal(Request& request, const base::Error& error) {
  if (request.move->sourceFailed) {
    attempts_.fail(request, {error, true, AttemptEnd::cancelled});
    return;
  }
  request.move.reset();
  request.cannotMove = true;
  request.machine.enter(RequestState::streaming);
  lifecycle_.setPhaseDeadline(request, core_.now + core_.options.tokenTimeout);
  reconsider(request);
}

void StreamMover::handleExportTimeout(Request& request) {
  attempts_.fail(request,
                 {{ErrorCode::timedOut, "", "no export in time"}, true, AttemptEnd::cancelled});
}

}  // namespace walnut::routing
