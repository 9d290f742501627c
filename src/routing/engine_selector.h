#pragma once
/// @file
/// Choice of a replica for an attempt, from what this router knows of the engines.

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

/// What an attempt asks for.
struct SelectionRequest {
  const std::vector<std::uint64_t>& prefixHashes;
  /// The engine that just failed, avoided if there is another.
  std::optional<base::EngineId> avoid;
};

/// Keeps the state of the engines. Chooses the better of two random candidates ("power of two
/// choices"): by the number of requests there, less a bonus for a cached prefix; the zone decides
/// a tie. Load reports are old when they arrive, so they only stand for the work of others, and
/// fade with age; this router's own work is counted exactly.
class EngineSelector {
 public:
  EngineSelector(const RouterOptions& options, base::Random& random)
      : options_(options), random_(random) {}

  /// @return the chosen one, or nothing if none may be given work now.
  std::optional<ReadyReplica> choose(base::TimePoint now, const std::vector<ReadyReplica>& replicas,
                                     const SelectionRequest& request);
  /// @return whether the replica has a place and its engine may be given new work.
  bool selectable(base::TimePoint now, const ReadyReplica& replica) const;
  /// @return all engines of which something is kept.
  std::set<base::EngineId> engines() const;
  /// @return when one of the replicas may be chosen without any event; kNever if none.
  base::TimePoint retryAt(base::TimePoint now, const std::vector<ReadyReplica>& replicas) const;

  /// A place was taken, or freed, at a replica.
  void placeTaken(const base::EngineId& engine, base::ReplicaId replica);
  void placeFreed(const base::EngineId& engine, base::ReplicaId replica);

  void handedOver(const base::EngineId& engine, const std::vector<std::uint64_t>& hashes);
  /// The engine has begun to answer an attempt.
  void succeeded(const base::EngineId& engine);
  void failed(base::TimePoint now, const base::EngineId& engine);
  /// @return true if an engine has failed since the last `takeOutcomes`.
  bool sawFailures() const { return sawFailures_; }
  /// @return what became of attempts since the last call.
  std::vector<protocol::EngineOutcomes> takeOutcomes();
  /// The engine answered that it does not have the replica. Opens its breaker at once: then one
  /// request at a time finds out whether the cell was right after all, not all that wait.
  void lacksReplica(base::TimePoint now, const base::EngineId& engine);
  void undecided(base::TimePoint now, const base::EngineId& engine);
  /// The engine refused an attempt in a way that says nothing of its health.
  void avoidUntil(const base::EngineId& engine, base::TimePoint until);
  /// The engine's own word. Holds for the incarnation, or until the cell has seen it leaving and
  /// says that it is live again.
  void leaving(const base::EngineId& engine, base::Incarnation incarnation);
  /// @return whether the engine's present life said that it takes no new work.
  bool isLeaving(const base::EngineId& engine) const;
  void loadReported(base::TimePoint now, const base::EngineId& engine, const engine::Load& load);
  void cacheEvents(const base::EngineId& engine, const std::vector<engine::CacheEvent>& events) {
    prefixes_.apply(engine, events);
  }
  /// @param known the engine as in the view; nullptr if it is gone from there.
  void engineChanged(const base::EngineId& id, const resource::Engine* known);

 private:
  struct EngineState {
    CircuitBreaker breaker;
    std::uint32_t running = 0;  ///< Of this router.
    double othersLoad = 0;      ///< As of the last report.
    base::TimePoint reportedAt;
    base::TimePoint avoidUntil;
    base::Incarnation incarnation;
    std::optional<base::Incarnation> leaving;
    bool seenLeavingInView = false;
  };

  /// What may be chosen, and the avoided one if it may too.
  struct Candidates {
    std::vector<const ReadyReplica*> preferred;
    const ReadyReplica* avoided = nullptr;
  };

  void consider(base::TimePoint now, const ReadyReplica& replica, const SelectionRequest& request,
                Candidates& candidates) const;
  Candidates sample(base::TimePoint now, const std::vector<ReadyReplica>& replicas,
                    const SelectionRequest& request);
  bool hasPlace(const ReadyReplica& replica) const;
  double score(base::TimePoint now, const ReadyReplica& replica,
               const std::vector<std::uint64_t>& hashes) const;
  const ReadyReplica& better(base::TimePoint now, const ReadyReplica& one,
                             const ReadyReplica& other,
                             const std::vector<std::uint64_t>& hashes) const;
  static bool isLeaving(const EngineState& state);
  /// @return a time from a half to one and a half of the mean, so that the routers that saw an
  /// engine fail at one time don't all try it again at one time.
  base::Duration drawnAround(base::Duration mean);

  const RouterOptions& options_;
  base::Random& random_;
  std::map<base::EngineId, EngineState> engines_;
  std::map<base::ReplicaId, std::uint32_t> places_;  ///< Taken by this router; never zero.
  PrefixIndex prefixes_;
  std::map<base::EngineId, protocol::EngineOutcomes> outcomes_;  ///< Not yet taken.
  bool sawFailures_ = false;
};

}  // namespace walnut::routing
