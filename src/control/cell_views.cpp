/// @file
/// Read-only functions of CellState.

#include "control/cell_placement_rules.h"
#include "control/cell_state.h"

namespace walnut::control {

using resource::Kind;

consensus::LogIndex CellState::appliedIndex() const { return contents_.appliedIndex; }

base::TimePoint CellState::time() const { return contents_.time; }

const std::map<resource::Key, resource::Resource>& CellState::resources() const {
  return contents_.resources;
}

const std::map<base::EngineId, resource::Engine>& CellState::engines() const {
  return contents_.engines;
}

const std::map<base::ReplicaId, resource::Replica>& CellState::replicas() const {
  return contents_.replicas;
}

const consensus::Membership& CellState::membership() const { return contents_.membership; }

const resource::ModelSpec* CellState::findModel(const std::string& name) const {
  return contents_.findSpec<resource::ModelSpec>(Kind::model, name);
}

const resource::ModelVersionSpec* CellState::findModelVersion(const std::string& name) const {
  return contents_.findSpec<resource::ModelVersionSpec>(Kind::modelVersion, name);
}

const resource::AdapterSpec* CellState::findAdapter(const std::string& name) const {
  return contents_.findSpec<resource::AdapterSpec>(Kind::adapter, name);
}

resource::CapacityBudgetSpec CellState::budgetOf(const resource::ModelSpec& model) const {
  const auto* budget =
      contents_.findSpec<resource::CapacityBudgetSpec>(Kind::capacityBudget, model.budget);
  return budget == nullptr ? resource::CapacityBudgetSpec{} : *budget;
}

resource::EnginePoolSpec CellState::poolOf(const resource::ModelSpec& model) const {
  const auto* pool = contents_.findSpec<resource::EnginePoolSpec>(Kind::enginePool, model.pool);
  return pool == nullptr ? resource::EnginePoolSpec{} : *pool;
}

bool CellState::drained(const base::EngineId& engine) const {
  return contents_.resources.contains(resource::Key{Kind::drain, engine.value});
}

std::uint64_t CellState::freeBytes(const base::EngineId& engine,
                                   base::AcceleratorIndex accelerator) const {
  const auto found = contents_.engines.find(engine);
  if (found == contents_.engines.end() ||
      accelerator.value >= found->second.acceleratorBytes.size()) {
    return 0;
  }
  return found->second.acceleratorBytes[accelerator.value] -
         ledger_.reservedBytes(engine, accelerator);
}

std::size_t CellState::replicaCount(const resource::Servable& servable) const {
  return ledger_.replicaCount(servable);
}

std::optional<base::Error> CellState::checkPlacement(const PlaceReplica& placement) const {
  return control::checkPlacement(contents_, ledger_, placement);
}

const ChangeHistory& CellState::history() const { return history_; }

std::vector<protocol::Change> CellState::wholeState() const {
  std::vector<protocol::Change> changes;
  changes.reserve(1 + contents_.resources.size() + contents_.engines.size() +
                  contents_.replicas.size());
  changes.emplace_back(
      protocol::MembershipChanged{contents_.membershipIndex, contents_.membership});
  for (const auto& [key, resource] : contents_.resources) {
    changes.emplace_back(protocol::ResourceChanged{resource});
  }
  for (const auto& [id, engine] : contents_.engines) {
    changes.emplace_back(protocol::EngineChanged{engine});
  }
  for (const auto& [id, replica] : contents_.replicas) {
    changes.emplace_back(protocol::ReplicaChanged{replica});
  }
  return changes;
}

std::optional<WriteOutcome> CellState::answerOf(const std::string& requestId) const {
  const RequestAnswers::Answer* answer = answers_.find(requestId);
  return answer == nullptr ? std::nullopt : std::optional<WriteOutcome>(answer->outcome);
}

}  // namespace walnut::control
