#pragma once
/// @file
/// Which model or adapter is to be loaded or unloaded where. Policy only: nothing is ordered here.

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "registry/decaying_rate.h"
#include "registry/demand_book.h"
#include "registry/store_scheduler.h"
#include "walnut/catalog/document.h"

namespace walnut::registry {

enum class OrderOperation : std::uint8_t { load = 0, unload = 1 };

/// What is unloaded to make room, and what that costs.
struct Room {
  std::vector<std::string> unloads;  ///< The cheapest first.
  double cost = 0;                   ///< In seconds of a request's wait; infinite: no room.
  /// Some model has requests that soon end by themselves: an unload that waited for them would keep
  /// its worker from all other orders.
  bool waits = false;
};

/// A change of what one worker holds.
struct PlacementStep {
  WorkerId worker;
  OrderOperation operation = OrderOperation::load;
  std::string model;
  std::string adapter;     ///< Empty: the model itself.
  bool fromStore = false;  ///< The load takes from the weight store's rate.

  bool operator==(const PlacementStep&) const = default;
};

/// A worker as the policy sees it.
struct PlacementWorker {
  WorkerId id;
  Holdings holdings;          ///< With adapters that are on their way.
  bool mayLoad = true;        ///< Models are loaded there at all.
  bool mayBeOrdered = false;  ///< It is ready, and no order to it is under way.
  bool mayTakeAdapters = true;
  bool serving = true;                  ///< It is neither leaving nor silent nor failing.
  std::optional<std::string> arriving;  ///< A model that it is loading.
  std::optional<std::string> retiring;  ///< A model that it is unloading.
  /// Until the order that is under way is expected to end; zero if there is none.
  base::Duration busyFor{0};
  std::uint32_t running = 0;
  /// By model: adapters that were loaded a short while ago and make no room yet.
  std::set<std::pair<std::string, std::string>> newAdapters;
};

/// Why a model should have another replica, the most urgent last.
enum class WantReason : std::uint8_t {
  spare,     ///< Its replicas are busy, or the only one might be lost.
  queueing,  ///< Requests wait at its workers, beyond what replicas on their way will take.
  cold,      ///< Requests wait, and no worker serves it or is about to.
};

/// What was decided about a model that should have another replica.
enum class WantOutcome : std::uint8_t {
  loaded,          ///< Its load was ordered.
  roomMade,        ///< An unload was ordered for it.
  waitsForWorker,  ///< The best worker takes no order now.
  waitsForUse,     ///< What would make room has requests that soon end.
  waitsForStore,   ///< The weight store has no place for another load.
  notWorth,        ///< It would cost others more than it is worth.
  noWorker,        ///< None could hold it.
};

/// A decision with what decided it, for the log.
struct PlacementDecision {
  std::string model;
  WantReason reason = WantReason::spare;
  WantOutcome outcome = WantOutcome::noWorker;
  std::uint32_t waiting = 0;     ///< Requests at gateways.
  std::uint32_t unanswered = 0;  ///< Requests since the last answer.
  double queued = 0;             ///< Requests that wait for a slot of its workers.
  double rate = 0;               ///< Arrivals a second.
  std::uint32_t replicas = 0;
  WorkerId worker;     ///< The best one, if any.
  std::string victim;  ///< What makes room there first; empty: nothing needs to.
  /// @name In seconds of a request's wait
  /// @{
  double cost = 0;
  double worth = 0;
  /// @}
  bool fromStore = false;
};

/// A model that is asked for and that no worker will serve for some time.
struct ModelOutlook {
  std::string model;
  base::Duration availableIn{0};
};

class PlacementRound;

/// Running requests per replica, as a share of a worker's slots, from which another replica is
/// added. Far below 1: reading the prompts of others makes pauses in a stream long before slots run
/// out. See docs/DECISIONS.md.
constexpr double kScaleOutShare = 0.15;

/// Wakes models and adapters that requests wait for, and keeps further replicas of busy models.
/// Kept by the leader for one service.
///
/// Each run decides anew, the most wanted model first, where a model would serve soonest at the
/// least cost to others; it orders the first step if that worker can take it now. A worker that is
/// busy, or a load that the store has no place for, is waited for without keeping anybody else from
/// being ordered. What was begun (`Wake`) is preferred, so that room that was made is used.
///
/// Requests that queue at the workers of a model count like those that wait for a cold one: both
/// are late until another replica serves. A model that has replicas already waits for no busy
/// worker, since it needs capacity rather than a certain place.
class PlacementPolicy {
 public:
  explicit PlacementPolicy(std::string service) : service_(std::move(service)) {}

