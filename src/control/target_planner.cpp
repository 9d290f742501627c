#include "control/target_planner.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace walnut::control {

using resource::Replica;
using resource::ReplicaState;
using resource::Servable;

namespace {

/// Number of requests that one replica is expected to run at once. Engines batch continuously;
/// further requests queue.
constexpr std::uint32_t kRequestsPerReplica = 16;

/// Demand of one model including that of its adapters.
struct ModelDemand {
  std::uint32_t load = 0;
  bool interactiveWaits = false;
  bool anyWaits = false;
  base::TimePoint deadline = base::kNever;

  void add(const TotalDemand& demand) {
    load += demand.load();
    interactiveWaits = interactiveWaits || demand.waitingInteractive > 0;
    anyWaits = anyWaits || demand.waiting() > 0;
    deadline = std::min(deadline, demand.earliestDeadline.value_or(base::kNever));
  }
  Urgency urgency() const {
    if (interactiveWaits) {
      return Urgency::interactive;
    }
    return anyWaits ? Urgency::batch : Urgency::standby;
  }
};

std::uint32_t replicasFor(std::uint32_t load) {
  return (load + kRequestsPerReplica - 1) / kRequestsPerReplica;
}

class Planner {
 public:
  Planner(const PlacementInput& input, UsageTracker& usage, KeepAliveTable& keepAlive)
      : input_(input), usage_(usage), keepAlive_(keepAlive) {}

  TargetPlan run(const std::set<std::string>& models) {
    for (const std::string& name : models) {
      recordModelUse(name);
      const auto* model = input_.state.findModel(name);
      if (model != nullptr) {
        planModel(name, *model);
      }
      planPresentReplicas(name);
    }
    std::stable_sort(plan_.needs.begin(), plan_.needs.end(),
                     [](const ReplicaNeed& one, const ReplicaNeed& other) {
                       return std::tie(one.urgency, one.deadline) <
                              std::tie(other.urgency, other.deadline);
                     });
    sortSurplus();
    plan_.dueAt = std::move(dueAt_);
    return std::move(plan_);
  }

 private:
  /// @return true if a replica of the target with this last use is still to be held.
  bool isHeld(const DemandTarget& target, base::TimePoint lastUse,
              const resource::ModelSpec& model) const {
    const HoldPlan& plan = keepAlive_.planOf(input_, usage_, target, model);
    recordDueTime(target.model, lastUse, plan);
    return plan.holdsAt(input_.now - lastUse);
  }
  bool isHeld(const DemandTarget& target, const resource::ModelSpec& model) const {
    return isHeld(target, usage_.lastUse(target), model);
  }
  /// @return true if the target is to be loaded ahead of its next use.
  bool shouldPreload(const DemandTarget& target, const resource::ModelSpec& model) const {
    const base::TimePoint lastUse = usage_.lastUse(target);
    const HoldPlan& plan = keepAlive_.planOf(input_, usage_, target, model);
    recordDueTime(target.model, lastUse, plan);
    return input_.routersReported && plan.preloadsAt(input_.now - lastUse);
  }
  void recordDueTime(const std::string& model, base::TimePoint lastUse,
                     const HoldPlan& plan) const {
    const base::Duration idle = input_.now - lastUse;
    for (const base::Duration due :
         {plan.hold.value_or(base::Duration{}), plan.preloadFrom, plan.preloadUntil}) {
      if (due > idle && due != base::Duration::max()) {
        const auto [entry, added] = dueAt_.try_emplace(model, lastUse + due);
        entry->second = std::min(entry->second, lastUse + due);
      }
    }
  }

  void recordModelUse(const std::string& model) {
    const auto range = demandRange(model);
    for (auto entry = range.first; entry != range.second; ++entry) {
      const TotalDemand& total = entry->second;
      if (!entry->first.version.empty()) {
        continue;  // Demand for a previous version does not predict future requests.
      }
      usage_.recordUse(total.load() > 0 ? input_.now : std::min(input_.now, total.lastArrival),
                       entry->first);
    }
  }

  using DemandIterator = std::map<DemandTarget, TotalDemand>::const_iterator;
  /// @return the demand entries of the model and of its adapters.
  std::pair<DemandIterator, DemandIterator> demandRange(const std::string& model) const {
    auto end = input_.demand.lower_bound({model, "", ""});
    const auto begin = end;
    while (end != input_.demand.end() && end->first.model == model) {
      ++end;
    }
    return {begin, end};
  }

