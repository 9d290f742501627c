#pragma once
/// @file
/// The state of one run of the placement policy: its inputs, figures derived from them, and the
/// steps decided so far.

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "registry/demand_forecast.h"
#include "registry/placement.h"

namespace walnut::registry {

/// The source of a model's weights when a worker loads it, the fastest first.
enum class WeightTier : std::uint8_t { hostMemory, disk, store };

/// The working state of one call of PlacementPolicy::plan. Costs are in seconds of request waiting
/// time.
class PlacementRound {
 public:
  /// Counts over the workers of one model.
  struct Replicas {
    std::uint32_t present = 0;         ///< Workers that serve the model or are loading it.
    std::uint32_t serving = 0;         ///< Workers that serve the model.
    std::uint32_t running = 0;         ///< Requests at its workers.
    double queued = 0;                 ///< The part of `running` that waits for a worker's slot.
    std::uint32_t takingAdapters = 0;  ///< Workers that hold the model and can load adapters now.
    std::uint32_t copies = 0;          ///< Workers that have it in any tier or are loading it.
  };

  PlacementRound(const catalog::EngineSpec& engine, const std::vector<PlacementWorker>& workers,
                 const DemandBook& demand, StoreScheduler& store, const std::string& service,
                 base::TimePoint now);

  /// Adds the counts of workers that the plan leaves out, by model. None of them has requests.
  void addUnplannedWorkers(const std::map<std::string, std::uint32_t>& workers);

  const catalog::EngineSpec& engine() const { return engine_; }
  const std::vector<PlacementWorker>& workers() const { return workers_; }
  const DemandBook& demand() const { return demand_; }
  StoreScheduler& store() { return store_; }
  const StoreScheduler& store() const { return store_; }
  base::TimePoint now() const { return now_; }

  /// @return the model's specification, or nullptr if the service declares no such model.
  const catalog::ModelSpec* spec(const std::string& model) const;
  Replicas replicas(const std::string& model) const;
  DemandFigures figures(const std::string& model, const std::string& adapter = {}) const;
  /// @return the software version for which most requests for the model wait, of those versions
  /// that have workers, but none that serves the model or is loading it; empty if there is none.
  std::string versionToAdd(const std::string& model) const;

  /// @return true if a model with recent unserved requests can only be loaded from the store: no
  /// worker of this plan has a copy. Models that no worker can hold are left out.
  /// @param postponed models that must not be loaded now, which are left out too.
  bool hasUnservedModelWithoutCopy(const std::set<std::string>& postponed) const;

  /// @return true if the worker takes orders and this run has ordered nothing of it yet.
  bool canOrder(const PlacementWorker& worker) const;
  void order(PlacementStep step);
  std::vector<PlacementStep> takeSteps() { return std::move(steps_); }

  WeightTier tier(const PlacementWorker& worker, const std::string& model) const;
  static base::Duration loadTime(WeightTier tier, const catalog::ModelSpec& model);
  double freeMegabytes(const PlacementWorker& worker) const;
  /// @return the load if that many workers served the model, as a share of their slots.
  double loadWith(const std::string& model, std::uint32_t workers) const;
  /// @return the cheapest set of unloads that leaves that much memory free on a worker.
  /// @param takerLoad load of the model that needs the memory, as a share of its slots.
  UnloadPlan planUnloads(const PlacementWorker& worker, double megabytes,
                         double takerLoad = 0) const;
  /// @return the cost of keeping a worker busy with a model load: it can load no adapters
  /// meanwhile, so adapters of models that no other worker serves have to wait.
  double adapterBlockCost(const PlacementWorker& worker) const;

  /// @name Services where replicas are slow to add
  /// @{
  /// Makes this run plan by the expected demand. Requests that wait at gateways for a model with
  /// replicas count as queued from now on.
  /// @param means mean requests by model, which this updates. Must outlive the run.
  void lookAhead(std::map<std::string, RequestMean>& means);
  bool looksAhead() const { return looksAhead_; }
  /// @return the demand expected at the end of a further load, as a multiple of the present demand;
  /// 1 for a model without requests at its workers.
  double growth(const std::string& model) const;
  /// @return the load expected at the end of a further load, if that many workers served the model.
  double expectedLoadWith(const std::string& model, std::uint32_t workers) const;
  /// @return the load that the model's replicas are kept for, if that many workers served it.
  double keptLoadWith(const std::string& model, std::uint32_t workers) const;
  /// @return true if a worker that could load the model has its weights on disk or in memory.
  bool hasNearCopy(const std::string& model) const;
  /// @}

 private:
  void countReplicas();
  double unloadCost(const PlacementWorker& worker, const HeldModel& held, double takerLoad) const;
  double demandCost(const PlacementWorker& worker, const std::string& model,
                    double takerLoad) const;
  bool becomesIdle(const PlacementWorker& worker, const std::string& model) const;
  /// @return the share of a worker's requests that wait for a slot, from 0 to 1.
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
  bool looksAhead_ = false;
  std::unordered_map<std::string, double> growth_;                    ///< Of models with requests.
  const std::map<std::string, RequestMean>* requestMeans_ = nullptr;  ///< If it looks ahead.
};

}  // namespace walnut::registry