  /// @return what to order now, one step a worker at most.
  /// @param postponed models that are not to be loaded now.
  /// @param outside by model, how many workers beside these serve it.
  std::vector<PlacementStep> plan(const catalog::EngineSpec& engine,
                                  const std::vector<PlacementWorker>& workers,
                                  const DemandBook& demand, StoreScheduler& store,
                                  base::TimePoint now, const std::set<std::string>& postponed = {},
                                  const std::map<std::string, std::uint32_t>& outside = {});
  /// @return what the last run decided; of a model that goes on waiting for the same only once.
  std::vector<PlacementDecision> takeDecisions() { return std::exchange(decisions_, {}); }
  /// @return as of the last run.
  const std::vector<ModelOutlook>& outlook() const { return outlook_; }

 private:
  /// Room is being made for a model.
  struct Wake {
    WorkerId worker;
    base::TimePoint since;
  };
  /// A model that should have another replica.
  struct Want {
    double worth = 0;  ///< By which wants are ordered among those for which requests wait or not.
    std::string model;
    WantReason reason = WantReason::spare;

    bool urgent() const { return reason != WantReason::spare; }
  };
  struct Choice {
    const PlacementWorker* worker = nullptr;
    double cost = std::numeric_limits<double>::infinity();
    Room room;
    bool fromStore = false;
  };

  void dropEndedWakes(const PlacementRound& round);
  std::vector<Want> wants(const PlacementRound& round) const;
  std::optional<Want> wantOf(const PlacementRound& round, const std::string& model) const;
  void lookOut(const PlacementRound& round, const Want& want, const Choice& choice,
               WantOutcome outcome);
  void lookOutForArrivals(const PlacementRound& round);
  void noteLate(const PlacementRound& round, const std::string& model, base::Duration availableIn);
  void forgetLate(const PlacementRound& round);
  void wake(PlacementRound& round, const Want& want);
  static WantOutcome outcomeOf(const PlacementRound& round, const Choice& choice, double worth);
  void note(const PlacementRound& round, const Want& want, const Choice& choice, double worth,
            WantOutcome outcome);
  void forgetNotes(const std::vector<Want>& wanted);
  Choice choose(PlacementRound& round, const Want& want) const;
  static bool isFree(const PlacementRound& round, const PlacementWorker& worker);
  double storeCost(const PlacementRound& round, const catalog::ModelSpec& model) const;
  double blockCost(const PlacementRound& round, base::Duration duration) const;
  void carryOut(PlacementRound& round, const std::string& model, const Choice& choice);
  void placeAdapters(PlacementRound& round) const;
  static void placeAdapter(PlacementRound& round, const catalog::ModelSpec& model,
                           const std::string& adapter);

  const std::string service_;
  std::map<std::string, Wake> wakes_;  ///< By model.
  DecayingRate loadRate_;              ///< Of loads of models, on all workers.
  /// Seconds that models decided on in this run keep their workers, beyond the present order.
  std::map<WorkerId, double> queued_;
  std::vector<PlacementDecision> decisions_;
  std::vector<ModelOutlook> outlook_;
  /// Models whose callers are told that they come too late, and since when: nobody waits for them
  /// any more, and they are wanted all the same.
  std::map<std::string, base::TimePoint> late_;
  /// Loads of cold models from the store that this run could not begin, and the one before.
  std::size_t storeQueue_ = 0;
  std::size_t storeQueueBefore_ = 0;
  /// By model, what was last noted of those that should have another replica.
  std::map<std::string, std::pair<WantReason, WantOutcome>> noted_;
};

}  // namespace walnut::registry
