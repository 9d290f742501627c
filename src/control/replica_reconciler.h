#pragma once
/// @file
/// Reconciles engines with the ledger: determines which replica transitions an engine's report
/// proves, and which order the engine needs next.

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "control/engine_monitor.h"
#include "control/ledger_index.h"

namespace walnut::control {

/// A load that failed or was refused on an engine.
struct FailedLoad {
  resource::Servable servable;
  base::EngineId engine;
};

/// Result of reviewing an engine.
struct EngineReview {
  std::vector<CommandBody> proposals;
  std::vector<FailedLoad> failedLoads;
};

/// Reconciles the ledger with the reports of the engines. It uses only the ledger and reports of
/// the current term, so that it needs no data of a previous leader. Invariants:
/// - a load order is sent only for a committed reservation, and only if a report made after the
///   last order for that place shows that the servable is not held there;
/// - an unload order is sent no earlier than unloadGrace after the decision, unless the replica was
///   never ready, so that no router can have used it;
/// - a release is proposed only when a report of this term, made after the last order for that
///   place, shows nothing there. Every earlier order is then fenced off.
class ReplicaReconciler {
 public:
  /// All references outlive this object.
  ReplicaReconciler(const ControllerOptions& options, const CellState& state,
                    const LedgerIndex& ledger, EngineMonitor& monitor)
      : options_(options), state_(state), ledger_(ledger), monitor_(monitor) {}

  /// Handles a change of the engine's replicas: starts the grace period of new unloads.
  void ledgerChanged(base::TimePoint now, const base::EngineId& engine);
  /// @return the transitions that the engine's latest report proves.
  /// @param changing replicas with a proposal in progress.
  EngineReview review(const base::EngineId& engine, const ReplicaIds& changing);
  /// Sends the most important outstanding order if the engine can take one.
  void sendNextOrder(base::TimePoint now, const base::EngineId& engine);
  /// Handles the answer to an order of this leader.
  void orderFinished(const FinishedCall& call);
  /// @return engines whose unload grace period has ended since the last call.
  std::set<base::EngineId> takeDue(base::TimePoint now);
  base::TimePoint nextWakeup() const;
  void forget(const base::EngineId& engine);

  /// Accelerators that, by their latest report, hold something that is not in the ledger.
  const std::set<AcceleratorPlace>& unledgered() const { return unledgered_; }

 private:
  struct HeldPlace {
    base::AcceleratorIndex accelerator;
    resource::Servable servable;
    auto operator<=>(const HeldPlace&) const = default;
  };
  struct OrderRecord {
    engine::FencingToken token;  ///< Token of the last order in this term.
    base::ReplicaId replica;     ///< Replica that the order was for; zero for something unledgered.
    bool refused = false;        ///< True if the engine refused to load for a permanent reason.
  };
  using Orders = std::map<HeldPlace, OrderRecord>;
  struct NeededOrder {
    base::ReplicaId replica;
    engine::Order order;
  };

  static HeldPlace placeOf(const resource::Replica& replica) {
    return {replica.accelerator, replica.servable};
  }
  /// @return the latest report if it is of this term and of the incarnation in the ledger; else
  /// null.
  const engine::Report* currentReport(const base::EngineId& engine) const;
  const OrderRecord& lastOrder(const base::EngineId& engine, const HeldPlace& place) const;
  void reviewReplica(const resource::Replica& replica, const engine::Report& report,
                     EngineReview& review) const;
  void recordUnledgered(const base::EngineId& engine, const engine::Report& report);
  bool isLoadRefused(const resource::Replica& replica) const;
  std::optional<NeededOrder> nextOrder(base::TimePoint now, const base::EngineId& engine) const;
  std::optional<engine::Order> nextOrderFor(base::TimePoint now, const resource::Replica& replica,
                                            const engine::Report& report) const;
  std::optional<engine::Order> nextOrderForUnledgered(const base::EngineId& engine,
                                                      const engine::Report& report) const;
  std::optional<engine::Order> loadOrder(const resource::Replica& replica) const;

  const ControllerOptions& options_;
  const CellState& state_;
  const LedgerIndex& ledger_;
  EngineMonitor& monitor_;
  std::map<base::EngineId, Orders> orders_;
  std::map<base::ReplicaId, base::TimePoint> unloadAt_;
  ReplicaIds neverReady_;  ///< Replicas seen as reserved in this term and not yet as ready.
  std::set<std::pair<base::TimePoint, base::EngineId>> gracePeriodEnds_;
  std::set<AcceleratorPlace> unledgered_;
};

}  // namespace walnut::control
