#include "routing/view_contents.h"

#include <algorithm>

namespace walnut::routing {

using resource::Kind;

namespace {

using ReplicaIds = std::vector<base::ReplicaId>;

void insert(ReplicaIds& ids, base::ReplicaId id) {
  ids.insert(std::lower_bound(ids.begin(), ids.end(), id), id);
}

void erase(ReplicaIds& ids, base::ReplicaId id) {
  const auto found = std::lower_bound(ids.begin(), ids.end(), id);
  if (found != ids.end() && *found == id) {
    ids.erase(found);
  }
}

/// @return the record without its accelerators, which only placement needs.
resource::Engine withoutPlacementFields(const resource::Engine& engine) {
  resource::Engine kept;
  kept.id = engine.id;
  kept.endpoint = engine.endpoint;
  kept.zone = engine.zone;
  kept.machineClass = engine.machineClass;
  kept.incarnation = engine.incarnation;
  kept.status = engine.status;
  kept.reclaimAt = engine.reclaimAt;
  return kept;
}

}  // namespace

void ViewContents::apply(const protocol::Change& change, ViewChange& touched) {
  std::visit([&](const auto& body) { apply(body, touched); }, change);
}

void ViewContents::markAllChanged(ViewChange& touched) const {
  touched.names = true;
  for (const auto& [name, model] : models_) {
    touched.targets.insert(name);
  }
  for (const auto& [name, adapter] : adapters_) {
    touched.targets.insert(name);
  }
  for (const auto& [id, engine] : engines_) {
    touched.engines.insert(id);
  }
}

void ViewContents::touchModel(const std::string& model, ViewChange& touched) const {
  touched.names = true;
  touched.targets.insert(model);
  for (const auto& [name, adapter] : adapters_) {
    if (adapter.model == model) {
      touched.targets.insert(name);
    }
  }
}

void ViewContents::touchEngine(const base::EngineId& engine, ViewChange& touched) {
  touched.engines.insert(engine);
  const auto found = engines_.find(engine);
  if (found == engines_.end()) {
    return;
  }
  for (const base::ReplicaId id : found->second.replicas) {
    touchReplica(replicas_.at(id), touched);
  }
}

void ViewContents::touchReplica(const Replica& replica, ViewChange& touched) {
  invalidateReady(servableReplicasOf(replica));
  touched.targets.insert(targetOf(replica));
  touched.engines.insert(replica.engine->first);
}

void ViewContents::apply(const protocol::ResourceChanged& change, ViewChange& touched) {
  const resource::Resource& resource = change.resource;
  const std::string& name = resource.key.name;
  switch (resource.key.kind) {
    case Kind::model:
      models_[name] = {std::get<resource::ModelSpec>(resource.spec).activeVersion,
                       resource.version};
      touchModel(name, touched);
      break;
    case Kind::adapter:
      adapters_[name] = {std::get<resource::AdapterSpec>(resource.spec).model, resource.version};
      touched.names = true;
      touched.targets.insert(name);
      break;
    case Kind::drain:
      drainedEngines_.insert(base::EngineId{name});
      touchEngine(base::EngineId{name}, touched);
      break;
    case Kind::modelVersion:
      modelOfVersion_[name] = std::get<resource::ModelVersionSpec>(resource.spec).model;
      break;
    case Kind::capacityBudget:
    case Kind::enginePool:
      break;  // Routing does not depend on them.
  }
}

void ViewContents::apply(const protocol::ResourceDeleted& change, ViewChange& touched) {
  const std::string& name = change.key.name;
  switch (change.key.kind) {
    case Kind::model:
      models_.erase(name);
      touchModel(name, touched);
      break;
    case Kind::adapter:
      adapters_.erase(name);
      touched.names = true;
      touched.targets.insert(name);
      break;
    case Kind::drain:
      drainedEngines_.erase(base::EngineId{name});
      touchEngine(base::EngineId{name}, touched);
      break;
    case Kind::modelVersion:
      modelOfVersion_.erase(name);
      break;
    case Kind::capacityBudget:
    case Kind::enginePool:
      break;
  }
}

void ViewContents::apply(const protocol::EngineChanged& change, ViewChange& touched) {
  engines_[change.engine.id].known = withoutPlacementFields(change.engine);
  touchEngine(change.engine.id, touched);
}

void ViewContents::apply(const protocol::EngineRemoved& change, ViewChange& touched) {
  touchEngine(change.engine, touched);
  const auto found = engines_.find(change.engine);
  if (found != engines_.end()) {
    found->second.known.reset();
    eraseIfUnused(change.engine);
  }
}

void ViewContents::apply(const protocol::ReplicaChanged& change, ViewChange& touched) {
  const resource::Replica& changed = change.replica;
  removeReplica(changed.id, touched);
  const auto version =
      servables_.try_emplace({changed.servable.model, changed.servable.version}).first;
  Replica& replica = replicas_[changed.id];
  replica.version = &*version;
  if (!changed.servable.adapter.empty()) {
    replica.adapter = &*version->second.adapters.try_emplace(changed.servable.adapter).first;
  }
  replica.engine = &*engines_.try_emplace(changed.engine).first;
  replica.incarnation = changed.incarnation;
  replica.ready = changed.state == resource::ReplicaState::ready;
  insert(servableReplicasOf(replica).ids, changed.id);
  insert(replica.engine->second.replicas, changed.id);
  touchReplica(replica, touched);
}

void ViewContents::apply(const protocol::ReplicaRemoved& change, ViewChange& touched) {
  removeReplica(change.replica, touched);
}

void ViewContents::apply(const protocol::MembershipChanged& change, ViewChange& touched) {
  if (change.index < membershipIndex_) {
    return;
  }
  membership_ = change.membership;
  membershipIndex_ = change.index;
  touched.membership = true;
}

void ViewContents::removeReplica(base::ReplicaId id, ViewChange& touched) {
  const auto found = replicas_.find(id);
  if (found == replicas_.end()) {
    return;
  }
  const Replica replica = found->second;
  touchReplica(replica, touched);
  replicas_.erase(found);
  erase(servableReplicasOf(replica).ids, id);
  erase(replica.engine->second.replicas, id);
  eraseIfUnused(replica);
}

void ViewContents::eraseIfUnused(const Replica& replica) {
  VersionReplicas& version = replica.version->second;
  if (replica.adapter != nullptr && replica.adapter->second.ids.empty()) {
    version.adapters.erase(version.adapters.find(replica.adapter->first));
  }
  if (version.own.ids.empty() && version.adapters.empty()) {
    servables_.erase(servables_.find(replica.version->first));
  }
  eraseIfUnused(replica.engine->first);
}

void ViewContents::eraseIfUnused(const base::EngineId& engine) {
  const auto found = engines_.find(engine);
  if (!found->second.known.has_value() && found->second.replicas.empty()) {
    engines_.erase(found);
  }
}

ViewContents::ServableReplicas& ViewContents::servableReplicasOf(const Replica& replica) {
  return replica.adapter == nullptr ? replica.version->second.own : replica.adapter->second;
}

const std::string& ViewContents::targetOf(const Replica& replica) {
  return replica.adapter == nullptr ? replica.version->first.model : replica.adapter->first;
}

std::optional<resource::Servable> ViewContents::resolve(const std::string& target) const {
  resource::Servable servable{target, {}, {}};
  auto model = models_.find(target);
  if (model == models_.end()) {
    const auto adapter = adapters_.find(target);
    if (adapter == adapters_.end()) {
      return std::nullopt;
    }
    servable.model = adapter->second.model;
    servable.adapter = target;
    model = models_.find(servable.model);
  }
  if (model == models_.end() || model->second.activeVersion.empty()) {
    return std::nullopt;
  }
  servable.version = model->second.activeVersion;
  return servable;
}

bool ViewContents::declaresVersion(const resource::Servable& servable) const {
  const auto version = modelOfVersion_.find(servable.version);
  return version != modelOfVersion_.end() && version->second == servable.model;
}

const ViewContents::ServableReplicas* ViewContents::findServable(
    const resource::Servable& servable) const {
  const auto version = servables_.find({servable.model, servable.version});
  if (version == servables_.end()) {
    return nullptr;
  }
  if (servable.adapter.empty()) {
    return &version->second.own;
  }
  const auto adapter = version->second.adapters.find(servable.adapter);
  return adapter == version->second.adapters.end() ? nullptr : &adapter->second;
}

const std::vector<ReadyReplica>& ViewContents::readyReplicas(
    const resource::Servable& servable) const {
  static const std::vector<ReadyReplica> kNone;
  const ServableReplicas* replicas = findServable(servable);
  if (replicas == nullptr) {
    return kNone;
  }
  if (!replicas->ready.has_value()) {
    replicas->ready = findReady(replicas->ids);
    cachedReady_ += replicas->ready->size();
  }
  return *replicas->ready;
}

void ViewContents::invalidateReady(const ServableReplicas& replicas) {
  if (replicas.ready.has_value()) {
    cachedReady_ -= replicas.ready->size();
    replicas.ready.reset();
  }
}

void ViewContents::limitReadyCache() {
  if (cachedReady_ <= kMaxCachedReady) {
    return;
  }
  for (const auto& [version, replicas] : servables_) {
    invalidateReady(replicas.own);
    for (const auto& [adapter, ofAdapter] : replicas.adapters) {
      invalidateReady(ofAdapter);
    }
  }
}

bool ViewContents::takesWork(const Replica& replica) const {
  const std::optional<resource::Engine>& holder = replica.engine->second.known;
  return replica.ready && holder.has_value() && holder->incarnation == replica.incarnation &&
         takesWork(*holder);
}

bool ViewContents::takesWork(const resource::Engine& engine) const {
  return engine.status == resource::EngineStatus::live && !drainedEngines_.contains(engine.id);
}

std::vector<ReadyReplica> ViewContents::findReady(const ReplicaIds& ids) const {
  std::vector<ReadyReplica> ready;
  ready.reserve(ids.size());
  for (const base::ReplicaId id : ids) {
    const Replica& replica = replicas_.at(id);
    if (takesWork(replica)) {
      const resource::Engine& holder = *replica.engine->second.known;
      ready.push_back({id, holder.id, holder.endpoint, holder.zone});
    }
  }
  return ready;
}

const resource::Engine* ViewContents::engine(const base::EngineId& id) const {
  const auto found = engines_.find(id);
  const bool known = found != engines_.end() && found->second.known.has_value();
  return known ? &*found->second.known : nullptr;
}

std::vector<const resource::Engine*> ViewContents::enginesThatTakeWork() const {
  std::vector<const resource::Engine*> engines;
  for (const auto& [id, entry] : engines_) {
    if (entry.known.has_value() && takesWork(*entry.known)) {
      engines.push_back(&*entry.known);
    }
  }
  return engines;
}

std::vector<ServedName> ViewContents::servedNames() const {
  std::vector<ServedName> names;
  for (const auto& [name, model] : models_) {
    if (!model.activeVersion.empty()) {
      names.push_back({name, false, model.version});
    }
  }
  for (const auto& [name, adapter] : adapters_) {
    if (resolve(name).has_value()) {
      names.push_back({name, true, adapter.version});
    }
  }
  return names;
}

}  // namespace walnut::routing
