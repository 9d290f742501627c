#pragma once
/// @file
/// The leader's calls to engines: report requests at an interval, and orders, both with fencing
/// tokens.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "walnut/base/ids.h"
#include "walnut/base/time.h"
#include "walnut/consensus/messages.h"
#include "walnut/control/controller.h"

namespace walnut::control {

/// Result of a finished call to an engine.
struct FinishedCall {
  base::EngineId engine;
  std::optional<engine::Order> order;  ///< Order that was sent; empty for a report request.
  engine::CallResult result;
};

/// Polls engines for reports and sends them orders during one term of leadership. All its data
/// comes from this term.
/// Invariants:
/// - at most one call to an engine is in flight, so that a later token never overtakes an earlier
///   one of the same leader;
/// - an order goes only to an engine that has reported in this term, which has fenced off all
///   previous leaders;
/// - an engine that refused a token as stale has seen a later leader and gets no more orders in
///   this term.
class EngineMonitor {
 public:
  /// All references outlive this object.
  /// @param nextCall counter that numbers calls over all terms.
  EngineMonitor(const ControllerOptions& options, consensus::Term term, std::uint64_t& nextCall,
                std::vector<ControllerAction>& actions)
      : options_(options), term_(term), nextCall_(nextCall), actions_(actions) {}

  /// Starts polling the engine at this endpoint.
  void track(base::TimePoint now, const base::EngineId& engine, const base::Endpoint& endpoint);
  void forget(const base::EngineId& engine);
  /// @return all polled engines.
  std::set<base::EngineId> engines() const;
  /// Sets whether the engine loads or unloads; such an engine is polled more often.
  void setBusy(base::TimePoint now, const base::EngineId& engine, bool busy);

  /// Sends the report requests that are due.
  /// @param mayCall true if the leader's lease is valid.
  void tick(base::TimePoint now, bool mayCall);
  base::TimePoint nextWakeup() const;

  /// @return true if an order can be sent to the engine now.
  bool canSendOrder(const base::EngineId& engine) const;
  /// Sends an order with a new fencing token. Requires canSendOrder().
  /// @return the token.
  engine::FencingToken sendOrder(base::TimePoint now, const base::EngineId& engine,
                                 engine::Order order);
  /// @return the engine that was called; empty if the call belongs to a previous term or endpoint.
  std::optional<base::EngineId> engineOf(const EngineCallFinished& call) const;
  /// Handles the result of a call.
  /// @return the finished call; empty if it belongs to a previous term or endpoint.
  std::optional<FinishedCall> callFinished(base::TimePoint now, const EngineCallFinished& call);

  /// @return the engine's latest report in this term, or null.
  const engine::Report* report(const base::EngineId& engine) const;
  /// @return true if the engine has reported recently.
  bool isResponsive(base::TimePoint now, const base::EngineId& engine) const;
  /// Sets whether the routers have reported that the engine fails requests.
  void setFailing(const base::EngineId& engine, bool failing);
  bool isFailing(const base::EngineId& engine) const { return failingEngines_.contains(engine); }
  /// @return true if the engine's replicas count as serving and it may get new ones: it has
  /// reported recently and does not fail requests.
  bool serves(base::TimePoint now, const base::EngineId& engine) const {
    return isResponsive(now, engine) && !isFailing(engine);
  }
  /// @return the time of the engine's last report; empty if there was none in this term.
  std::optional<base::TimePoint> reportedAt(const base::EngineId& engine) const;
  /// @return the nearest cache tier that holds the checkpoint on the engine, by its latest report.
  std::optional<engine::CacheTier> nearestCacheTier(const base::EngineId& engine,
                                                    const std::string& checkpoint) const;

 private:
  struct Channel {
    base::Endpoint endpoint;
    base::TimePoint reportDueAt;
    std::optional<std::uint64_t> call;   ///< Number of the call in flight.
    std::optional<engine::Order> order;  ///< Order carried by `call`, if it is one.
    bool busy = false;
    bool fencedOff = false;
    std::optional<engine::Report> report;
    base::TimePoint reportedAt;
  };

  engine::FencingToken nextToken() { return {term_, ++sequence_}; }
  void send(const base::EngineId& engine, Channel& channel, engine::Call request);
  base::Duration busyInterval() const {
    return std::min(options_.reportInterval, options_.busyReportInterval);
  }
  base::Duration pollInterval(const Channel& channel) const;
  void setDue(const base::EngineId& engine, Channel& channel, base::TimePoint at);

  const ControllerOptions& options_;
  consensus::Term term_;
  std::uint64_t& nextCall_;
  std::vector<ControllerAction>& actions_;
  std::uint64_t sequence_ = 0;
  bool mayCall_ = false;
  std::map<base::EngineId, Channel> channels_;
  std::map<std::uint64_t, base::EngineId> callsInFlight_;  ///< Calls in flight.
  std::set<base::EngineId> failingEngines_;
  /// Scheduled report requests of engines without a call in flight.
  std::set<std::pair<base::TimePoint, base::EngineId>> dueReports_;
};

}  // namespace walnut::control
