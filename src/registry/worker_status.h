#pragma once
/// @file
/// The leader's unreplicated state of a worker.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "registry/placement.h"
#include "walnut/registry/messages.h"

namespace walnut::registry {

/// An order for a model that the worker has accepted and not finished yet.
struct ModelOrder {
  OrderOperation operation = OrderOperation::load;
  std::string model;
  base::TimePoint acceptedAt;
  base::TimePoint expectedEnd;
  base::TimePoint dueAt;  ///< When a report is requested if the worker has not sent one.
};

/// A load of a model that was ordered and whose outcome is not known.
struct UnfinishedLoad {
  std::string service;
  std::string model;
  base::TimePoint orderedAt;
};

/// The leader's soft state of one worker. Its holdings come from its heartbeats and reports,
/// overlaid by the adapters that it was ordered to load or unload since, as no heartbeat follows
/// such an order.
///
/// If `reportFresh` is true, `orderCount` equals the worker's own count of orders. Each order
/// carries that count, so that at most one of all orders with an unclear outcome is carried out.
class WorkerStatus {
 public:
  explicit WorkerStatus(base::TimePoint now) : lastContact(now) {}

  base::TimePoint lastContact;       ///< Last contact, or when the worker became known.
  bool hasContact = false;           ///< True if the worker made contact with this leader.
  base::TimePoint nextSilenceCheck;  ///< Next check whether the worker is unresponsive.
  base::TimePoint holdingsStoredAt;  ///< When its holdings were last proposed for the log.
  std::uint64_t lastSequence = 0;
  std::uint64_t holdingsHash = 0;  ///< Hash of the last heartbeat whose holdings count; 0: none.
  bool registered = false;         ///< True if this leader has seen it in the replicated state.
  bool outOfService = false;       ///< Value last published to gateways.
  base::TimePoint coldUntil;       ///< Until then it may have just started; long past: it is warm.
  bool silent = false;             ///< True if the worker is unresponsive.
  bool holdingsKnown = false;

  bool reportFresh = false;
  std::uint64_t orderCount = 0;
  base::TimePoint orderFinishedAt;  ///< When an order was last answered.
  bool reportUnderWay = false;
  std::optional<PlacementStep> sentOrder;  ///< Order sent and not answered yet.
  base::TimePoint orderAgainAt;            ///< Earliest next order, after a refusal.
  std::optional<ModelOrder> modelOrder;
  std::optional<UnfinishedLoad> unfinishedLoad;
  bool foreignOrder = false;  ///< True if it last reported an order of a previous leader.
  /// Since when its count of orders is unknown, so that no order can be sent: it carries out an
  /// order of a previous leader, or does not answer. Absent while `reportFresh` is true.
  std::optional<base::TimePoint> unorderableSince;
  /// True if an adapter was refused while an order for a model was in progress: no adapter is
  /// ordered before that order ends.
  bool adaptersBlocked = false;
  /// The last order for a model that ended; reset once it has been logged.
  std::optional<ModelOrder> endedOrder;

  /// Starts from the holdings that a previous leader stored, until the worker makes contact.
  void begin(const std::vector<HeldModel>& models);
  /// @return false if the heartbeat is older than a previous one.
  bool takeHeartbeat(const Heartbeat& heartbeat, base::TimePoint now);
  /// Records a heartbeat with unchanged holdings.
  /// @return false if these holdings are not known here.
  bool takeContact(const WorkerContact& worker, base::TimePoint now);
  void takeReport(const WorkerReport& report, base::TimePoint now);

  /// @return true if the adapter was ordered recently.
  bool adapterIsNew(const std::string& model, const std::string& adapter,
                    base::TimePoint now) const;

  /// Records that an order for an adapter was accepted, or had no more to do.
  void adapterOrdered(const PlacementStep& step, base::TimePoint now, base::Duration settleTime);
  void modelOrdered(const PlacementStep& step, base::TimePoint now, base::TimePoint expectedEnd,
                    base::TimePoint dueAt);
  void modelOrderDone(const PlacementStep& step);
  /// Updates `unorderableSince`.
  void updateOrderable(base::TimePoint now);

  /// @return true if the worker has a copy of the model's weights in host memory.
  bool hasInMemory(const std::string& model) const;
  /// @return what the worker holds or will hold, adapters in transfer included.
  Holdings expected(base::TimePoint now) const;
  /// @return the models that gateways may send requests for: without those being unloaded and
  /// without adapters in transfer.
  std::vector<HeldModel> serving(base::TimePoint now) const;
  /// @return when `serving` changes by the passage of time; kNever if it doesn't.
  base::TimePoint nextChange(base::TimePoint now) const;

 private:
  struct AdapterChange {
    bool present = false;
    base::TimePoint orderedAt;
    base::TimePoint effectiveAt;
    base::TimePoint until;  ///< From then on the worker's own reports count.
  };
  using AdapterKey = std::pair<std::string, std::string>;

  bool ordersExplain(const Holdings& holdings) const;
  void finishModelOrder();
  static void setAdapter(std::vector<HeldModel>& models, const AdapterKey& key, bool present);

  Holdings reported_;
  std::map<AdapterKey, AdapterChange> adapterChanges_;
};

}  // namespace walnut::registry
