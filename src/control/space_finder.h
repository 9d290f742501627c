#pragma once
/// @file
/// Finds memory for replicas: free memory, memory that is being freed, and idle replicas to evict.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "control/load_time_estimate.h"
#include "control/placement_input.h"
#include "control/target_planner.h"

namespace walnut::control {

/// An accelerator with enough free memory for a replica.
struct PlacementChoice {
  AcceleratorPlace place;
  base::Incarnation incarnation;
  LoadSource source = LoadSource::store;
};

/// Tracks the memory that one run of the placement policy has assigned, and finds more. Memory
/// assigned in this run counts as used. Invariant: the bytes promised on an accelerator never
/// exceed those that are free now or will be once the current unloads are confirmed.
class SpaceFinder {
 public:
  explicit SpaceFinder(const PlacementInput& input) : input_(input) {}

  /// @return the best accelerator with enough free memory.
  std::optional<PlacementChoice> findFree(const ReplicaNeed& need);
  /// Assigns the memory on this accelerator to the need for this run.
  void reserve(const ReplicaNeed& need, const AcceleratorPlace& place);
  /// Reserves memory that is being freed for the need.
  /// @return false if there is not enough.
  bool reserveUnloading(const ReplicaNeed& need);
  /// Chooses idle replicas to evict for the need and reserves their memory for it.
  /// @return replicas to unload, adapters before their model; empty if no eviction would help.
  std::vector<base::ReplicaId> evictFor(const ReplicaNeed& need);
  /// Records that this run decided to unload the replica.
  void recordUnload(base::ReplicaId replica);
  /// @return the source from which the checkpoint would be loaded on this engine.
  LoadSource sourceAt(const base::EngineId& engine, const std::string& checkpoint) const;
  /// @return the number of accelerators examined in this run, a measure of its cost.
  std::size_t examinedCount() const { return examinedCount_; }

 private:
  /// Replicas that can only be evicted together, and the cost of losing them.
  struct EvictionGroup {
    std::vector<base::ReplicaId> replicas;
    std::uint64_t bytes = 0;
    double value = 0;
  };
  struct BudgetUse {
    std::uint64_t reserved = 0;
    std::uint64_t unloading = 0;
  };

  using Places = std::vector<AcceleratorPlace>;
  /// Accelerators of a pool that take work, and the smallest sizes for which the search found
  /// nothing in this run. Assigned memory only grows within a run, so larger sizes find nothing
  /// either until an unload is decided.
  struct Pool {
    Places places;
    std::uint64_t tooLargeForFree = UINT64_MAX;
    std::uint64_t tooLargeForUnloading = UINT64_MAX;
    std::uint64_t tooLargeForEviction = UINT64_MAX;
  };

  Pool& poolOf(const ReplicaNeed& need);
  Places placesOfAdapter(const ReplicaNeed& need) const;
  bool fits(const ReplicaNeed& need, const AcceleratorPlace& place) const;
  std::uint64_t freeBytes(const AcceleratorPlace& place) const;
  /// @return free memory plus memory being freed, minus promised memory, in bytes.
  std::uint64_t reservableBytes(const AcceleratorPlace& place) const;
  PlaceReplica placementAt(const ReplicaNeed& need, const AcceleratorPlace& place) const;
  bool canPlaceOn(const ReplicaNeed& need, const AcceleratorPlace& place) const;
  std::vector<EvictionGroup> groupsAt(const AcceleratorPlace& place, const ReplicaNeed& need) const;
  std::optional<EvictionGroup> groupOf(const resource::Replica& replica,
                                       const ReplicaNeed& need) const;
  bool isEvictable(const resource::Replica& replica) const;
  bool isOutdated(const resource::Servable& servable) const;
  bool isAboveMinimum(const resource::Servable& servable) const;
  bool isIdle(const resource::Replica& replica) const;
  double retentionValue(const resource::Replica& replica) const;
  std::optional<EvictionGroup> cheapest(std::vector<EvictionGroup> groups,
                                        std::uint64_t bytes) const;
  /// @return the bytes by which the need exceeds its budget, without regard to unloads in progress.
  std::uint64_t overBudget(const ReplicaNeed& need);
  std::vector<base::ReplicaId> evictWithinBudget(const ReplicaNeed& need, std::uint64_t bytes);
  const std::map<std::string, BudgetUse>& budgets();
  std::vector<base::ReplicaId> decideUnloads(const EvictionGroup& group);

  const PlacementInput& input_;
  std::size_t examinedCount_ = 0;
  /// Bytes assigned from memory that is free now.
  std::map<AcceleratorPlace, std::uint64_t> reservedBytes_;
  /// Bytes assigned from memory that is free or being freed.
  std::map<AcceleratorPlace, std::uint64_t> promisedBytes_;
  /// Bytes that decisions of this run will free.
  std::map<AcceleratorPlace, std::uint64_t> decidedUnloadBytes_;
  std::set<std::pair<AcceleratorPlace, resource::Servable>> reservedFor_;
  ReplicaIds decidedUnloads_;
  std::optional<std::map<std::string, BudgetUse>> budgets_;
  std::map<std::string, std::uint64_t> budgetReservedBytes_;
  std::map<std::string, Pool> pools_;  ///< Pools by name, filled on first use.
  Pool adapterPool_;                   ///< Accelerators for the adapter that is being examined.
};

}  // namespace walnut::control