  struct Serving {
    std::uint32_t all = 0;
    /// Serving replicas on engines that are responsive and do not fail requests; the others are
    /// replaced if the limit allows. Until all engines have had time to report, none counts as
    /// unresponsive.
    std::uint32_t healthy = 0;
  };
  Serving serving(const Servable& servable) const {
    Serving count;
    for (const base::ReplicaId id : input_.ledger.ofServable(servable)) {
      const Replica& replica = *input_.ledger.find(id);
      const bool healthy =
          (!input_.routersReported || input_.monitor.isResponsive(input_.now, replica.engine)) &&
          !input_.monitor.isFailing(replica.engine);
      const bool serves = input_.serves(replica);
      count.all += serves ? 1U : 0U;
      count.healthy += serves && healthy ? 1U : 0U;
    }
    return count;
  }

  /// @return true if a ready replica is to be replaced, because it has another version or its
  /// engine is leaving.
  bool needsReplacement(const std::string& model, const std::string& version) const {
    const auto& servables = input_.ledger.servables();
    for (auto entry = servables.lower_bound(Servable{model, "", ""});
         entry != servables.end() && entry->first.model == model; ++entry) {
      if (!entry->first.adapter.empty()) {
        continue;
      }
      for (const base::ReplicaId id : entry->second) {
        const Replica& replica = *input_.ledger.find(id);
        const bool outdated = entry->first.version != version || !input_.takesWork(replica.engine);
        if (outdated && replica.state == ReplicaState::ready) {
          return true;
        }
      }
    }
    return false;
  }

  void planModel(const std::string& name, const resource::ModelSpec& model) {
    const auto* version = input_.state.findModelVersion(model.activeVersion);
    if (version == nullptr || version->model != name) {
      return;
    }
    ModelDemand demand;
    std::uint64_t adapterBytes = 0;
    const auto range = demandRange(name);
    for (auto entry = range.first; entry != range.second; ++entry) {
      if (isPreviousVersion(entry->first, model)) {
        planPreviousVersion(entry->first, entry->second, model);
      } else if (entry->first.adapter.empty()) {
        demand.add(entry->second);
      } else {
        adapterBytes += planAdapter(entry->first, entry->second, model, demand);
      }
    }
    const Servable servable{name, model.activeVersion, ""};
    std::uint32_t targetCount = std::max(replicasFor(demand.load), model.minReplicas);
    if (targetCount == 0 && isHeld({name, "", ""}, model) &&
        needsReplacement(name, model.activeVersion)) {
      targetCount = 1;
    }
    ReplicaNeed need;
    need.servable = servable;
    need.bytes = version->acceleratorBytes;
    need.adapterBytes = adapterBytes;
    need.checkpoint = version->checkpoint;
    need.checkpointBytes = version->checkpointBytes;
    need.model = model;
    need.urgency = demand.urgency();
    need.deadline = demand.deadline;
    planReplicas(std::move(need), std::min(targetCount, model.maxReplicas), model.minReplicas);
  }

  static bool isPreviousVersion(const DemandTarget& target, const resource::ModelSpec& model) {
    return !target.version.empty() && target.version != model.activeVersion;
  }

  /// Plans one replica of a previous version for streams that may not be repeated: they must
  /// continue with the weights that they began with, and their engine is leaving. The model's
  /// replica limit applies as usual.
  void planPreviousVersion(const DemandTarget& target, const TotalDemand& total,
                           const resource::ModelSpec& model) {
    const auto* version = input_.state.findModelVersion(target.version);
    if (version == nullptr || version->model != target.model || total.waiting() == 0) {
      return;
    }
    ReplicaNeed need;
    need.servable = {target.model, target.version, ""};
    need.bytes = version->acceleratorBytes;
    need.checkpoint = version->checkpoint;
    need.checkpointBytes = version->checkpointBytes;
    need.model = model;
    need.urgency = Urgency::interactive;
    need.deadline = total.earliestDeadline.value_or(base::kNever);
    need.previousVersion = true;
    const auto* adapter = input_.state.findAdapter(target.adapter);
    if (adapter != nullptr) {
      need.adapterBytes = adapter->acceleratorBytes;
    }
    addSingleNeed(need);
    if (adapter == nullptr || adapter->model != target.model) {
      return;
    }
    need.servable.adapter = target.adapter;
    need.bytes = adapter->acceleratorBytes;
    need.adapterBytes = 0;
    need.checkpoint = adapter->checkpoint;
    need.checkpointBytes = adapter->checkpointBytes;
    addSingleNeed(need);
  }

