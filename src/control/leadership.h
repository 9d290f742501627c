#pragma once
/// @file
/// Tasks of the cell's leader: engine registration, placement, orders and promotion of learners.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/command_log.h"
#include "control/demand_table.h"
#include "control/engine_monitor.h"
#include "control/ledger_index.h"
#include "control/member_change.h"
#include "control/outlier_detector.h"
#include "control/placement_policy.h"
#include "control/planning_queue.h"
#include "control/platform_watcher.h"
#include "control/replica_reconciler.h"
#include "control/usage_tracker.h"

namespace walnut::control {

/// Changes made by a batch of applied entries.
struct StateChange {
  /// Changes of the state; empty if there are more than the history keeps.
  std::optional<std::vector<protocol::Change>> changes;
  std::set<base::EngineId> engines;  ///< Engines whose record or replicas changed.
  std::set<std::string> models;      ///< Models whose replicas changed.
};

/// References that the leader works with; all outlive the leadership.
struct LeaderContext {
  const ControllerOptions& options;
  consensus::Raft& raft;
  CommandLog& log;
  const CellState& state;
  const LedgerIndex& ledger;
  DemandTable& demand;
  std::uint64_t& nextCall;  ///< Numbers engine calls over the lifetime of the process.
  std::vector<ControllerAction>& actions;
};

/// Performs the leader's tasks. Exists exactly while this server leads and has applied an entry of
/// its own term, so that it has seen everything that previous leaders committed. All its data is of
/// this term. It proposes every decision; orders follow from the committed state alone.
class Leadership {
 public:
  Leadership(const LeaderContext& context, consensus::Term term, base::TimePoint now);

  consensus::Term term() const { return term_; }
  void platformListRead(base::TimePoint now, const PlatformListRead& read);
  void engineCallFinished(base::TimePoint now, const EngineCallFinished& call);
  /// Records the outcomes of a router's attempts, which arrive with its demand.
  void outcomesReported(base::TimePoint now, const protocol::DemandReport& report);
  /// Handles an applied entry of this term.
  void applied(const AppliedEntry& entry);
  /// Handles applied entries that changed the state.
  void stateChanged(base::TimePoint now, const StateChange& change);
  /// Performs all tasks that are due. Must be called before Raft's outputs are taken.
  void run(base::TimePoint now);
  /// @return the time of the next task; TimePoint::min() if one is due already.
  base::TimePoint nextWakeup() const;

 private:
  /// Objects that a proposal in progress concerns; another proposal for the same object has to
  /// wait.
  struct Proposal {
    std::optional<base::EngineId> engine;
    std::optional<base::ReplicaId> replica;
    std::optional<resource::Engine> record;  ///< Record to be registered.
    bool placement = false;                  ///< True if the placement policy decided it.
  };

  void propose(base::TimePoint now, CommandBody body, bool byPolicy);
  void trackEngines(base::TimePoint now);
  void reviewEngine(base::TimePoint now, const base::EngineId& engine);
  void registerEngine(base::TimePoint now, const base::EngineId& engine);
  void removeGoneMachines(base::TimePoint now);
  void detectOutliers(base::TimePoint now);
  void recordReportedUse(base::TimePoint now, const engine::Report& report);
  void markChanged(const std::vector<protocol::Change>& changes);
  void markResource(const resource::Key& key, const resource::Spec* spec);
  void markModelsOn(const base::EngineId& engine);
  void decidePlacement(base::TimePoint now);
  base::TimePoint placementDueAt() const;

  LeaderContext context_;
  consensus::Term term_;
  base::TimePoint startedAt_;
  EngineMonitor monitor_;
  ReplicaReconciler reconciler_;
  PlatformWatcher platform_;
  UsageTracker usage_;
  PlacementPolicy policy_;
  LearnerPromotion promotion_;
  OutlierDetector<base::EngineId, base::RouterId> outliers_;

  std::map<consensus::LogIndex, Proposal> proposals_;  ///< Proposals in progress.
  std::set<base::EngineId> changingEngines_;           ///< Engines that proposals_ concern.
  ReplicaIds changingReplicas_;                        ///< Replicas that proposals_ concern.
  /// Records that the state machine refused; they are not proposed again until they change.
  std::map<base::EngineId, resource::Engine> refusedRecords_;
  std::size_t placementsInFlight_ = 0;
  std::set<base::EngineId> enginesToReview_;  ///< Engines to review.
  PlanningQueue planning_;
  bool placementIsStale_ =
      true;  ///< True after a change that cannot be attributed to single models.
  base::TimePoint lastPlacementAt_;     ///< Time of the last run of the policy.
  base::TimePoint nextPlanningStepAt_;  ///< Time of the next step of the pass over all models.
};

}  // namespace walnut::control
