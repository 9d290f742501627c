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
  if (done_ == pass_.size()) {
    const std::set<std::string> models = allModels(state, ledger);
    pass_.assign(models.begin(), models.end());
    done_ = 0;
  }
  const std::size_t count = (pass_.size() + kStepsOfPass - 1) / kStepsOfPass;
  const std::size_t end = std::min(pass_.size(), done_ + count);
  std::vector<std::string> step(pass_.begin() + static_cast<std::ptrdiff_t>(done_),
                                pass_.begin() + static_cast<std::ptrdiff_t>(end));
  done_ = end;
  return step;
}

}  // namespace walnut::control
