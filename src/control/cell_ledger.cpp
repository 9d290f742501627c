#include "control/cell_ledger.h"

namespace walnut::control {

namespace {

template <class Map, class Key>
std::uint64_t valueOr0(const Map& map, const Key& key) {
  const auto found = map.find(key);
  return found == map.end() ? 0 : found->second;
}

/// Subtracts `amount` from an entry that holds at least that much, and removes the entry at zero.
template <class Map, class Key>
void subtract(Map& map, const Key& key, std::uint64_t amount) {
  const auto found = map.find(key);
  if (found == map.end()) {
    return;
  }
  found->second -= amount;
  if (found->second == 0) {
    map.erase(found);
  }
}

/// Removes the replica from the set under `key`, and removes the set when it is empty.
template <class Map, class Key>
void eraseFrom(Map& map, const Key& key, base::ReplicaId replica) {
  const auto found = map.find(key);
  if (found == map.end()) {
    return;
  }
  found->second.erase(replica);
  if (found->second.empty()) {
    map.erase(found);
  }
}

}  // namespace

void CellLedger::add(const resource::Replica& replica) {
  reservedBytes_[replica.engine][replica.accelerator] += replica.bytes;
  replicasByEngine_[replica.engine].insert(replica.id);
  replicasByServable_[replica.servable].insert(replica.id);
  bytesByModel_[replica.servable.model] += replica.bytes;
  const auto budget = budgetByModel_.find(replica.servable.model);
  if (budget != budgetByModel_.end()) {
    bytesByBudget_[budget->second] += replica.bytes;
  }
}

void CellLedger::remove(const resource::Replica& replica) {
  const auto accelerators = reservedBytes_.find(replica.engine);
  if (accelerators != reservedBytes_.end()) {
    subtract(accelerators->second, replica.accelerator, replica.bytes);
    if (accelerators->second.empty()) {
      reservedBytes_.erase(accelerators);
    }
  }
  eraseFrom(replicasByEngine_, replica.engine, replica.id);
  eraseFrom(replicasByServable_, replica.servable, replica.id);
  subtract(bytesByModel_, replica.servable.model, replica.bytes);
  const auto budget = budgetByModel_.find(replica.servable.model);
  if (budget != budgetByModel_.end()) {
    subtract(bytesByBudget_, budget->second, replica.bytes);
  }
}

void CellLedger::assignBudget(const std::string& model, const std::string& budget) {
  const std::uint64_t bytes = valueOr0(bytesByModel_, model);
  const auto previous = budgetByModel_.find(model);
  if (previous != budgetByModel_.end()) {
    subtract(bytesByBudget_, previous->second, bytes);
    budgetByModel_.erase(previous);
  }
  if (!budget.empty()) {
    budgetByModel_[model] = budget;
    if (bytes != 0) {
      bytesByBudget_[budget] += bytes;
    }
  }
}

std::uint64_t CellLedger::reservedBytes(const base::EngineId& engine,
                                        base::AcceleratorIndex accelerator) const {
  const auto found = reservedBytes_.find(engine);
  return found == reservedBytes_.end() ? 0 : valueOr0(found->second, accelerator);
}

std::uint64_t CellLedger::reservedBytesOfBudget(const std::string& budget) const {
  return valueOr0(bytesByBudget_, budget);
}

std::size_t CellLedger::replicaCount(const resource::Servable& servable) const {
  const auto found = replicasByServable_.find(servable);
  return found == replicasByServable_.end() ? 0 : found->second.size();
}

std::vector<base::ReplicaId> CellLedger::replicasOfModel(const std::string& model) const {
  std::vector<base::ReplicaId> replicas;
  auto entry = replicasByServable_.lower_bound(resource::Servable{model, {}, {}});
  for (; entry != replicasByServable_.end() && entry->first.model == model; ++entry) {
    replicas.insert(replicas.end(), entry->second.begin(), entry->second.end());
  }
  return replicas;
}

const std::set<base::ReplicaId>& CellLedger::replicasOn(const base::EngineId& engine) const {
  static const std::set<base::ReplicaId> kNone;
  const auto found = replicasByEngine_.find(engine);
  return found == replicasByEngine_.end() ? kNone : found->second;
}

}  // namespace walnut::control
