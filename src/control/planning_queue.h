#pragma once
/// @file
/// Queue of the models that the placement policy plans next.

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/ledger_index.h"

namespace walnut::control {

/// Orders the planning of models. A changed model is planned at once. All other models are planned
/// in passes, a part of them in each step, for changes that follow from the passage of time alone.
/// So the work of a run depends on the number of changes and not on the size of the cell.
class PlanningQueue {
 public:
  /// Number of steps in which all models are planned once.
  static constexpr std::size_t kStepsPerPass = 16;

  void mark(const std::string& model) { marked_.insert(model); }
  bool anyMarked() const { return !marked_.empty(); }
  /// Restarts the pass after a change that may concern any model.
  void restartPass() { plannedCount_ = passModels_.size(); }

  /// @return the marked models and unmarks them.
  std::set<std::string> takeMarked() { return std::exchange(marked_, {}); }
  /// @return the models of the next step of the pass.
  std::vector<std::string> nextStep(const CellState& state, const LedgerIndex& ledger);

 private:
  std::set<std::string> marked_;
  std::vector<std::string> passModels_;  ///< Models of the current pass.
  std::size_t plannedCount_ = 0;         ///< Number of models of the pass already planned.
};

}  // namespace walnut::control
