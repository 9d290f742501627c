#include "control/planning_queue.h"

#include <algorithm>

namespace walnut::control {

namespace {

/// @return all declared models, and deleted models that still have replicas.
std::set<std::string> allModels(const CellState& state, const LedgerIndex& ledger) {
  std::set<std::string> models;
  const auto& resources = state.resources();
  for (auto entry = resources.lower_bound({resource::Kind::model, ""});
       entry != resources.end() && entry->first.kind == resource::Kind::model; ++entry) {
    models.insert(models.end(), entry->first.name);
  }
  for (const auto& [servable, ids] : ledger.servables()) {
    models.insert(servable.model);
  }
  return models;
}

}  // namespace

std::vector<std::string> PlanningQueue::nextStep(const CellState& state,
                                                 const LedgerIndex& ledger) {
  if (plannedCount_ == passModels_.size()) {
    const std::set<std::string> models = allModels(state, ledger);
    passModels_.assign(models.begin(), models.end());
    plannedCount_ = 0;
  }
  const std::size_t count = (passModels_.size() + kStepsPerPass - 1) / kStepsPerPass;
  const std::size_t end = std::min(passModels_.size(), plannedCount_ + count);
  std::vector<std::string> step(passModels_.begin() + static_cast<std::ptrdiff_t>(plannedCount_),
                                passModels_.begin() + static_cast<std::ptrdiff_t>(end));
  plannedCount_ = end;
  return step;
}

}  // namespace walnut::control
