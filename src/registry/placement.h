#pragma once
/// @file
/// The placement policy: decides which model or adapter is loaded or unloaded on which worker. It
/// only decides; it sends no orders.

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "registry/decaying_rate.h"
#include "registry/demand_book.h"
#include "registry/full_models.h"
#include "registry/store_ranking.h"
#include "registry/store_scheduler.h"
#include "walnut/catalog/document.h"

namespace walnut::registry {

enum class OrderOperation : std::uint8_t { load = 0, unload = 1 };

/// The models to unload from a worker to free capacity for a load, and the cost of doing so.
struct UnloadPlan {
  std::vector<std::string> unloads;  ///< Models to unload, the cheapest first.
  double cost = 0;  ///< In seconds of request waiting time; infinite if it can't be freed.
  /// True if one of the models has running requests that will soon end by themselves. An unload
  /// would wait for them, and its worker could take no other order meanwhile.
  bool hasEndingRequests = false;
};

/// The reason why a model should get another replica, the most urgent last.
enum class PlacementReason : std::uint8_t {
  neighbour,  ///< Not for a replica: another model is moved away from a worker of a full model.
  spare,      ///< Its replicas are highly loaded, or it has a single one that might be lost.
  rising,     ///< Its replicas are expected to be highly loaded, as its demand rises.
  queueing,   ///< More requests are queued at its workers than replicas being loaded will serve.
  cold,       ///< Requests wait, and no worker serves the model or is loading it.
};

/// @return the name of the reason in log lines and metrics.
std::string_view placementReasonName(PlacementReason reason);

/// One load or unload on one worker.
struct PlacementStep {
  WorkerId worker;
  OrderOperation operation = OrderOperation::load;
  std::string model;
  std::string adapter;     ///< Empty if the step is about the model itself.
  bool fromStore = false;  ///< True if the load counts towards the weight store's rate limit.

  std::optional<PlacementReason> reason = std::nullopt;  ///< Not set for adapters.

  /// Compares what is done, not why.
  bool operator==(const PlacementStep& other) const {
    return worker == other.worker && operation == other.operation && model == other.model &&
           adapter == other.adapter && fromStore == other.fromStore;
  }
};

/// The state of a worker as the policy's input.
struct PlacementWorker {
  WorkerId id;
  Holdings holdings;           ///< Includes adapters whose load is in progress.
  bool canLoadModels = true;   ///< False if the policy must not load models on this worker.
  bool canTakeOrders = false;  ///< True if the worker is ready and no order to it is in progress.
  bool canLoadAdapters = true;
  bool serving = true;                        ///< False if it is leaving, unresponsive or failing.
  std::optional<std::string> loadingModel;    ///< The model that the worker is loading, if any.
  std::optional<std::string> unloadingModel;  ///< The model that the worker is unloading, if any.
  /// Expected time until the order in progress ends; zero if there is none.
  base::Duration remainingOrderTime{0};
  std::uint32_t running = 0;    ///< Number of requests that run or are queued on the worker.
  std::string softwareVersion;  ///< Empty: unknown.
  /// Adapters that were loaded so recently that they must not be evicted yet, as (model, adapter).
  std::set<std::pair<std::string, std::string>> recentAdapters;
};

/// The decision on a model that should get another replica.
enum class PlacementOutcome : std::uint8_t {
  loadOrdered,       ///< A load of the model was ordered.
  unloadOrdered,     ///< An unload of another model was ordered to free capacity for it.
  waitsForWorker,    ///< The best worker can take no order now.
  waitsForRequests,  ///< A model to be unloaded has running requests that will soon end.
  waitsForStore,     ///< The weight store's limits allow no further load now.
  tooCostly,         ///< The cost to other models exceeds the benefit.
  noWorker,          ///< No worker can hold the model.
};

/// A placement decision and the figures behind it, for the log.
struct PlacementDecision {
  std::string model;
  PlacementReason reason = PlacementReason::spare;
  PlacementOutcome outcome = PlacementOutcome::noWorker;
  std::uint32_t waiting = 0;           ///< Requests that wait at gateways.
  std::uint32_t unservedRequests = 0;  ///< Requests since the last one that was answered.
  double queued = 0;                   ///< Requests that wait for a slot of the model's workers.
  double rate = 0;                     ///< Arrivals per second.
  std::uint32_t replicas = 0;
  std::uint32_t copies = 0;    ///< Workers that have the weights in any tier or are loading them.
  std::size_t storeQueue = 0;  ///< Cold models that waited for the store after the previous run.
  bool storeIsScarce = false;  ///< True if models without a copy need the store's loads.
  WorkerId worker;             ///< The best worker, if any.
  std::string victim;          ///< The first model to unload there; empty if none has to be.
  /// @name In seconds of request waiting time
  /// @{
  double cost = 0;
  double benefit = 0;
  /// @}
  bool fromStore = false;
};

/// A requested model that no worker will serve for some time, and the expected delay.
struct LateModelForecast {
  std::string model;
  base::Duration availableIn{0};
  base::Duration shortestWait{0};  ///< See ModelForecast.
};

/// A place of the weight store that was given to a load, for the log.
struct StorePlaceGiven {
  RankedStoreLoad load;
  RankedStoreLoad next;  ///< The next load of the order; without a model if there is none.
};

class PlacementRound;

/// Running requests per replica, as a share of a worker's slots, above which another replica is
/// added. It is far below 1 because processing the prompts of other requests stalls a stream long
/// before the slots run out. See docs/DECISIONS.md.
constexpr double kScaleOutShare = 0.15;
/// Arrivals per second from which a model gets a second replica.
constexpr double kSecondReplicaRate = 0.6;

/// Loads models and adapters on demand, and adds replicas of busy models. The leader has one policy
/// for each service.
///
/// Each run starts from scratch and takes the models in the order of their demand. For each it
/// finds the worker that would serve the model soonest at the least cost to other models, and
/// orders the first step if that worker can take it now. A model that has to wait for a busy worker
/// or for the weight store holds up no other model. The worker where capacity is already being
/// freed for a model (`Reservation`) is preferred, so that this capacity is used.
///
/// Requests that are queued at a model's workers count like requests that wait for a cold model:
/// both are late until another replica serves. A model that already has replicas doesn't wait for a
/// busy worker, since it needs capacity rather than a particular worker.
///
/// In a service where replicas are slow to add, the policy plans by the expected demand, takes no
/// replica from a model that needs it, and keeps workers of full models free of other models. The
/// loads that need the weight store are compared with each other (`rankStoreLoads`) before one of
/// them is started, and a model is unloaded only for the load that gets the store's next place.
/// That load keeps its place while the unload is in progress.
class PlacementPolicy {
 public:
  explicit PlacementPolicy(std::string service) : service_(std::move(service)) {}

