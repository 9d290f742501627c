#pragma once
/// @file
/// What the leader knows of a worker beside its replicated record.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "registry/placement.h"
#include "walnut/registry/messages.h"

namespace walnut::registry {

/// An order for a model that the worker has accepted and not finished.
struct ModelOrder {
  OrderOperation operation = OrderOperation::load;
  std::string model;
  base::TimePoint acceptedAt;
  base::TimePoint expectedEnd;
  base::TimePoint dueAt;  ///< When the worker is asked, if it has not told by then.
};

/// A load of a model that was ordered, and of which no end is known.
struct UnfinishedLoad {
  std::string service;
  std::string model;
  base::TimePoint orderedAt;
};

/// What the worker holds is known from its heartbeats and reports, overlaid by the adapters that it
/// was ordered to load or unload since, as those orders are not followed by a heartbeat.
///
/// Orders: `reportFresh` says that `orderCount` is the worker's own count of orders. Each order
/// names that count, so that of all orders whose outcome is unclear at most one is ever carried
/// out.
class WorkerStatus {
 public:
  explicit WorkerStatus(base::TimePoint now) : lastHeard(now) {}

  base::TimePoint lastHeard;         ///< Or since when it is known.
  bool heard = false;                ///< By this leader.
  base::TimePoint silenceCheckAt;    ///< When its silence is looked at next.
  base::TimePoint holdingsStoredAt;  ///< When its holdings were last proposed for the log.
  std::uint64_t lastSequence = 0;
  std::uint64_t holdingsHash = 0;  ///< Of the last heartbeat whose holdings count; 0: none.
  bool registered = false;         ///< It is in the replicated state, as this leader knows.
  bool outOfService = false;       ///< As gateways were last told.
  base::TimePoint coldUntil;       ///< It has just started, or may have; long past: it has not.
  bool silent = false;
  bool holdingsKnown = false;

  bool reportFresh = false;
  std::uint64_t orderCount = 0;
  base::TimePoint orderFinishedAt;  ///< When an order was last answered.
  bool reportUnderWay = false;
  std::optional<PlacementStep> sentOrder;  ///< Sent, not answered.
  base::TimePoint orderAgainAt;            ///< Not ordered before this time, after a refusal.
  std::optional<ModelOrder> modelOrder;
  std::optional<UnfinishedLoad> unfinishedLoad;
  bool foreignOrder = false;  ///< It last said that it carries out an order of a former leader.
  /// An adapter was refused while an order for a model was under way: none is sent before its end.
  bool adaptersBlocked = false;
  /// The last order for a model that ended; whoever reports it takes it out.
  std::optional<ModelOrder> endedOrder;

  /// Takes what a former leader knew, until the worker itself is heard.
  void begin(const std::vector<HeldModel>& models);
  /// @return false if the heartbeat is older than one seen before.
  bool takeHeartbeat(const Heartbeat& heartbeat, base::TimePoint now);
  /// The worker has said the same once more.
  /// @return false if what it holds is not known.
  bool takeHeard(const WorkerHeard& worker, base::TimePoint now);
  void takeReport(const WorkerReport& report, base::TimePoint now);

  /// @return true if the adapter was ordered a short while ago.
  bool adapterIsNew(const std::string& model, const std::string& adapter,
                    base::TimePoint now) const;

  /// An order was accepted or found done.
  void adapterOrdered(const PlacementStep& step, base::TimePoint now, base::Duration settleTime);
  void modelOrdered(const PlacementStep& step, base::TimePoint now, base::TimePoint expectedEnd,
                    base::TimePoint dueAt);
  void modelOrderDone(const PlacementStep& step);

  /// @return true if a copy of the model's weights is in its host memory.
  bool hasInMemory(const std::string& model) const;
  /// @return what it holds or is about to, adapters on their way included.
  Holdings expected(base::TimePoint now) const;
  /// @return what gateways may send requests for: without what is being unloaded or on its way.
  std::vector<HeldModel> serving(base::TimePoint now) const;
  /// @return when `serving` changes by itself; kNever if it doesn't.
  base::TimePoint nextChange(base::TimePoint now) const;

 private:
  struct AdapterChange {
    bool present = false;
    base::TimePoint orderedAt;
    base::TimePoint effectiveAt;
    base::TimePoint until;  ///< From then on the worker's own word counts.
  };
  using AdapterKey = std::pair<std::string, std::string>;

  bool explains(const Holdings& holdings) const;
  void finishModelOrder();
  static void setAdapter(std::vector<HeldModel>& models, const AdapterKey& key, bool present);

  Holdings reported_;
  std::map<AdapterKey, AdapterChange> adapterChanges_;
};

}  // namespace walnut::registry
