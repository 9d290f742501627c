#pragma once
/// @file
/// Placement policy: decides which replicas to place and which to unload. It performs no I/O; it
/// decides from its input and from the load history that it keeps, and the caller commits the
/// decisions.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/load_budget.h"
#include "control/placement_input.h"
#include "control/space_finder.h"
#include "control/target_planner.h"

namespace walnut::control {

/// Decides placements and evictions for one term of leadership; each term uses a new object.
/// A run first unloads surplus replicas. Then, for each need in order of urgency, it places a
/// replica where memory is free and the load budget allows it; otherwise it reserves memory that is
/// being freed; otherwise it evicts idle replicas.
class PlacementPolicy {
 public:
  /// Number of accelerators that a run examines before it leaves the remaining needs to the next
  /// run. One takes about 2 us (walnut-rehearse scale --experiment controller-logic), so a run ends
  /// within 20 ms, or after its first need, far below the check-quorum timeout, however many models
  /// are loaded on demand at once.
  static constexpr std::size_t kSearchLimit = 8192;

  explicit PlacementPolicy(std::size_t searchLimit = kSearchLimit) : searchLimit_(searchLimit) {}

  /// Plans these models and those with needs left from the last run.
  /// @return PlaceReplica and BeginUnload commands, to be proposed in this order. All must be
  /// applied before the next run.
  std::vector<CommandBody> decide(const PlacementInput& input, std::set<std::string> models,
                                  UsageTracker& usage);
  /// Records a failed load. The servable is loaded again only after a backoff that doubles with
  /// each failure.
  void loadFailed(base::TimePoint now, const resource::Servable& servable);
  /// Records that the replica became ready.
  void loadSucceeded(base::TimePoint now, const resource::Replica& replica);
  /// @return the earliest time at which a remaining need may be met; kNever if only a change of the
  /// input can help.
  base::TimePoint nextWakeup() const {
    return due_.empty() ? nextWakeup_ : std::min(nextWakeup_, due_.begin()->first);
  }

 private:
  struct Failure {
    std::uint32_t count = 0;
    base::TimePoint retryAt;
  };

  void placeOrEvict(const PlacementInput& input, SpaceFinder& space, const ReplicaNeed& need);
  /// Sorts the needs, most urgent first. Needs of equal urgency go by deadline; after a run that
  /// could not examine all needs, those that were examined longest ago go first.
  std::vector<ReplicaNeed> sortNeeds(std::vector<ReplicaNeed> needs);
  void deferToNextRun(const PlacementInput& input, const ReplicaNeed& need);
  bool tryBeginStoreLoad(const PlacementInput& input, const SpaceFinder& space,
                         const ReplicaNeed& need);
  std::uint32_t storeLoads(const PlacementInput& input, const SpaceFinder& space,
                           const std::string& pool) const;
  void unload(SpaceFinder& space, base::ReplicaId replica);
  std::set<std::string> takeDue(base::TimePoint now);
  void setDue(const std::set<std::string>& models,
              const std::map<std::string, base::TimePoint>& at);

  std::size_t searchLimit_;
  bool searchLimitReached_ =
      false;               ///< The last run reached its search limit and left needs unexamined.
  std::uint64_t run_ = 0;  ///< Number of the current run.
  /// For each current need, the last run that examined it.
  std::map<resource::Servable, std::uint64_t> lastExaminedRun_;
  /// A load decided by this object.
  struct Load {
    LoadSource source = LoadSource::store;
    std::uint64_t bytes = 0;  ///< Size of the checkpoint.
  };

  KeepAliveTable keepAlive_;
  /// Loads in progress, at most one for each place and servable. Entries of replicas that were
  /// given up stay until the next load there.
  std::map<std::pair<AcceleratorPlace, resource::Servable>, Load> loads_;
  LoadRate rate_;
  std::map<resource::Servable, Failure> failures_;
  base::TimePoint nextWakeup_ = base::kNever;
  std::set<std::string>
      modelsWithUnmetNeeds_;  ///< Models with a need that the last run did not meet.
  std::map<std::string, base::TimePoint> dueAt_;           ///< Due times of planned models.
  std::set<std::pair<base::TimePoint, std::string>> due_;  ///< Due times in order of time.
  std::vector<CommandBody> decisions_;
  /// Store loads decided in this run, by pool.
  std::map<std::string, std::uint32_t> storeLoadsDecided_;
};

}  // namespace walnut::control
