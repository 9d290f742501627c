#pragma once
/// @file
/// A service where replicas are slow to add, with demand that is reported over time.

#include <map>
#include <string>

#include "registry/placement_fixture.h"

namespace walnut::registry::testing {

/// @return a service of 16 slots whose workers hold two models each, and whose store takes 13.2 s
/// for a load: a load from disk takes 0.8 s.
inline catalog::EngineSpec slowToAddEngine(std::initializer_list<const char*> models) {
  using std::chrono_literals::operator""ms;
  catalog::EngineSpec engine;
  engine.slots = 16;
  engine.weightsMegabytes = 100;
  engine.adapterSlots = 2;
  engine.storeLoadsPerSecond = 1;
  catalog::ModelSpec model;
  model.weightsMegabytes = 50;
  model.storeLoadTime = 13200ms;
  model.diskLoadTime = 800ms;
  model.memoryLoadTime = 800ms;
  return withModels(engine, model, models);
}

/// Demand for models over time, as one gateway reports it every 500 ms, and a policy that plans by
/// it. The requests of a model are distributed equally over the workers that serve it.
class UnevenLoad {
 public:
  static constexpr base::Duration kReportInterval = std::chrono::milliseconds(500);

  UnevenLoad() { policy.setReplicasAreSlowToAdd(true); }

  /// Sets a model's arrivals per second and its running requests.
  void set(const std::string& model, double rate, double running, std::uint32_t waiting = 0) {
    models_[model].rate = rate;
    models_[model].running = running;
    models_[model].waiting = waiting;
  }

  /// Lets one report interval pass, then reports.
  void report() {
    now += kReportInterval;
    DemandUpdate update;
    for (auto& [name, model] : models_) {
      model.arrivals += model.rate * std::chrono::duration<double>(kReportInterval).count();
      const auto whole = static_cast<std::uint32_t>(model.arrivals);
      model.arrivals -= whole;
      update.demands.push_back({"svc", name, "", model.waiting, whole, 0, base::Duration(0)});
      update.demands.back().answered = whole;
      addLoads(update, name, model.running);
    }
    for (PlacementWorker& worker : workers) {
      worker.running = 0;
      for (const WorkerLoad& load : update.loads) {
        worker.running += load.worker == worker.id ? load.running : 0;
      }
    }
    demand.update({1}, update, now);
  }
  void reportFor(base::Duration time) {
    for (base::Duration passed{0}; passed < time; passed += kReportInterval) {
      report();
    }
  }

  std::vector<PlacementStep> plan(const catalog::EngineSpec& engine) {
    store.setLimit(engine.storeLoadsPerSecond, {}, now);
    return policy.plan(engine, workers, demand, store, now);
  }

  /// Plans, as `plan` does, after the time in which a new leader only compares the loads that need
  /// the store. A report arrives between the runs as in operation.
  std::vector<PlacementStep> planAfterComparison(const catalog::EngineSpec& engine) {
    plan(engine);
    reportFor(std::chrono::seconds(1));
    return plan(engine);
  }

  PlacementWorker& worker(const char* id) {
    for (PlacementWorker& candidate : workers) {
      if (candidate.id.value == id) {
        return candidate;
      }
    }
    workers.push_back(workerWith(id, {}));
    return workers.back();
  }

  base::TimePoint now{std::chrono::seconds(100)};
  std::vector<PlacementWorker> workers;
  PlacementPolicy policy{"svc"};
  StoreScheduler store;
  DemandBook demand;

 private:
  struct Model {
    double rate = 0;
    double running = 0;
    std::uint32_t waiting = 0;
    double arrivals = 0;  ///< Not reported yet: less than one.
  };

  void addLoads(DemandUpdate& update, const std::string& model, double running) const {
    std::vector<WorkerId> serving;
    for (const PlacementWorker& worker : workers) {
      if (worker.serving && worker.holdings.find(model) != nullptr) {
        serving.push_back(worker.id);
      }
    }
    auto left = static_cast<std::uint32_t>(running);
    for (std::size_t index = 0; index < serving.size(); ++index) {
      const auto share = static_cast<std::uint32_t>(left / (serving.size() - index));
      update.loads.push_back({serving[index], model, share});
      left -= share;
    }
  }

  std::map<std::string, Model> models_;
};

}  // namespace walnut::registry::testing
