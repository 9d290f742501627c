#include "control/placement_policy.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace walnut::control {

namespace {
/// Backoff after the first failed load of a servable; it doubles with each further failure.
constexpr base::Duration kInitialRetryBackoff = std::chrono::seconds(1);
constexpr std::uint32_t kMaxRetryDoublings = 3;

/// Returns the number of store reads, including this one, that may run at once for a need of this
/// urgency: a quarter is reserved for interactive requests that arrive later, and half for all
/// waiting requests.
std::uint32_t maxStoreReads(const ReplicaNeed& need, const resource::EnginePoolSpec& spec) {
  constexpr std::uint32_t kQuarters = 4;
  const std::uint32_t all = spec.maxConcurrentLoads;
  switch (need.urgency) {
    case Urgency::interactive:
    case Urgency::standby:
      return all;
    case Urgency::batch:
      return std::max(1U, all - all / kQuarters);
    case Urgency::preload:
      return std::max(1U, all / 2);
  }
  return all;
}
}  // namespace

std::vector<CommandBody> PlacementPolicy::decide(const PlacementInput& input,
                                                 std::set<std::string> models,
                                                 UsageTracker& usage) {
  nextWakeup_ = base::kNever;
  decisions_.clear();
  storeLoadsDecided_.clear();
  models.merge(modelsWithUnmetNeeds_);
  modelsWithUnmetNeeds_.clear();
  models.merge(takeDue(input.now));
  TargetPlan plan = planTargets(input, models, usage, keepAlive_);
  setDue(models, plan.dueAt);
  SpaceFinder space(input);
  for (const base::ReplicaId id : plan.surplus) {
    unload(space, id);
  }
  for (const ReplicaNeed& need : sortNeeds(std::move(plan.needs))) {
    if (space.examinedCount() >= searchLimit_) {
      deferToNextRun(input, need);
      continue;
    }
    lastExaminedRun_[need.servable] = run_;
    for (std::uint32_t count = 0; count < need.count; ++count) {
      placeOrEvict(input, space, need);
    }
  }
  return std::exchange(decisions_, {});
}

std::set<std::string> PlacementPolicy::takeDue(base::TimePoint now) {
  std::set<std::string> models;
  while (!due_.empty() && due_.begin()->first <= now) {
    models.insert(due_.begin()->second);
    dueAt_.erase(due_.begin()->second);
    due_.erase(due_.begin());
  }
  return models;
}

void PlacementPolicy::setDue(const std::set<std::string>& models,
                             const std::map<std::string, base::TimePoint>& at) {
  for (const std::string& model : models) {
    const auto previous = dueAt_.find(model);
    if (previous != dueAt_.end()) {
      due_.erase({previous->second, model});
      dueAt_.erase(previous);
    }
    const auto present = at.find(model);
    if (present != at.end()) {
      dueAt_[model] = present->second;
      due_.insert({present->second, model});
    }
  }
}

std::vector<ReplicaNeed> PlacementPolicy::sortNeeds(std::vector<ReplicaNeed> needs) {
  ++run_;
  if (!std::exchange(searchLimitReached_, false)) {
    lastExaminedRun_.clear();  // All needs were examined: only deadlines decide.
  }
  std::map<resource::Servable, std::uint64_t> lastExamined;
  for (const ReplicaNeed& need : needs) {
    const auto found = lastExaminedRun_.find(need.servable);
    lastExamined[need.servable] = found == lastExaminedRun_.end() ? 0 : found->second;
  }
  std::stable_sort(needs.begin(), needs.end(),
                   [&](const ReplicaNeed& one, const ReplicaNeed& other) {
                     return std::tie(one.urgency, lastExamined.at(one.servable)) <
                            std::tie(other.urgency, lastExamined.at(other.servable));
                   });
  lastExaminedRun_ = std::move(lastExamined);
  return needs;
}

void PlacementPolicy::deferToNextRun(const PlacementInput& input, const ReplicaNeed& need) {
  modelsWithUnmetNeeds_.insert(need.servable.model);
  nextWakeup_ = input.now;
  searchLimitReached_ = true;
}