  /// Adds a need for one replica unless one is serving, the limit is reached, or the need was added
  /// before.
  void addSingleNeed(ReplicaNeed need) {
    const auto all = static_cast<std::uint32_t>(input_.state.replicaCount(need.servable));
    const bool allowed = all < need.model.maxReplicas;
    if (serving(need.servable).healthy > 0 || !allowed || !planned_.insert(need.servable).second) {
      return;
    }
    need.count = 1;
    plan_.needs.push_back(std::move(need));
  }

  /// @return the memory of the adapter in bytes if it has demand, else 0.
  std::uint64_t planAdapter(const DemandTarget& target, const TotalDemand& total,
                            const resource::ModelSpec& model, ModelDemand& demand) {
    const auto* adapter = input_.state.findAdapter(target.adapter);
    if (adapter == nullptr || adapter->model != target.model) {
      return 0;
    }
    demand.add(total);
    ModelDemand own;
    own.add(total);
    ReplicaNeed need;
    need.servable = {target.model, model.activeVersion, target.adapter};
    need.bytes = adapter->acceleratorBytes;
    need.checkpoint = adapter->checkpoint;
    need.checkpointBytes = adapter->checkpointBytes;
    need.model = model;
    need.urgency = own.urgency();
    need.deadline = own.deadline;
    const std::uint32_t targetCount = std::min(replicasFor(total.load()), model.maxReplicas);
    planned_.insert(need.servable);
    planReplicas(std::move(need), targetCount, 0);
    return total.load() > 0 ? adapter->acceleratorBytes : 0;
  }

  /// Compares the target number of replicas with the present ones and records a need or a surplus.
  void planReplicas(ReplicaNeed need, std::uint32_t targetCount, std::uint32_t minReplicas) {
    planned_.insert(need.servable);
    const DemandTarget target = targetOf(need.servable);
    const bool absent = input_.ledger.ofServable(need.servable).empty();
    if (absent && targetCount == 0 && !shouldPreload(target, need.model)) {
      return;
    }
    const Serving present = serving(need.servable);
    const std::uint32_t limit = need.model.maxReplicas;
    if (targetCount >= present.all) {
      usage_.recordFullUse(input_.now, need.servable);
    }
    std::uint32_t keep = present.all;
    if (input_.routersReported && !isHeld(target, usage_.lastFullUse(need.servable), need.model)) {
      keep = std::max({targetCount, minReplicas, isHeld(target, need.model) ? 1U : 0U});
    }
    unloadExcess(need.servable, std::min(keep, limit));
    const auto all = static_cast<std::uint32_t>(input_.state.replicaCount(need.servable));
    const std::uint32_t remainingLimit = limit - std::min(limit, all);
    if (targetCount == 0 && shouldPreload(target, need.model)) {
      targetCount = 1;
      need.urgency = Urgency::preload;
    }
    if (targetCount > present.healthy) {
      need.count = std::min(targetCount - present.healthy, remainingLimit);
      if (need.count == 0) {
        unloadFailing(need.servable);
      }
      if (need.count > 0) {
        plan_.needs.push_back(std::move(need));
      }
    }
  }

  /// Unloads a replica on an engine that fails requests, when the replica limit leaves no room for
  /// a replacement next to it.
  void unloadFailing(const Servable& servable) {
    for (const base::ReplicaId id : input_.ledger.ofServable(servable)) {
      const Replica& replica = *input_.ledger.find(id);
      if (input_.serves(replica) && input_.monitor.isFailing(replica.engine)) {
        unloadWithAdapters(replica);
        return;
      }
    }
  }

  /// Unloads the serving replicas in excess of `keep`, those with the fewest requests first.
  void unloadExcess(const Servable& servable, std::uint32_t keep) {
    std::vector<std::pair<std::uint32_t, base::ReplicaId>> serving;
    for (const base::ReplicaId id : input_.ledger.ofServable(servable)) {
      const Replica& replica = *input_.ledger.find(id);
      if (input_.serves(replica)) {
        serving.emplace_back(activeRequests(replica), id);
      }
    }
    std::sort(serving.begin(), serving.end());
    const std::size_t extra = serving.size() - std::min<std::size_t>(serving.size(), keep);
    for (std::size_t index = 0; index < extra; ++index) {
      unloadWithAdapters(*input_.ledger.find(serving[index].second));
    }
  }

