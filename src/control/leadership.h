#pragma once
/// @file
/// Duties of the cell's leader: engines, placement, orders, promotion of learners.

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

/// What a batch of applied entries has changed.
struct StateChange {
  /// Nothing: more than the history keeps.
  std::optional<std::vector<protocol::Change>> changes;
  std::set<base::EngineId> engines;  ///< Whose record or replicas changed.
  std::set<std::string> models;      ///< Whose replicas changed.
};

/// What a leader works with; all outlive the leadership.
struct LeaderContext {
  const ControllerOptions& options;
  consensus::Raft& raft;
  CommandLog& log;
  const CellState& state;
  const LedgerIndex& ledger;
  DemandTable& demand;
  std::uint64_t& nextCall;  ///< Numbers calls of engines over the life of the process.
  std::vector<ControllerAction>& actions;
};

/// Exists exactly while this server leads and has applied an entry of its own term, so that it has
/// seen everything that former leaders committed. All its memory is of this term. Every decision is
/// proposed here; orders follow from the committed state alone.
class Leadership {
 public:
  Leadership(const LeaderContext& context, consensus::Term term, base::TimePoint now);

  consensus::Term term() const { return term_; }
  void platformListRead(base::TimePoint now, const PlatformListRead& read);
  void engineCallFinished(base::TimePoint now, const EngineCallFinished& call);
  /// A router tells, beside its demand, what became of its attempts.
  void outcomesReported(base::TimePoint now, const protocol::DemandReport& report);
  /// An entry of this term was applied.
  void applied(const AppliedEntry& entry);
  /// Entries that changed the state were applied.
  void stateChanged(base::TimePoint now, const StateChange& change);
  /// Does what is due. To be called before Raft's outputs are taken.
  void run(base::TimePoint now);
  /// @return TimePoint::min() if something is due already.
  base::TimePoint nextWakeup() const;

 private:
  /// What a proposal under way is about; another one on the same has to wait.
  struct Proposal {
    std::optional<base::EngineId> engine;
    std::optional<base::ReplicaId> replica;
    std::optional<resource::Engine> record;  ///< To be registered.
    bool placement = false;                  ///< Decided by the policy.
  };

  void propose(base::TimePoint now, CommandBody body, bool byPolicy);
  void trackEngines(base::TimePoint now);
  void reviewEngine(base::TimePoint now, const base::EngineId& engine);
  void registerEngine(base::TimePoint now, const base::EngineId& engine);
  void removeGone(base::TimePoint now);
  void detectOutliers(base::TimePoint now);
  void takeReport(base::TimePoint now, const engine::Report& report);
  void markChanged(const std::vector<protocol::Change>& changes);
  void markResource(const resource::Key& key, const resource::Spec* spec);
  void markModelsOn(const base::EngineId& engine);
  void decidePlacement(base::TimePoint now);
  base::TimePoint placementDueAt() const;

  LeaderContext context_;
  consensus::Term term_;
  base::TimePoint since_;
  EngineMonitor monitor_;
  ReplicaReconciler reconciler_;
  PlatformWatcher platform_;
  UsageTracker usage_;
  PlacementPolicy policy_;
  LearnerPromotion promotion_;
  OutlierDetector<base::EngineId, base::RouterId> outliers_;

  std::map<consensus::LogIndex, Proposal> proposals_;  ///< Under way.
  std::set<base::EngineId> changingEngines_;           ///< Named by one of proposals_.
  ReplicaIds changingReplicas_;                        ///< Named by one of proposals_.
  /// Records that the state machine refused; not proposed again while they are the same.
  std::map<base::EngineId, resource::Engine> refusedRecords_;
  std::size_t placementsUnderWay_ = 0;
  std::set<base::EngineId> stale_;  ///< Engines to be reviewed.
  PlanningQueue planning_;
  bool placementStale_ = true;  ///< Something that no model stands for has changed.
  base::TimePoint placedAt_;    ///< Last run of the policy.
  base::TimePoint nextStepAt_;  ///< Of the pass over all models.
};

}  // namespace walnut::control