  /// Sets whether replicas are slow to add: see catalog::replicasAreSlowToAdd.
  void setReplicasAreSlowToAdd(bool slow) { replicasAreSlowToAdd_ = slow; }
  /// @return the steps to order now, at most one for each worker.
  /// @param postponed models that must not be loaded now.
  /// @param outside number of workers not in `workers` that serve a model, by model.
  std::vector<PlacementStep> plan(const catalog::EngineSpec& engine,
                                  const std::vector<PlacementWorker>& workers,
                                  const DemandBook& demand, StoreScheduler& store,
                                  base::TimePoint now, const std::set<std::string>& postponed = {},
                                  const std::map<std::string, std::uint32_t>& outside = {});
  /// @return the decisions of the last run, without those that repeat why a model still waits.
  std::vector<PlacementDecision> takeDecisions() { return std::exchange(decisions_, {}); }
  /// @return the places of the store that were given since the last call.
  std::vector<StorePlaceGiven> takeStorePlaces() { return std::exchange(storePlaces_, {}); }
  /// @return the models that come late, as of the last run.
  const std::vector<LateModelForecast>& outlook() const { return outlook_; }

 private:
  /// The worker on which capacity is being freed for a model.
  struct Reservation {
    WorkerId worker;
    base::TimePoint since;
  };
  /// A model that should get another replica.
  struct Candidate {
    double benefit = 0;  ///< Sort key among the urgent candidates, and among those that aren't.
    std::string model;
    PlacementReason reason = PlacementReason::spare;
    /// True if more than kFullShare of the slots of its replicas will be in use, and a worker has
    /// the weights on disk or in memory: a replica there is worth nearly any cost.
    bool needsNearCopy = false;
    /// If not empty, only a worker of that version helps: streams that began there wait.
    std::string softwareVersion = {};

    bool isUrgent() const {
      return needsNearCopy || reason == PlacementReason::queueing ||
             reason == PlacementReason::cold;
    }
    /// The reason for the store's cost: a forecast justifies no more than a spare replica does.
    PlacementReason storeReason() const {
      return reason == PlacementReason::rising ? PlacementReason::spare : reason;
    }
  };
  struct Choice {
    const PlacementWorker* worker = nullptr;
    double cost = std::numeric_limits<double>::infinity();
    UnloadPlan unloadPlan;
    bool fromStore = false;
  };

  /// A candidate whose load needs the store, and the choice before the others were placed.
  struct StoreContender {
    Candidate candidate;
    Choice choice;
  };
  /// The time since which a load from the store has been wanted, and when it was last.
  struct StoreWait {
    base::TimePoint since;
    base::TimePoint lastWantedAt;
  };

