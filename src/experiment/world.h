#pragma once
/// @file
/// One simulated run: callers and routers before a local cell.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "experiment/local_cell.h"
#include "experiment/metrics.h"
#include "experiment/workload.h"

namespace walnut::experiment {

/// Routers hand a request to the ready replica with the fewest, interactive ones first, and report
/// demand as the product's routers do: waiting ones within 200 ms, the first at once, running ones
/// within 5 s. They share what they know, since nothing fails here.
class World {
 public:
  /// The references outlive the world.
  World(const Scenario& scenario, const Workload& workload, std::uint64_t seed);

  /// @param measuredFrom what arrives before is not counted.
  Figures run(base::TimePoint measuredFrom);

 private:
  /// States: waiting -> sent -> (answered); sent -> waiting (the engine refused); waiting ->
  /// (refused: an interactive one at its deadline).
  struct Call {
    bool cold = false;
    bool counted = false;
    bool waiting = false;
    bool hasToken = false;
    std::uint64_t attempt = 0;
    base::EngineId engine;
  };
  struct TargetState {
    std::deque<std::size_t> waiting[2];  ///< Calls, by priority.
  };
  struct RouterTarget {
    protocol::Demand reported;
    std::uint32_t waiting[2] = {0, 0};
    std::uint32_t running = 0;
    base::TimePoint lastArrival;
  };
  struct Router {
    std::map<std::size_t, RouterTarget> targets;
    std::set<std::size_t> changed;
    base::TimePoint flushAt = base::kNever;
    std::uint64_t sequence = 0;
  };
  struct EngineUse {
    base::EngineId engine;
    std::size_t target = 0;
    auto operator<=>(const EngineUse&) const = default;
  };

  void arrive(std::size_t call);
  void dispatch(std::size_t target);
  std::optional<base::EngineId> chooseEngine(std::size_t target) const;
  void send(std::size_t call, const base::EngineId& engine);
  void expireWaiting();
  void takeCellEvents();
  void apply(const protocol::Change& change);
  void apply(const engine::GenerateEvent& event);
  void firstToken(std::size_t call);
  void ended(std::size_t call);
  void failed(std::size_t call);
  void leaveEngine(std::size_t call);
  void noteRunning(std::size_t call, int change);
  void noteStoreRead(const StoreReadBegun& read);
  void demandChanged(std::size_t router, std::size_t target, base::Duration within);
  void flush(std::size_t router);
  void countIdle(const resource::Replica& replica);
  void countIdleOf(std::size_t target);
  bool measured() const { return now_ >= measuredFrom_; }
  bool hasReady(std::size_t target) const;
  std::size_t targetOf(const resource::Servable& servable) const;
  const Request& request(std::size_t call) const { return workload_.requests[call]; }

  const Scenario& scenario_;
  const Workload& workload_;
  LocalCell cell_;
  base::TimePoint now_;
  base::TimePoint measuredFrom_;
  Figures figures_;
  IdleMeter idle_;

  std::vector<Call> calls_;
  std::vector<TargetState> targets_;
  std::vector<Router> routers_;
  std::map<resource::Servable, std::size_t> targetIndex_;
  std::map<base::ReplicaId, resource::Replica> replicas_;
  std::map<std::size_t, std::set<base::ReplicaId>> replicasOf_;  ///< By target.
  std::map<EngineUse, std::uint32_t> running_;
  /// Interactive calls that may still wait, the earliest deadline first.
  std::set<std::pair<base::TimePoint, std::size_t>> deadlines_;
  std::size_t nextRequest_ = 0;
};

}  // namespace walnut::experiment