void PlacementPolicy::unload(SpaceFinder& space, base::ReplicaId replica) {
  space.recordUnload(replica);
  decisions_.emplace_back(BeginUnload{replica});
}

void PlacementPolicy::placeOrEvict(const PlacementInput& input, SpaceFinder& space,
                                   const ReplicaNeed& need) {
  if (need.urgency != Urgency::preload) {
    // The model stays in the set until the placement is applied, which marks it as changed.
    modelsWithUnmetNeeds_.insert(need.servable.model);
  }
  const auto failure = failures_.find(need.servable);
  if (failure != failures_.end() && input.now < failure->second.retryAt) {
    nextWakeup_ = std::min(nextWakeup_, failure->second.retryAt);
    return;
  }
  const auto choice = space.findFree(need);
  if (!choice) {
    if (need.urgency != Urgency::preload && !space.reserveUnloading(need)) {
      for (const base::ReplicaId id : space.evictFor(need)) {
        decisions_.emplace_back(BeginUnload{id});
      }
    }
    return;
  }
  space.reserve(need, choice->place);
  if (choice->source == LoadSource::store && !tryBeginStoreLoad(input, space, need)) {
    return;
  }
  PlaceReplica placement;
  placement.servable = need.servable;
  placement.engine = choice->place.engine;
  placement.incarnation = choice->incarnation;
  placement.accelerator = choice->place.accelerator;
  placement.bytes = need.bytes;
  placement.previousVersion = need.previousVersion;
  loads_[{choice->place, need.servable}] = {choice->source, need.checkpointBytes};
  decisions_.emplace_back(std::move(placement));
}

bool PlacementPolicy::tryBeginStoreLoad(const PlacementInput& input, const SpaceFinder& space,
                                        const ReplicaNeed& need) {
  const std::string& pool = need.model.pool;
  const resource::EnginePoolSpec spec = input.state.poolOf(need.model);
  const base::TimePoint rateAllowsAt = rate_.nextAt(pool);
  if (rateAllowsAt > input.now) {
    nextWakeup_ = std::min(nextWakeup_, rateAllowsAt);
    return false;
  }
  if (storeLoads(input, space, pool) + storeLoadsDecided_[pool] >= maxStoreReads(need, spec)) {
    return false;
  }
  ++storeLoadsDecided_[pool];
  rate_.begin(input.now, pool, spec);
  return true;
}

/// Counts the loads from the store in progress: a reserved replica whose engine does not report the
/// weights in a cache is being read from the store.
std::uint32_t PlacementPolicy::storeLoads(const PlacementInput& input, const SpaceFinder& space,
                                          const std::string& pool) const {
  std::uint32_t count = 0;
  for (const base::ReplicaId id : input.ledger.reserved()) {
    const resource::Replica& replica = *input.ledger.find(id);
    const auto* model = input.state.findModel(replica.servable.model);
    const auto* version = input.state.findModelVersion(replica.servable.version);
    const auto* adapter = input.state.findAdapter(replica.servable.adapter);
    const bool known = model != nullptr &&
                       (replica.servable.adapter.empty() ? version != nullptr : adapter != nullptr);
    if (!known || model->pool != pool) {
      continue;
    }
    const std::string& checkpoint =
        replica.servable.adapter.empty() ? version->checkpoint : adapter->checkpoint;
    count += space.sourceAt(replica.engine, checkpoint) == LoadSource::store ? 1U : 0U;
  }
  return count;
}

void PlacementPolicy::loadSucceeded(base::TimePoint now, const resource::Replica& replica) {
  failures_.erase(replica.servable);
  const auto load = loads_.find({{replica.engine, replica.accelerator}, replica.servable});
  if (load != loads_.end()) {
    keepAlive_.observeLoad(load->second.source, load->second.bytes, now - replica.since);
    loads_.erase(load);
  }
}

void PlacementPolicy::loadFailed(base::TimePoint now, const resource::Servable& servable) {
  Failure& failure = failures_[servable];
  const std::uint32_t doublings = std::min(failure.count, kMaxRetryDoublings);
  ++failure.count;
  failure.retryAt = now + kInitialRetryBackoff * (1U << doublings);
}

}  // namespace walnut::control