  void dropExpiredReservations(const PlacementRound& round);
  std::vector<Candidate> findCandidates(const PlacementRound& round) const;
  std::optional<Candidate> findCandidate(const PlacementRound& round,
                                         const std::string& model) const;
  std::optional<Candidate> findFurtherReplica(const PlacementRound& round,
                                              const std::string& model) const;
  void recordIfLate(const PlacementRound& round, const Candidate& candidate, const Choice& choice,
                    PlacementOutcome outcome);
  void recordLateLoads(const PlacementRound& round);
  void recordLateModel(const PlacementRound& round, LateModelForecast forecast);
  void dropOutdatedLateModels(const PlacementRound& round);
  void placeReplica(PlacementRound& round, Candidate candidate);
  void settle(PlacementRound& round, const Candidate& candidate, const Choice& choice,
              double benefit, PlacementOutcome outcome);
  static double benefitOf(const PlacementRound& round, const Candidate& candidate);
  static PlacementOutcome decideOutcome(const PlacementRound& round, const Choice& choice,
                                        double benefit, bool storeAllows);
  void recordDecision(const PlacementRound& round, const Candidate& candidate, const Choice& choice,
                      double benefit, PlacementOutcome outcome);
  void dropOutdatedDecisions(const std::vector<Candidate>& candidates);
  Choice choose(PlacementRound& round, const Candidate& candidate) const;
  bool mayTake(const PlacementRound& round, const PlacementWorker& worker,
               const Candidate& candidate) const;
  static bool isFree(const PlacementRound& round, const PlacementWorker& worker);
  double storeCost(const PlacementRound& round, const catalog::ModelSpec& model,
                   PlacementReason reason) const;
  double blockCost(const PlacementRound& round, base::Duration duration) const;
  void orderFirstStep(PlacementRound& round, const Candidate& candidate, const Choice& choice);

  /// @name Services where replicas are slow to add
  /// @{
  void updateFullModels(const PlacementRound& round);
  bool isKeptForFullModel(const PlacementWorker& worker) const;
  bool canMoveAway(const PlacementRound& round, const PlacementWorker& worker,
                   const std::string& model) const;
  void moveNeighbours(PlacementRound& round);
  void recordNeighbourMove(const PlacementRound& round, const PlacementWorker& worker,
                           const std::string& neighbour);
  bool competesForStore(const PlacementRound& round, const Candidate& candidate,
                        const Choice& choice, PlacementOutcome outcome);
  const PlacementWorker* workerMakingRoom(const PlacementRound& round,
                                          const std::string& model) const;
  double slowStoreCost(const PlacementRound& round, const catalog::ModelSpec& model) const;
  void placeStoreLoads(PlacementRound& round);
  bool placeStoreLoad(PlacementRound& round, const StoreContender& contender, bool mayGive);
  bool hasComparedStoreLoads(const PlacementRound& round);
  void updateStoreWaits(const PlacementRound& round);
  std::vector<RankedStoreLoad> rankContenders(const PlacementRound& round) const;
  StoreLoadDemand storeLoadDemand(const PlacementRound& round, const std::string& model) const;
  /// @}

  void placeAdapters(PlacementRound& round) const;
  static void placeAdapter(PlacementRound& round, const catalog::ModelSpec& model,
                           const std::string& adapter, const std::string& version);

  const std::string service_;
  bool replicasAreSlowToAdd_ = false;
  std::map<std::string, RequestMean> requestMeans_;  ///< By model; of slow services only.
  FullModels fullModels_;
  bool keepsWorkersForFullModels_ = false;  ///< Whether their workers take no further model now.
  std::map<std::string, Reservation> reservations_;  ///< By model.
  DecayingRate loadRate_;                            ///< Rate of model loads on all workers.
  /// Seconds for which loads decided in this run will keep a worker busy, beyond its current order.
  std::map<WorkerId, double> queued_;
  std::vector<PlacementDecision> decisions_;
  std::vector<LateModelForecast> outlook_;
  /// Models that were announced as late, and since when. They are to be loaded even if no caller
  /// waits any more.
  std::map<std::string, base::TimePoint> lateModels_;
  /// Loads of cold models from the store that could not be started, in this run and the previous.
  std::size_t storeQueue_ = 0;
  std::size_t previousStoreQueue_ = 0;
  /// In this run, whether a load from the store would be missing for a model without a copy.
  bool storeIsScarce_ = false;
  /// @name Loads from the store where replicas are slow to add
  /// @{
  std::vector<StoreContender> contenders_;           ///< In this run.
  std::map<std::string, StoreWait> storeWaits_;      ///< By model.
  std::map<std::string, base::TimePoint> roomMade_;  ///< Models that hold a place, and since when.
  std::size_t heldPlaces_ = 0;                       ///< Places held by such models in this run.
  base::TimePoint comparingSince_;  ///< When a load was first wanted; zero if none was.
  bool lastPlaceByWait_ = false;    ///< The last place went to a load that had waited long.
  std::vector<StorePlaceGiven> storePlaces_;
  /// @}
  /// The last recorded decision on each model that should get another replica, by model.
  std::map<std::string, std::pair<PlacementReason, PlacementOutcome>> lastDecisions_;
};

}  // namespace walnut::registry
