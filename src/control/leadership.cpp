#include "control/leadership.h"

#include <algorithm>
#include <utility>

#include "control/engine_registration.h"

namespace walnut::control {

namespace {

/// Routers report their complete demand to a new leader within a second; until this time has passed
/// nothing counts as idle.
constexpr base::Duration kRouterReportTime = std::chrono::seconds(2);

/// @return the replica whose state the command changes, if any.
std::optional<base::ReplicaId> replicaOf(const CommandBody& body) {
  if (const auto* ready = std::get_if<MarkReplicaReady>(&body)) {
    return ready->replica;
  }
  if (const auto* unload = std::get_if<BeginUnload>(&body)) {
    return unload->replica;
  }
  if (const auto* release = std::get_if<ReleaseReplica>(&body)) {
    return release->replica;
  }
  return std::nullopt;
}

/// @return the engine whose record the command changes, if any.
std::optional<base::EngineId> engineOf(const CommandBody& body) {
  if (const auto* registration = std::get_if<RegisterEngine>(&body)) {
    return registration->engine.id;
  }
  if (const auto* removal = std::get_if<RemoveEngine>(&body)) {
    return removal->engine;
  }
  return std::nullopt;
}

}  // namespace

Leadership::Leadership(const LeaderContext& context, consensus::Term term, base::TimePoint now)
    : context_(context),
      term_(term),
      startedAt_(now),
      monitor_(context.options, term, context.nextCall, context.actions),
      reconciler_(context.options, context.state, context.ledger, monitor_),
      platform_(context.options, context.actions),
      usage_(now) {
  trackEngines(now);
  for (const auto& [id, engine] : context.state.engines()) {
    reconciler_.ledgerChanged(now, id);
  }
}

void Leadership::propose(base::TimePoint now, CommandBody body, bool byPolicy) {
  Proposal proposal{engineOf(body), replicaOf(body), std::nullopt, byPolicy};
  if (const auto* registration = std::get_if<RegisterEngine>(&body)) {
    proposal.record = registration->engine;
  }
  const auto index = context_.log.propose(now, std::move(body));
  if (index.has_error()) {
    return;  // Leadership is ending; the next leader will decide.
  }
  if (proposal.engine) {
    changingEngines_.insert(*proposal.engine);
  }
  if (proposal.replica) {
    changingReplicas_.insert(*proposal.replica);
  }
  placementsInFlight_ += proposal.placement ? 1 : 0;
  proposals_[index.value()] = std::move(proposal);
}

void Leadership::applied(const AppliedEntry& entry) {
  const auto found = proposals_.find(entry.index);
  if (found == proposals_.end()) {
    return;
  }
  const Proposal proposal = std::move(found->second);
  proposals_.erase(found);
  if (proposal.engine) {
    changingEngines_.erase(*proposal.engine);
  }
  if (proposal.replica) {
    changingReplicas_.erase(*proposal.replica);
  }
  if (proposal.record && entry.result.refusal) {
    refusedRecords_[proposal.record->id] = *proposal.record;
  }
  if (proposal.placement) {
    --placementsInFlight_;
    placementIsStale_ = true;
  }
}

void Leadership::stateChanged(base::TimePoint now, const StateChange& change) {
  placementIsStale_ = true;
  std::set<base::EngineId> engines = change.engines;
  for (const std::string& model : change.models) {
    planning_.mark(model);
  }
  if (change.changes) {
    markChanged(*change.changes);
  } else {
    planning_.restartPass();
    engines.merge(monitor_.engines());
    for (const auto& [id, engine] : context_.state.engines()) {
      engines.insert(id);
    }
  }
  for (const base::EngineId& engine : engines) {
    const auto record = context_.state.engines().find(engine);
    if (record == context_.state.engines().end()) {
      reconciler_.forget(engine);
      if (platform_.find(engine) == nullptr) {
        monitor_.forget(engine);
      }
      continue;
    }
    reconciler_.ledgerChanged(now, engine);
    enginesToReview_.insert(engine);
  }
}

void Leadership::markModelsOn(const base::EngineId& engine) {
  for (const base::ReplicaId id : context_.ledger.onEngine(engine)) {
    planning_.mark(context_.ledger.find(id)->servable.model);
  }
}

void Leadership::markChanged(const std::vector<protocol::Change>& changes) {
  for (const protocol::Change& change : changes) {
    if (const auto* engine = std::get_if<protocol::EngineChanged>(&change)) {
      markModelsOn(engine->engine.id);
    } else if (const auto* changed = std::get_if<protocol::ResourceChanged>(&change)) {
      markResource(changed->resource.key, &changed->resource.spec);
    } else if (const auto* deleted = std::get_if<protocol::ResourceDeleted>(&change)) {
      markResource(deleted->key, nullptr);
    }
  }
}

/// Marks the models that the resource concerns for planning.
/// @param spec null if the resource was deleted.
void Leadership::markResource(const resource::Key& key, const resource::Spec* spec) {
  if (spec == nullptr) {
    usage_.forgetGaps(key);
  }
  if (key.kind == resource::Kind::model) {
    planning_.mark(key.name);
  } else if (key.kind == resource::Kind::drain) {
    markModelsOn(base::EngineId{key.name});
  } else if (const auto* version =
                 spec == nullptr ? nullptr : std::get_if<resource::ModelVersionSpec>(spec)) {
    planning_.mark(version->model);
  } else if (const auto* adapter =
                 spec == nullptr ? nullptr : std::get_if<resource::AdapterSpec>(spec)) {
    planning_.mark(adapter->model);
  } else {
    planning_.restartPass();  // Budgets and pools concern many models and change rarely.
  }
}

void Leadership::platformListRead(base::TimePoint now, const PlatformListRead& read) {
  if (!platform_.listRead(now, read, context_.state.engines())) {
    return;
  }
  trackEngines(now);
  for (const auto& [id, machine] : platform_.machines()) {
    registerEngine(now, id);
  }
  for (const auto& [id, engine] : context_.state.engines()) {
    if (platform_.find(id) == nullptr) {
      registerEngine(now, id);
    }
  }
  removeGoneMachines(now);
}

void Leadership::trackEngines(base::TimePoint now) {
  for (const auto& [id, machine] : platform_.machines()) {
    monitor_.track(now, id, machine.endpoint);
  }
  for (const auto& [id, engine] : context_.state.engines()) {
    if (platform_.find(id) != nullptr) {
      continue;
    }
    if (platform_.endpointTaken(id, engine.endpoint)) {
      monitor_.forget(id);  // Another engine would answer in place of this one.
    } else {
      monitor_.track(now, id, engine.endpoint);
    }
  }
}

void Leadership::registerEngine(base::TimePoint now, const base::EngineId& engine) {
  if (changingEngines_.contains(engine)) {
    return;
  }
  const auto record = context_.state.engines().find(engine);
  EngineSources sources;
  sources.record = record == context_.state.engines().end() ? nullptr : &record->second;
  sources.machine = platform_.find(engine);
  sources.report = monitor_.report(engine);
  sources.hasList = platform_.hasList();
  auto expected = expectedRecord(sources);
  const auto refused = refusedRecords_.find(engine);
  const bool wasRefused =
      expected && refused != refusedRecords_.end() && refused->second == *expected;
  if (expected && !wasRefused) {
    propose(now, RegisterEngine{*std::move(expected)}, false);
  }
}

/// Removes engines whose machine is gone. A machine that still answers is kept, whatever the
/// platform list says.
void Leadership::removeGoneMachines(base::TimePoint now) {
  for (const base::EngineId& engine : platform_.goneMachines()) {
    const auto reportedAt = monitor_.reportedAt(engine);
    const bool answered = reportedAt && now < *reportedAt + context_.options.machineRemovalTimeout;
    const bool known = context_.state.engines().contains(engine);
    if (known && !answered && !changingEngines_.contains(engine)) {
      propose(now, RemoveEngine{engine}, false);
    }
  }
}

void Leadership::engineCallFinished(base::TimePoint now, const EngineCallFinished& call) {
  const auto known = monitor_.engineOf(call);
  const bool wasResponsive = known && monitor_.isResponsive(now, *known);
  const auto finished = monitor_.callFinished(now, call);
  if (!finished) {
    return;
  }
  enginesToReview_.insert(finished->engine);
  reconciler_.orderFinished(*finished);
  if (finished->result.has_error()) {
    return;
  }
  if (const auto* report = std::get_if<engine::Report>(&finished->result.value())) {
    placementIsStale_ = placementIsStale_ || !wasResponsive;
    recordReportedUse(now, *report);
  }
}

void Leadership::recordReportedUse(base::TimePoint now, const engine::Report& report) {
  for (const engine::HeldServable& held : report.held) {
    if (held.activeRequests > 0) {
      usage_.recordUse(now, targetOf(held.servable));
    }
  }
}

void Leadership::reviewEngine(base::TimePoint now, const base::EngineId& engine) {
  registerEngine(now, engine);
  EngineReview review = reconciler_.review(engine, changingReplicas_);
  for (const FailedLoad& failed : review.failedLoads) {
    policy_.loadFailed(now, failed.servable);
  }
  for (CommandBody& body : review.proposals) {
    if (const auto* ready = std::get_if<MarkReplicaReady>(&body)) {
      policy_.loadSucceeded(now, *context_.ledger.find(ready->replica));
    }
    propose(now, std::move(body), false);
  }
  reconciler_.sendNextOrder(now, engine);
}

void Leadership::outcomesReported(base::TimePoint now, const protocol::DemandReport& report) {
  for (const protocol::EngineOutcomes& outcomes : report.outcomes) {
    if (context_.state.engines().contains(outcomes.engine)) {
      outliers_.report(report.router, {outcomes.engine, outcomes.answered, outcomes.failed, 0},
                       now);
    }
  }
}

/// Ejects engines that report healthy but fail requests, based on the outcomes that routers report.
void Leadership::detectOutliers(base::TimePoint now) {
  if (!outliers_.isReviewDue(now)) {
    return;
  }
  const auto& known = context_.state.engines();
  outliers_.forgetIf([&known](const base::EngineId& engine) { return !known.contains(engine); });
  std::vector<base::EngineId> engines;
  engines.reserve(known.size());
  for (const auto& [id, engine] : known) {
    engines.push_back(id);
  }
  outliers_.review({{"engines", engines}}, context_.demand.routerCount(), now);
  for (const auto& change : outliers_.takeChanges()) {
    monitor_.setFailing(change.subject, change.failing);
    markModelsOn(change.subject);
  }
}

void Leadership::run(base::TimePoint now) {
  platform_.tick(now);
  detectOutliers(now);
  monitor_.tick(now, context_.raft.leaseValid(now));
  enginesToReview_.merge(reconciler_.takeDue(now));
  for (const base::EngineId& engine : std::exchange(enginesToReview_, {})) {
    reviewEngine(now, engine);
  }
  promotion_.tick(now, context_.raft);
  if (now >= placementDueAt()) {
    decidePlacement(now);
  }
}

void Leadership::decidePlacement(base::TimePoint now) {
  placementIsStale_ = false;
  lastPlacementAt_ = now;
  context_.demand.expire(now);
  std::set<std::string> models = planning_.takeMarked();
  models.merge(context_.demand.takeChangedModels());
  if (now >= nextPlanningStepAt_) {
    nextPlanningStepAt_ =
        now + context_.options.planningPassDuration / PlanningQueue::kStepsPerPass;
    for (std::string& model : planning_.nextStep(context_.state, context_.ledger)) {
      models.insert(std::move(model));
    }
  }
  const PlacementInput input{now,
                             context_.state,
                             context_.ledger,
                             monitor_,
                             context_.demand.totals(),
                             usage_,
                             reconciler_.unledgered(),
                             changingReplicas_,
                             now >= startedAt_ + kRouterReportTime};
  for (CommandBody& body : policy_.decide(input, std::move(models), usage_)) {
    propose(now, std::move(body), true);
  }
}

/// Returns the time of the next placement run. While decisions are in progress, the state that the
/// next ones depend on is not known yet.
base::TimePoint Leadership::placementDueAt() const {
  if (placementsInFlight_ > 0) {
    return base::kNever;
  }
  const base::TimePoint earliest = lastPlacementAt_ + context_.options.placementInterval;
  const bool stale =
      placementIsStale_ || planning_.anyMarked() || context_.demand.hasChangedModels();
  return stale ? earliest : std::max(earliest, std::min(nextPlanningStepAt_, policy_.nextWakeup()));
}

base::TimePoint Leadership::nextWakeup() const {
  if (!enginesToReview_.empty()) {
    return base::TimePoint::min();
  }
  return std::min({platform_.nextWakeup(), monitor_.nextWakeup(), reconciler_.nextWakeup(),
                   promotion_.nextWakeup(), placementDueAt()});
}

}  // namespace walnut::control
