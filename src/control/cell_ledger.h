#pragma once
/// @file
/// Ledger of reserved memory and replica counts, kept up to date so that a placement is checked
/// without a scan.

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "walnut/base/ids.h"
#include "walnut/resource/types.h"

namespace walnut::control {

/// Sums of reserved memory by engine, model and budget, and sets of replicas by engine and
/// servable. It is derived from the replicas and from the budgets of the models, and is never part
/// of a snapshot. Invariant: every sum equals the one over the replicas that were added and not
/// removed. Entries that fall to zero are removed, so that the size follows the replicas and not
/// the history.
class CellLedger {
 public:
  void add(const resource::Replica& replica);
  /// @param replica the same value that was added.
  void remove(const resource::Replica& replica);
  /// Assigns the model's replicas to this budget; an empty name assigns them to none.
  void assignBudget(const std::string& model, const std::string& budget);

  std::uint64_t reservedBytes(const base::EngineId& engine,
                              base::AcceleratorIndex accelerator) const;
  std::uint64_t reservedBytesOfBudget(const std::string& budget) const;
  std::size_t replicaCount(const resource::Servable& servable) const;
  /// @return replicas of the model's versions and of its adapters, in any state.
  std::vector<base::ReplicaId> replicasOfModel(const std::string& model) const;
  /// @return replicas on the engine, in any state.
  const std::set<base::ReplicaId>& replicasOn(const base::EngineId& engine) const;

 private:
  using Accelerators = std::map<base::AcceleratorIndex, std::uint64_t>;

  std::map<base::EngineId, Accelerators> reservedBytes_;
  std::map<base::EngineId, std::set<base::ReplicaId>> replicasByEngine_;
  std::map<resource::Servable, std::set<base::ReplicaId>> replicasByServable_;
  std::map<std::string, std::uint64_t> bytesByModel_;
  std::map<std::string, std::uint64_t> bytesByBudget_;
  std::map<std::string, std::string> budgetByModel_;
};

}  // namespace walnut::control