  std::uint32_t activeRequests(const Replica& replica) const {
    const engine::Report* report = input_.monitor.report(replica.engine);
    if (report == nullptr) {
      return 0;
    }
    for (const engine::HeldServable& held : report->held) {
      if (held.accelerator == replica.accelerator && held.servable == replica.servable) {
        return held.activeRequests;
      }
    }
    return 0;
  }

  /// Plans replicas that no target of the model covers: other versions, deleted resources, idle
  /// adapters that no router reports, and all replicas on engines that take no work.
  void planPresentReplicas(const std::string& model) {
    const auto& servables = input_.ledger.servables();
    for (auto entry = servables.lower_bound(Servable{model, "", ""});
         entry != servables.end() && entry->first.model == model; ++entry) {
      const auto& [servable, ids] = *entry;
      const bool outdated = isOutdated(servable);
      const bool idleAdapter =
          !outdated && !servable.adapter.empty() && !planned_.contains(servable);
      if (idleAdapter) {
        planIdleAdapter(servable);
      }
      for (const base::ReplicaId id : ids) {
        const Replica& replica = *input_.ledger.find(id);
        const bool kept = !outdated || input_.hasPreviousVersionDemand(servable) ||
                          awaitsSuccessor(servable, replica);
        const bool shouldUnload = !input_.takesWork(replica.engine) || !kept;
        if (shouldUnload && replica.state != ReplicaState::unloading) {
          unloadWithAdapters(replica);
        }
      }
    }
  }

  void planIdleAdapter(const Servable& servable) {
    const auto* model = input_.state.findModel(servable.model);
    if (input_.routersReported && !isHeld(targetOf(servable), *model)) {
      unloadExcess(servable, 0);
    }
  }

  bool isOutdated(const Servable& servable) const {
    const auto* model = input_.state.findModel(servable.model);
    if (model == nullptr || model->activeVersion != servable.version) {
      return true;
    }
    if (servable.adapter.empty()) {
      return false;
    }
    const auto* adapter = input_.state.findAdapter(servable.adapter);
    return adapter == nullptr || adapter->model != servable.model;
  }

  /// @return true if the replica of a previous version is kept until the new version is ready. This
  /// holds only while the model is in use and may have replicas.
  bool awaitsSuccessor(const Servable& servable, const Replica& replica) const {
    const auto* model = input_.state.findModel(servable.model);
    if (model == nullptr || model->activeVersion.empty() || model->maxReplicas == 0 ||
        model->activeVersion == servable.version || replica.state != ReplicaState::ready) {
      return false;
    }
    if (!isHeld({servable.model, "", ""}, *model)) {
      return false;
    }
    for (const base::ReplicaId id :
         input_.ledger.ofServable(Servable{servable.model, model->activeVersion, ""})) {
      const Replica& successor = *input_.ledger.find(id);
      if (successor.state == ReplicaState::ready && input_.serves(successor)) {
        return false;
      }
    }
    return true;
  }

  void unloadWithAdapters(const Replica& replica) {
    if (replica.servable.adapter.empty()) {
      for (const base::ReplicaId id :
           input_.ledger.onAccelerator({replica.engine, replica.accelerator})) {
        const Replica& other = *input_.ledger.find(id);
        const bool over =
            !other.servable.adapter.empty() && baseOf(other.servable) == replica.servable;
        if (over && other.state != ReplicaState::unloading) {
          surplus_.insert(id);
        }
      }
    }
    surplus_.insert(replica.id);
  }

  void sortSurplus() {
    for (const bool adapters : {true, false}) {
      for (const base::ReplicaId id : surplus_) {
        const bool isAdapter = !input_.ledger.find(id)->servable.adapter.empty();
        if (isAdapter == adapters && !input_.changing.contains(id)) {
          plan_.surplus.push_back(id);
        }
      }
    }
  }

  const PlacementInput& input_;
  UsageTracker& usage_;
  KeepAliveTable& keepAlive_;
  TargetPlan plan_;
  /// Earliest due time of each plan read from keepAlive_.
  mutable std::map<std::string, base::TimePoint> dueAt_;
  ReplicaIds surplus_;
  std::set<Servable> planned_;  ///< Servables that were planned in this run.
};

}  // namespace

TargetPlan planTargets(const PlacementInput& input, const std::set<std::string>& models,
                       UsageTracker& usage, KeepAliveTable& keepAlive) {
  return Planner(input, usage, keepAlive).run(models);
}

}  // namespace walnut::control
