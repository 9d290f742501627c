#pragma once
/// @file
/// One run of the placement policy: its inputs, figures worked out of them, and what was decided.

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "registry/placement.h"

namespace walnut::registry {

/// Where the weights of a model come from when a worker loads it, the quickest first.
enum class WeightTier : std::uint8_t { hostMemory, disk, store };

/// Lives for one call of PlacementPolicy::plan. Costs are in seconds of a request's wait.
class PlacementRound {
 public:
  /// Workers of one model.
  struct Replicas {
    std::uint32_t present = 0;         ///< Workers that serve it or are about to.
    std::uint32_t serving = 0;         ///< Workers that serve it.
    std::uint32_t running = 0;         ///< Requests.
    double queued = 0;                 ///< Of these, those that wait for a slot of their worker.
    std::uint32_t takingAdapters = 0;  ///< Workers that hold it and take adapters now.
    std::uint32_t copies = 0;          ///< Workers that have it in any tier, or are loading it.
  };

  PlacementRound(const catalog::EngineSpec& engine, const std::vector<PlacementWorker>& workers,
                 const DemandBook& demand, StoreScheduler& store, const std::string& service,
                 base::TimePoint now);

  /// Workers that are not looked at, and hold these models: none of them has requests.
  void addOutside(const std::map<std::string, std::uint32_t>& workers);

  const catalog::EngineSpec& engine() const { return engine_; }
  const std::vector<PlacementWorker>& workers() const { return workers_; }
  const DemandBook& demand() const { return demand_; }
  StoreScheduler& store() { return store_; }
  const StoreScheduler& store() const { return store_; }
  base::TimePoint now() const { return now_; }

  /// @return the model's declaration, or nullptr.
  const catalog::ModelSpec* spec(const std::string& model) const;
  Replicas replicas(const std::string& model) const;
  DemandFigures figures(const std::string& model, const std::string& adapter = {}) const;

  /// @return true if nothing was ordered of the worker and it takes orders.
  bool mayOrder(const PlacementWorker& worker) const;
  void order(PlacementStep step);
  std::vector<PlacementStep> takeSteps() { return std::move(steps_); }

  WeightTier tier(const PlacementWorker& worker, const std::string& model) const;
  static base::Duration loadTime(WeightTier tier, const catalog::ModelSpec& model);
  double freeMegabytes(const PlacementWorker& worker) const;
  /// @return the load of a model's workers if it had that many, as a share of their slots.
  double loadWith(const std::string& model, std::uint32_t workers) const;
  /// @return the cheapest way to have that much free at a worker.
  Room roomFor(const PlacementWorker& worker, double megabytes) const;
  /// @return what it costs to keep a worker busy with a model: it takes no adapters meanwhile, and
  /// those of models that no other worker serves have to wait.
  double adapterBlockCost(const PlacementWorker& worker) const;

 private:
  void summarise();
  double unloadCost(const PlacementWorker& worker, const HeldModel& held) const;
  bool becomesIdle(const PlacementWorker& worker, const std::string& model) const;
  /// @return how much of what runs at a worker waits for a slot, 0 to 1.
  double queuedShare(const PlacementWorker& worker) const;
  double lastReplicaCost(const PlacementWorker& worker, const std::string& model) const;

  const catalog::EngineSpec& engine_;
  const std::vector<PlacementWorker>& workers_;
  const DemandBook& demand_;
  StoreScheduler& store_;
  const std::string& service_;
  const base::TimePoint now_;
  std::unordered_map<std::string, const catalog::ModelSpec*> specs_;
  std::unordered_map<std::string, Replicas> replicas_;
  std::vector<PlacementStep> steps_;
  std::set<WorkerId> ordered_;
};

}  // namespace walnut::registry
