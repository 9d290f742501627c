#pragma once
/// @file
/// Selection of a replica for an attempt, based on this router's knowledge of the engines.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "routing/circuit_breaker.h"
#include "routing/cluster_view.h"
#include "routing/prefix_index.h"
#include "walnut/base/random.h"
#include "walnut/protocol/messages.h"

namespace walnut::routing {

/// Selection criteria of an attempt.
struct SelectionRequest {
  const std::vector<std::uint64_t>& prefixHashes;
  /// Engine that just failed, avoided if another one is available.
  std::optional<base::EngineId> avoid;
};

/// Tracks the state of the engines and selects a replica. Chooses the better of two random
/// candidates ("power of two choices") by the number of requests there, less a bonus for a cached
/// prefix; the zone breaks ties. Load reports are outdated when they arrive, so they only represent
/// the load from other routers and decay with age; this router's own load is counted exactly.
class EngineSelector {
 public:
  EngineSelector(const RouterOptions& options, base::Random& random)
      : options_(options), random_(random) {}

  /// @return the chosen replica, or nothing if none may be given work now.
  std::optional<ReadyReplica> choose(base::TimePoint now, const std::vector<ReadyReplica>& replicas,
                                     const SelectionRequest& request);
  /// @return whether the replica has a free slot and its engine may be given new work.
  bool selectable(base::TimePoint now, const ReadyReplica& replica) const;
  /// @return all engines for which any state is stored.
  std::set<base::EngineId> engines() const;
  /// @return the earliest time at which one of the replicas may be chosen without any further
  /// event; kNever if none.
  base::TimePoint retryAt(base::TimePoint now, const std::vector<ReadyReplica>& replicas) const;

  /// Records that a slot was taken, or freed, at a replica.
  void takeSlot(const base::EngineId& engine, base::ReplicaId replica);
  void freeSlot(const base::EngineId& engine, base::ReplicaId replica);

  void recordDispatch(const base::EngineId& engine, const std::vector<std::uint64_t>& hashes);
  /// Records that the engine has started to answer an attempt.
  void recordSuccess(const base::EngineId& engine);
  void recordFailure(base::TimePoint now, const base::EngineId& engine);
  /// @return whether an engine has failed since the last call of `takeOutcomes`.
  bool hasFailures() const { return hasFailures_; }
  /// @return the outcomes of attempts since the previous call.
  std::vector<protocol::EngineOutcomes> takeOutcomes();
  /// Records that the engine answered that it does not have the replica. Opens its circuit breaker
  /// at once, so that one request at a time, rather than all waiting ones, checks whether the
  /// cell's record was right after all.
  void recordMissingReplica(base::TimePoint now, const base::EngineId& engine);
  void recordNoOutcome(base::TimePoint now, const base::EngineId& engine);
  /// Avoids an engine that refused an attempt in a way that says nothing about its health.
  void avoidUntil(const base::EngineId& engine, base::TimePoint until);
  /// Records that the engine itself reported that it is leaving. This holds for the incarnation, or
  /// until the cell has listed the engine as leaving and then as live again.
  void markLeaving(const base::EngineId& engine, base::Incarnation incarnation);
  /// @return whether the engine's current incarnation reported that it takes no new work.
  bool isLeaving(const base::EngineId& engine) const;
  void recordLoad(base::TimePoint now, const base::EngineId& engine, const engine::Load& load);
  void applyCacheEvents(const base::EngineId& engine,
                        const std::vector<engine::CacheEvent>& events) {
    prefixes_.apply(engine, events);
  }
  /// @param known the engine as in the view; nullptr if the view no longer has it.
  void engineChanged(const base::EngineId& id, const resource::Engine* known);

 private:
  struct EngineState {
    CircuitBreaker breaker;
    std::uint32_t running = 0;    ///< Requests from this router.
    double otherRoutersLoad = 0;  ///< Load from other routers as of the last report.
    base::TimePoint reportedAt;
    base::TimePoint avoidUntil;
    base::Incarnation incarnation;
    std::optional<base::Incarnation> leavingIncarnation;
    bool wasLeavingInView = false;
  };

  /// Replicas that may be chosen, and the avoided one if it may be chosen as well.
  struct Candidates {
    std::vector<const ReadyReplica*> preferred;
    const ReadyReplica* avoided = nullptr;
  };

  void addIfSelectable(base::TimePoint now, const ReadyReplica& replica,
                       const SelectionRequest& request, Candidates& candidates) const;
  Candidates sample(base::TimePoint now, const std::vector<ReadyReplica>& replicas,
                    const SelectionRequest& request);
  bool hasFreeSlot(const ReadyReplica& replica) const;
  double score(base::TimePoint now, const ReadyReplica& replica,
               const std::vector<std::uint64_t>& hashes) const;
  const ReadyReplica& better(base::TimePoint now, const ReadyReplica& one,
                             const ReadyReplica& other,
                             const std::vector<std::uint64_t>& hashes) const;
  static bool isLeaving(const EngineState& state);
  /// @return a random duration between one half and one and a half of the mean. The jitter keeps
  /// routers that saw an engine fail at the same time from all retrying it at the same time.
  base::Duration withJitter(base::Duration mean);

  const RouterOptions& options_;
  base::Random& random_;
  std::map<base::EngineId, EngineState> engines_;
  /// Slots taken by this router; never zero.
  std::map<base::ReplicaId, std::uint32_t> takenSlots_;
  PrefixIndex prefixes_;
  /// Outcomes not yet returned by takeOutcomes.
  std::map<base::EngineId, protocol::EngineOutcomes> outcomes_;
  bool hasFailures_ = false;
};

}  // namespace walnut::routing
