#include "control/ledger_index.h"

namespace walnut::control {

namespace {

template <class Map, class Key>
const ReplicaIds& idsAt(const Map& map, const Key& key) {
  static const ReplicaIds kNone;
  const auto found = map.find(key);
  return found == map.end() ? kNone : found->second;
}

template <class Map, class Key>
void eraseAt(Map& map, const Key& key, base::ReplicaId id) {
  const auto found = map.find(key);
  if (found == map.end()) {
    return;
  }
  found->second.erase(id);
  if (found->second.empty()) {
    map.erase(found);
  }
}

AcceleratorPlace placeOf(const resource::Replica& replica) {
  return {replica.engine, replica.accelerator};
}

}  // namespace

void LedgerIndex::rebuild(const CellState& state) {
  *this = LedgerIndex{};
  for (const auto& [id, replica] : state.replicas()) {
    put(replica);
  }
}

LedgerIndex::ChangedObjects LedgerIndex::update(const std::vector<protocol::Change>& changes) {
  ChangedObjects objects;
  for (const protocol::Change& change : changes) {
    if (const auto* changed = std::get_if<protocol::ReplicaChanged>(&change)) {
      objects.engines.insert(changed->replica.engine);
      objects.models.insert(changed->replica.servable.model);
      put(changed->replica);
    } else if (const auto* removed = std::get_if<protocol::ReplicaRemoved>(&change)) {
      if (const resource::Replica* replica = find(removed->replica)) {
        objects.engines.insert(replica->engine);
        objects.models.insert(replica->servable.model);
      }
      remove(removed->replica);
    } else if (const auto* engine = std::get_if<protocol::EngineChanged>(&change)) {
      objects.engines.insert(engine->engine.id);
    } else if (const auto* gone = std::get_if<protocol::EngineRemoved>(&change)) {
      objects.engines.insert(gone->engine);
    }
  }
  return objects;
}

void LedgerIndex::put(const resource::Replica& replica) {
  remove(replica.id);
  replicas_[replica.id] = replica;
  byEngine_[replica.engine].insert(replica.id);
  byPlace_[placeOf(replica)].insert(replica.id);
  byServable_[replica.servable].insert(replica.id);
  if (replica.state == resource::ReplicaState::reserved) {
    reserved_.insert(replica.id);
  }
}

void LedgerIndex::remove(base::ReplicaId id) {
  const auto found = replicas_.find(id);
  if (found == replicas_.end()) {
    return;
  }
  const resource::Replica& replica = found->second;
  eraseAt(byEngine_, replica.engine, id);
  eraseAt(byPlace_, placeOf(replica), id);
  eraseAt(byServable_, replica.servable, id);
  reserved_.erase(id);
  replicas_.erase(found);
}

const resource::Replica* LedgerIndex::find(base::ReplicaId id) const {
  const auto found = replicas_.find(id);
  return found == replicas_.end() ? nullptr : &found->second;
}

const ReplicaIds& LedgerIndex::onEngine(const base::EngineId& engine) const {
  return idsAt(byEngine_, engine);
}

const ReplicaIds& LedgerIndex::onAccelerator(const AcceleratorPlace& place) const {
  return idsAt(byPlace_, place);
}

const ReplicaIds& LedgerIndex::ofServable(const resource::Servable& servable) const {
  return idsAt(byServable_, servable);
}

bool LedgerIndex::holds(const AcceleratorPlace& place, const resource::Servable& servable) const {
  for (const base::ReplicaId id : onAccelerator(place)) {
    if (replicas_.at(id).servable == servable) {
      return true;
    }
  }
  return false;
}

std::uint64_t LedgerIndex::unloadingBytes(const AcceleratorPlace& place) const {
  std::uint64_t bytes = 0;
  for (const base::ReplicaId id : onAccelerator(place)) {
    const resource::Replica& replica = replicas_.at(id);
    if (replica.state == resource::ReplicaState::unloading) {
      bytes += replica.bytes;
    }
  }
  return bytes;
}

}  // namespace walnut::control
