#include "control/space_finder.h"

#include <algorithm>
#include <utility>

namespace walnut::control {

using resource::Replica;
using resource::ReplicaState;
using resource::Servable;

namespace {

/// A replica that was in use within this time is not evicted, so that two models do not evict each
/// other in turn.
constexpr base::Duration kMinIdleBeforeEviction = std::chrono::seconds(2);

std::uint64_t bytesAt(const std::map<AcceleratorPlace, std::uint64_t>& bytes,
                      const AcceleratorPlace& place) {
  const auto found = bytes.find(place);
  return found == bytes.end() ? 0 : found->second;
}

std::uint64_t subtractClamped(std::uint64_t from, std::uint64_t bytes) {
  return from - std::min(from, bytes);
}

bool inPool(const resource::Engine& engine, const resource::EnginePoolSpec& pool) {
  const bool zone = pool.zones.empty() || std::find(pool.zones.begin(), pool.zones.end(),
                                                    engine.zone.value) != pool.zones.end();
  return zone && (pool.machineClass.empty() || pool.machineClass == engine.machineClass);
}

}  // namespace

std::uint64_t SpaceFinder::freeBytes(const AcceleratorPlace& place) const {
  const std::uint64_t free = input_.state.freeBytes(place.engine, place.accelerator);
  return std::min(subtractClamped(free, bytesAt(reservedBytes_, place)), reservableBytes(place));
}

std::uint64_t SpaceFinder::reservableBytes(const AcceleratorPlace& place) const {
  const std::uint64_t free = input_.state.freeBytes(place.engine, place.accelerator);
  const std::uint64_t unloading =
      input_.ledger.unloadingBytes(place) + bytesAt(decidedUnloadBytes_, place);
  return subtractClamped(free + unloading, bytesAt(promisedBytes_, place));
}

SpaceFinder::Places SpaceFinder::placesOfAdapter(const ReplicaNeed& need) const {
  Places places;
  for (const base::ReplicaId id : input_.ledger.ofServable(baseOf(need.servable))) {
    const Replica& replica = *input_.ledger.find(id);
    if (replica.state == ReplicaState::ready && input_.serves(replica)) {
      places.push_back({replica.engine, replica.accelerator});
    }
  }
  return places;
}

/// Returns the candidate accelerators: for an adapter those where its model is ready, for a model
/// all of its pool.
SpaceFinder::Pool& SpaceFinder::poolOf(const ReplicaNeed& need) {
  if (!need.servable.adapter.empty()) {
    adapterPool_ = Pool{};
    adapterPool_.places = placesOfAdapter(need);
    return adapterPool_;
  }
  const auto [entry, added] = pools_.try_emplace(need.model.pool);
  Pool& pool = entry->second;
  if (!added) {
    return pool;
  }
  const resource::EnginePoolSpec spec = input_.state.poolOf(need.model);
  for (const auto& [id, engine] : input_.state.engines()) {
    if (!inPool(engine, spec) || !input_.takesWork(engine) ||
        !input_.monitor.serves(input_.now, id)) {
      continue;
    }
    for (std::uint32_t index = 0; index < engine.acceleratorBytes.size(); ++index) {
      pool.places.push_back({id, base::AcceleratorIndex{index}});
    }
  }
  return pool;
}

bool SpaceFinder::canPlaceOn(const ReplicaNeed& need, const AcceleratorPlace& place) const {
  return !input_.unledgered.contains(place) && !reservedFor_.contains({place, need.servable}) &&
         !input_.ledger.holds(place, need.servable) &&
         input_.monitor.serves(input_.now, place.engine);
}

PlaceReplica SpaceFinder::placementAt(const ReplicaNeed& need,
                                      const AcceleratorPlace& place) const {
  PlaceReplica placement;
  placement.servable = need.servable;
  placement.engine = place.engine;
  placement.incarnation = input_.state.engines().at(place.engine).incarnation;
  placement.accelerator = place.accelerator;
  placement.bytes = need.bytes;
  placement.previousVersion = need.previousVersion;
  return placement;
}

bool SpaceFinder::fits(const ReplicaNeed& need, const AcceleratorPlace& place) const {
  return canPlaceOn(need, place) && !input_.state.checkPlacement(placementAt(need, place));
}

LoadSource SpaceFinder::sourceAt(const base::EngineId& engine,
                                 const std::string& checkpoint) const {
  const auto tier = input_.monitor.nearestCacheTier(engine, checkpoint);
  if (!tier) {
    return LoadSource::store;
  }
  return *tier == engine::CacheTier::hostMemory ? LoadSource::hostMemory : LoadSource::localDisk;
}

/// Ranks accelerators by distance of the weights first; then by room for the model's adapters, by
/// an engine and a zone that do not have the servable yet, and by free memory.
std::optional<PlacementChoice> SpaceFinder::findFree(const ReplicaNeed& need) {
  Pool& pool = poolOf(need);
  if (need.bytes >= pool.tooLargeForFree) {
    return std::nullopt;
  }
  std::set<base::EngineId> engines;
  std::map<base::ZoneId, std::size_t> zones;
  for (const base::ReplicaId id : input_.ledger.ofServable(need.servable)) {
    const base::EngineId& engine = input_.ledger.find(id)->engine;
    engines.insert(engine);
    ++zones[input_.state.engines().at(engine).zone];
  }
  // The smallest rank is the best.
  using Rank = std::tuple<LoadSource, bool, bool, std::size_t, std::uint64_t>;
  std::optional<Rank> bestRank;
  std::optional<PlacementChoice> best;
  bool anyFree = false;
  examinedCount_ += pool.places.size();
  for (const AcceleratorPlace& place : pool.places) {
    const std::uint64_t free = freeBytes(place);
    anyFree = anyFree || free >= need.bytes;
    if (free < need.bytes || !fits(need, place)) {
      continue;
    }
    const resource::Engine& engine = input_.state.engines().at(place.engine);
    const LoadSource source = sourceAt(place.engine, need.checkpoint);
    const auto zone = zones.find(engine.zone);
    const Rank rank{source, free < need.bytes + need.adapterBytes, engines.contains(place.engine),
                    zone == zones.end() ? 0 : zone->second, UINT64_MAX - free};
    if (!bestRank || rank < *bestRank) {
      bestRank = rank;
      best = PlacementChoice{place, engine.incarnation, source};
    }
  }
  pool.tooLargeForFree = anyFree ? pool.tooLargeForFree : need.bytes;
  return best;
}

void SpaceFinder::reserve(const ReplicaNeed& need, const AcceleratorPlace& place) {
  reservedBytes_[place] += need.bytes;
  promisedBytes_[place] += need.bytes;
  reservedFor_.insert({place, need.servable});
  budgetReservedBytes_[need.model.budget] += need.bytes;
}

bool SpaceFinder::reserveUnloading(const ReplicaNeed& need) {
  Pool& pool = poolOf(need);
  if (need.bytes >= pool.tooLargeForUnloading) {
    return false;
  }
  bool anyUnloading = false;
  examinedCount_ += pool.places.size();
  for (const AcceleratorPlace& place : pool.places) {
    const bool becomesFree =
        input_.ledger.unloadingBytes(place) + bytesAt(decidedUnloadBytes_, place) > 0;
    if (!becomesFree || reservableBytes(place) < need.bytes) {
      continue;
    }
    anyUnloading = true;
    if (canPlaceOn(need, place)) {
      promisedBytes_[place] += need.bytes;
      reservedFor_.insert({place, need.servable});
      return true;
    }
  }
  pool.tooLargeForUnloading = anyUnloading ? pool.tooLargeForUnloading : need.bytes;
  return false;
}

void SpaceFinder::recordUnload(base::ReplicaId id) {
  const Replica& replica = *input_.ledger.find(id);
  if (!decidedUnloads_.insert(id).second) {
    return;
  }
  decidedUnloadBytes_[{replica.engine, replica.accelerator}] += replica.bytes;
  for (auto& [name, pool] : pools_) {
    pool.tooLargeForUnloading = UINT64_MAX;
    pool.tooLargeForEviction = UINT64_MAX;
  }
}

bool SpaceFinder::isOutdated(const Servable& servable) const {
  const auto* model = input_.state.findModel(servable.model);
  const bool isPrevious = model == nullptr || model->activeVersion != servable.version;
  return isPrevious && !input_.hasPreviousVersionDemand(servable);
}

bool SpaceFinder::isAboveMinimum(const Servable& servable) const {
  const auto* model = input_.state.findModel(servable.model);
  if (!servable.adapter.empty() || model == nullptr) {
    return true;
  }
  std::uint32_t serving = 0;
  for (const base::ReplicaId id : input_.ledger.ofServable(servable)) {
    serving += !decidedUnloads_.contains(id) && input_.serves(*input_.ledger.find(id)) ? 1U : 0U;
  }
  return serving > model->minReplicas;
}

bool SpaceFinder::isIdle(const Replica& replica) const {
  const DemandTarget target = targetOf(replica.servable);
  if (input_.now < input_.usage.lastUse(target) + kMinIdleBeforeEviction) {
    return false;
  }
  for (auto entry = input_.demand.lower_bound({target.model, ""});
       entry != input_.demand.end() && entry->first.model == target.model; ++entry) {
    const bool concerned = target.adapter.empty() || entry->first == target;
    if (concerned && entry->second.load() > 0) {
      return false;
    }
  }
  const engine::Report* report = input_.monitor.report(replica.engine);
  if (report == nullptr) {
    return false;
  }
  return std::none_of(report->held.begin(), report->held.end(),
                      [&](const engine::HeldServable& held) {
                        return held.accelerator == replica.accelerator &&
                               held.servable == replica.servable && held.activeRequests > 0;
                      });
}

bool SpaceFinder::isEvictable(const Replica& replica) const {
  if (replica.state != ReplicaState::ready || decidedUnloads_.contains(replica.id) ||
      input_.changing.contains(replica.id)) {
    return false;
  }
  if (isOutdated(replica.servable)) {
    return true;
  }
  return input_.routersReported && isIdle(replica) && isAboveMinimum(replica.servable);
}

/// Returns the cost of losing the replica. It is lower the longer the replica has been unused and
/// the lower the cold-start weight of its budget.
double SpaceFinder::retentionValue(const Replica& replica) const {
  const auto* model = input_.state.findModel(replica.servable.model);
  if (model == nullptr || isOutdated(replica.servable)) {
    return 0;
  }
  const double weight = input_.state.budgetOf(*model).coldStartWeight;
  const base::Duration unused = input_.now - input_.usage.lastUse(targetOf(replica.servable));
  const double seconds = std::chrono::duration<double>(unused).count();
  return (weight + 1) / (seconds + 1);
}

std::optional<SpaceFinder::EvictionGroup> SpaceFinder::groupOf(const Replica& replica,
                                                               const ReplicaNeed& need) const {
  const bool own = replica.servable == need.servable || replica.servable == baseOf(need.servable);
  if (own || !isEvictable(replica)) {
    return std::nullopt;
  }
  EvictionGroup group;
  if (replica.servable.adapter.empty()) {
    for (const base::ReplicaId id :
         input_.ledger.onAccelerator({replica.engine, replica.accelerator})) {
      const Replica& other = *input_.ledger.find(id);
      const bool over =
          !other.servable.adapter.empty() && baseOf(other.servable) == replica.servable;
      const bool leaves = other.state == ReplicaState::unloading || decidedUnloads_.contains(id);
      if (!over || leaves) {
        continue;
      }
      if (!isEvictable(other)) {
        return std::nullopt;
      }
      group.replicas.push_back(id);
      group.bytes += other.bytes;
      group.value += retentionValue(other);
    }
  }
  group.replicas.push_back(replica.id);
  group.bytes += replica.bytes;
  group.value += retentionValue(replica);
  return group;
}

std::vector<SpaceFinder::EvictionGroup> SpaceFinder::groupsAt(const AcceleratorPlace& place,
                                                              const ReplicaNeed& need) const {
  std::vector<EvictionGroup> groups;
  for (const base::ReplicaId id : input_.ledger.onAccelerator(place)) {
    auto group = groupOf(*input_.ledger.find(id), need);
    if (group) {
      groups.push_back(*std::move(group));
    }
  }
  return groups;
}

/// @return the cheapest groups that together free the bytes, merged into one; nothing if all of
/// them together are too small.
std::optional<SpaceFinder::EvictionGroup> SpaceFinder::cheapest(std::vector<EvictionGroup> groups,
                                                                std::uint64_t bytes) const {
  std::stable_sort(
      groups.begin(), groups.end(),
      [](const EvictionGroup& one, const EvictionGroup& other) { return one.value < other.value; });
  EvictionGroup chosen;
  for (const EvictionGroup& group : groups) {
    if (chosen.bytes >= bytes) {
      break;
    }
    for (const base::ReplicaId id : group.replicas) {
      const bool counted =
          std::find(chosen.replicas.begin(), chosen.replicas.end(), id) != chosen.replicas.end();
      if (!counted) {
        chosen.replicas.push_back(id);
        chosen.bytes += input_.ledger.find(id)->bytes;
      }
    }
    chosen.value += group.value;
  }
  return chosen.bytes >= bytes && !chosen.replicas.empty() ? std::optional(chosen) : std::nullopt;
}

std::vector<base::ReplicaId> SpaceFinder::decideUnloads(const EvictionGroup& group) {
  for (const base::ReplicaId id : group.replicas) {
    recordUnload(id);
  }
  return group.replicas;
}

std::vector<base::ReplicaId> SpaceFinder::evictFor(const ReplicaNeed& need) {
  const std::uint64_t over = overBudget(need);
  if (over > 0) {
    return evictWithinBudget(need, over);
  }
  Pool& pool = poolOf(need);
  if (need.bytes >= pool.tooLargeForEviction) {
    return {};
  }
  bool anyEvictable = false;
  std::optional<EvictionGroup> best;
  AcceleratorPlace bestPlace;
  examinedCount_ += pool.places.size();
  for (const AcceleratorPlace& place : pool.places) {
    auto group =
        cheapest(groupsAt(place, need), subtractClamped(need.bytes, reservableBytes(place)));
    anyEvictable = anyEvictable || group;
    if (group && canPlaceOn(need, place) && (!best || group->value < best->value)) {
      best = std::move(group);
      bestPlace = place;
    }
  }
  if (!best) {
    pool.tooLargeForEviction = anyEvictable ? pool.tooLargeForEviction : need.bytes;
    return {};
  }
  promisedBytes_[bestPlace] += need.bytes;
  reservedFor_.insert({bestPlace, need.servable});
  return decideUnloads(*best);
}

const std::map<std::string, SpaceFinder::BudgetUse>& SpaceFinder::budgets() {
  if (budgets_) {
    return *budgets_;
  }
  budgets_.emplace();
  for (const auto& [id, replica] : input_.ledger.replicas()) {
    const auto* model = input_.state.findModel(replica.servable.model);
    if (model == nullptr || model->budget.empty()) {
      continue;
    }
    BudgetUse& use = (*budgets_)[model->budget];
    use.reserved += replica.bytes;
    use.unloading += replica.state == ReplicaState::unloading ? replica.bytes : 0;
  }
  return *budgets_;
}

std::uint64_t SpaceFinder::overBudget(const ReplicaNeed& need) {
  const std::uint64_t limit = input_.state.budgetOf(need.model).acceleratorBytes;
  if (limit == 0) {
    return 0;
  }
  const auto found = budgets().find(need.model.budget);
  const BudgetUse use = found == budgets().end() ? BudgetUse{} : found->second;
  return subtractClamped(use.reserved + budgetReservedBytes_[need.model.budget] + need.bytes,
                         limit);
}

std::vector<base::ReplicaId> SpaceFinder::evictWithinBudget(const ReplicaNeed& need,
                                                            std::uint64_t bytes) {
  std::uint64_t leaving = budgets().at(need.model.budget).unloading;
  for (const base::ReplicaId id : decidedUnloads_) {
    const Replica& replica = *input_.ledger.find(id);
    const auto* model = input_.state.findModel(replica.servable.model);
    leaving += model != nullptr && model->budget == need.model.budget ? replica.bytes : 0;
  }
  if (leaving >= bytes) {
    return {};
  }
  std::vector<EvictionGroup> groups;
  for (const auto& [id, replica] : input_.ledger.replicas()) {
    const auto* model = input_.state.findModel(replica.servable.model);
    if (model == nullptr || model->budget != need.model.budget) {
      continue;
    }
    auto group = groupOf(replica, need);
    if (group) {
      groups.push_back(*std::move(group));
    }
  }
  const auto chosen = cheapest(std::move(groups), bytes - leaving);
  if (!chosen) {
    return {};
  }
  budgetReservedBytes_[need.model.budget] += need.bytes;
  return decideUnloads(*chosen);
}

}  // namespace walnut::control
