#include "routing/state_parker.h"

#include <algorithm>

namespace walnut::routing {

using base::ErrorCode;

namespace {

/// Time-out of a hold; longer than the driver's own time-out of the call.
constexpr base::Duration kHoldTimeout = std::chrono::seconds(3);
/// Time after its reclaim for which a machine is still assumed to run, unless the cell reports that
/// it is gone: clocks differ, and a fetch that fails does no harm.
constexpr base::Duration kReclaimSlack = std::chrono::seconds(2);

/// @return whether it is certain that the engine holds nothing.
bool isDefiniteRefusal(ErrorCode code) {
  switch (code) {
    case ErrorCode::engineOverloaded:
    case ErrorCode::engineLeaving:
    case ErrorCode::unknownAttempt:
    case ErrorCode::connectFailed:
      return true;
    default:
      return false;
  }
}

StateHolder makeHolder(const resource::Engine& engine) {
  return {engine.id, engine.endpoint, engine.incarnation};
}

}  // namespace

bool StateParker::isGone(const StateHolder& holder) const {
  const resource::Engine* engine = core_.view.engine(holder.engine);
  return engine == nullptr || engine->incarnation != holder.incarnation ||
         (engine->reclaimAt.has_value() && *engine->reclaimAt + kReclaimSlack <= core_.now);
}

base::TimePoint StateParker::moveDeadline(const StateHolder& holder) const {
  const resource::Engine& engine = *core_.view.engine(holder.engine);
  if (engine.reclaimAt.has_value()) {
    return *engine.reclaimAt - kReclaimMargin;
  }
  const bool stays = core_.view.takesWork(engine) && !core_.selector.isLeaving(holder.engine);
  return stays ? base::kNever : core_.now;
}

bool StateParker::replicaReady(const Request& request) const {
  const std::vector<ReadyReplica>& ready = core_.view.readyReplicas(*request.pinned);
  return std::any_of(ready.begin(), ready.end(), [&](const ReadyReplica& replica) {
    return core_.selector.selectable(core_.now, replica);
  });
}

void StateParker::checkHolder(Request& request) {
  if (endIfUnservable(request)) {
    return;
  }
  const StateHolder& holder = request.move->holder;
  if (isGone(holder)) {
    giveUp(request, "the engine that had the exported state of the stream is gone");
    return;
  }
  // A request that finds a replica leaves the queue before this step ends.
  const bool resumesNow = core_.canServe() && replicaReady(request);
  if (core_.now < moveDeadline(holder) || resumesNow) {
    lifecycle_.setMoveAt(request, core_.now + kRecheckInterval);
    return;
  }
  park(request);
}

void StateParker::park(Request& request) {
  Move& move = *request.move;
  const std::optional<StateHolder> holder = chooseHolder(move);
  if (holder.has_value()) {
    beginParking(request);
    requestHold(request, *holder);
  } else if (canStoreLocally()) {
    beginParking(request);
    storeLocally(request);
  } else {
    move.refusingEngines.clear();  // They may have free capacity by then.
    lifecycle_.setMoveAt(request, core_.now + kRecheckInterval);
  }
}

void StateParker::beginParking(Request& request) {
  lifecycle_.dequeue(request);
  request.machine.enter(RequestState::parking);
  lifecycle_.setMoveAt(request, base::kNever);
  lifecycle_.setNeedsReplica(request, true);
}

void StateParker::storeLocally(Request& request) {
  Move& move = *request.move;
  move.localCopy = LocalCopy::fetching;
  ++core_.storedStates;
  core_.actions.emplace_back(StoreState{request.caller.request, move.source.id, move.kvSource});
  lifecycle_.setPhaseDeadline(request, core_.now + kHoldTimeout);
}

void StateParker::handleKept(const StateStored& event) {
  Request* request = core_.requests.find(event.request);
  const bool awaited = request != nullptr && request->machine.state() == RequestState::parking &&
                       request->move->source.id == event.attempt &&
                       request->move->localCopy == LocalCopy::fetching;
  if (!awaited) {
    return;
  }
  if (event.result.has_error()) {
    lifecycle_.dropKeptState(*request);
    returnToQueue(*request);
    return;
  }
  request->move->localCopy = LocalCopy::kept;
  uploadState(*request);
}

void StateParker::uploadState(Request& request) {
  const std::optional<StateHolder> holder = chooseHolder(*request.move);
  if (holder.has_value()) {
    requestHold(request, *holder);
    return;
  }
  request.move->refusingEngines.clear();
  lifecycle_.setPhaseDeadline(request, core_.now + kRecheckInterval);
}

void StateParker::requestHold(Request& request, const StateHolder& holder) {
  Move& move = *request.move;
  move.pendingHolder = holder;
  const base::RequestId& id = request.caller.request;
  if (move.localCopy == LocalCopy::kept) {
    core_.actions.emplace_back(UploadState{holder.engine, holder.endpoint, {id, move.source.id}});
  } else {
    core_.actions.emplace_back(
        HoldState{holder.engine, holder.endpoint, {id, move.source.id, move.kvSource}});
  }
  lifecycle_.setPhaseDeadline(request, core_.now + kHoldTimeout);
}

void StateParker::handleParkingTimer(Request& request) {
  if (endIfUnservable(request)) {
    return;
  }
  Move& move = *request.move;
  if (move.localCopy == LocalCopy::fetching) {
    lifecycle_.dropKeptState(request);
    returnToQueue(request);
  } else if (!move.pendingHolder.has_value()) {
    uploadState(request);
  } else if (isGone(*move.pendingHolder)) {
    handleHoldRefusal(request, {ErrorCode::connectFailed, "", "the engine is gone"});
  } else {
    requestHold(request, *move.pendingHolder);
  }
}

void StateParker::handleHeld(const StateHoldAnswered& event) {
  Request* request = core_.requests.find(event.request);
  const bool awaited = request != nullptr && request->machine.state() == RequestState::parking &&
                       request->move->source.id == event.attempt &&
                       request->move->pendingHolder.has_value() &&
                       request->move->pendingHolder->engine == event.engine;
  if (!awaited) {
    return;
  }
  if (event.result.has_error()) {
    const base::Error& error = event.result.error();
    if (isDefiniteRefusal(error.code)) {
      handleHoldRefusal(*request, error);
    } else {
      lifecycle_.setPhaseDeadline(*request, core_.now + kRecheckInterval);
    }
    return;
  }
  Move& move = *request->move;
  move.holder = *move.pendingHolder;
  move.kvSource = {move.holder.endpoint, event.result.value().handle};
  move.pendingHolder.reset();
  move.refusingEngines.clear();
  lifecycle_.dropKeptState(*request);
  returnToQueue(*request);
}

void StateParker::handleHoldRefusal(Request& request, const base::Error& error) {
  Move& move = *request.move;
  if (error.code == ErrorCode::engineLeaving) {
    core_.selector.markLeaving(move.pendingHolder->engine, move.pendingHolder->incarnation);
  }
  move.refusingEngines.insert(move.pendingHolder->engine);
  move.pendingHolder.reset();
  if (move.localCopy == LocalCopy::kept) {
    uploadState(request);
  } else {
    returnToQueue(request);
  }
}

void StateParker::returnToQueue(Request& request) {
  lifecycle_.setNeedsReplica(request, false);
  request.machine.enter(RequestState::queued);
  lifecycle_.enqueue(request);
}

void StateParker::giveUp(Request& request, const char* detail) {
  lifecycle_.refuse(request, {{ErrorCode::streamBroken, "", detail}});
}

bool StateParker::endIfUnservable(Request& request) {
  if (canBecomeReady(request.caller.target, *request.pinned)) {
    return false;
  }
  giveUp(request, "the version that the stream began with is no longer declared");
  return true;
}

bool StateParker::canBecomeReady(const std::string& target,
                                 const resource::Servable& servable) const {
  if (core_.view.hasReadyReplica(servable)) {
    return true;
  }
  const std::optional<resource::Servable> current = core_.view.resolve(target);
  return current.has_value() && (current == servable || core_.view.declaresVersion(servable));
}

bool StateParker::canHold(const resource::Engine& engine) const {
  const ReadyReplica anyReplica{{}, engine.id, engine.endpoint, engine.zone};
  return engine.incarnation != base::Incarnation{} && !engine.reclaimAt.has_value() &&
         core_.selector.selectable(core_.now, anyReplica);
}

bool StateParker::canPark(const base::EngineId& source) const {
  if (canStoreLocally()) {
    return true;
  }
  const std::vector<const resource::Engine*> engines = core_.view.enginesThatTakeWork();
  const bool anyHolder = std::any_of(
      engines.begin(), engines.end(),
      [&](const resource::Engine* engine) { return engine->id != source && canHold(*engine); });
  return core_.canServe() && anyHolder;
}

/// Chooses an engine of the source's machine class if there is one: pools consist of classes, so
/// the copy stays where the model may run. The choice is random, so that the streams of one machine
/// spread over the engines.
std::optional<StateHolder> StateParker::chooseHolder(const Move& move) {
  if (!core_.canServe()) {
    return std::nullopt;
  }
  const resource::Engine* source = core_.view.engine(move.source.engine);
  std::vector<const resource::Engine*> sameClass;
  std::vector<const resource::Engine*> others;
  for (const resource::Engine* engine : core_.view.enginesThatTakeWork()) {
    const bool isCurrentHolder =
        engine->id == move.holder.engine && engine->incarnation == move.holder.incarnation;
    const bool excluded = isCurrentHolder || move.refusingEngines.contains(engine->id);
    if (!excluded && canHold(*engine)) {
      const bool same = source != nullptr && source->machineClass == engine->machineClass;
      (same ? sameClass : others).push_back(engine);
    }
  }
  const std::vector<const resource::Engine*>& candidates = sameClass.empty() ? others : sameClass;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return makeHolder(*candidates[core_.random.uniform(0, candidates.size() - 1)]);
}

}  // namespace walnut::routing
