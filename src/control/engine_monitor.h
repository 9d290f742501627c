#pragma once
/// @file
/// The leader's calls of engines: reports at an interval, and orders, under fencing tokens.

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

/// A call that has ended.
struct FinishedCall {
  base::EngineId engine;
  std::optional<engine::Order> order;  ///< The order that was sent; nothing: a report request.
  engine::CallResult result;
};

/// One object for each term that this server leads; what it holds was learnt in this term only.
/// Invariants:
/// - at most one call to an engine is under way, so that a later token never overtakes an earlier
///   one of the same leader;
/// - an order goes only to an engine that has reported in this term, which has fenced off all
///   former leaders;
/// - an engine that refused a token as stale has seen a later leader: it gets no more orders in
///   this term.
class EngineMonitor {
 public:
  /// All references outlive this object. @param nextCall numbers calls, over all terms.
  EngineMonitor(const ControllerOptions& options, consensus::Term term, std::uint64_t& nextCall,
                std::vector<ControllerAction>& actions)
      : options_(options), term_(term), nextCall_(nextCall), actions_(actions) {}

  /// The engine is to be polled, at this endpoint.
  void track(base::TimePoint now, const base::EngineId& engine, const base::Endpoint& endpoint);
  void forget(const base::EngineId& engine);
  /// @return all engines that are polled.
  std::set<base::EngineId> engines() const;
  /// While an engine loads or unloads, it is polled more often.
  void setBusy(base::TimePoint now, const base::EngineId& engine, bool busy);

  /// Sends the report requests that are due.
  /// @param mayCall whether the leader's lease is valid.
  void tick(base::TimePoint now, bool mayCall);
  base::TimePoint nextWakeup() const;

  /// @return true if an order can be sent to the engine now.
  bool mayOrder(const base::EngineId& engine) const;
  /// Sends an order under a fresh token. Only if mayOrder(). @return its token.
  engine::FencingToken sendOrder(base::TimePoint now, const base::EngineId& engine,
                                 engine::Order order);
  /// @return whom the call went to; nothing if it is of a former term or to a former endpoint.
  std::optional<base::EngineId> engineOf(const EngineCallFinished& call) const;
  /// @return nothing if the call is of a former term or to a former endpoint.
  std::optional<FinishedCall> callFinished(base::TimePoint now, const EngineCallFinished& call);

  /// @return the engine's latest report in this term, or null.
  const engine::Report* report(const base::EngineId& engine) const;
  /// @return true if the engine has reported lately.
  bool responsive(base::TimePoint now, const base::EngineId& engine) const;
  /// Whether routers together have seen the engine fail what it is sent.
  void setFailing(const base::EngineId& engine, bool failing);
  bool failing(const base::EngineId& engine) const { return failing_.contains(engine); }
  /// @return true if the engine's replicas serve, and it may be given new ones: it has reported
  /// lately and does not fail what it is sent.
  bool serves(base::TimePoint now, const base::EngineId& engine) const {
    return responsive(now, engine) && !failing(engine);
  }
  /// @return when the engine last reported; nothing if it has not in this term.
  std::optional<base::TimePoint> reportedAt(const base::EngineId& engine) const;
  /// @return where a checkpoint is cached at the engine, by its latest report.
  std::optional<engine::CacheTier> cachedAt(const base::EngineId& engine,
                                            const std::string& checkpoint) const;

 private:
  struct Channel {
    base::Endpoint endpoint;
    base::TimePoint reportDueAt;
    std::optional<std::uint64_t> call;   ///< Under way.
    std::optional<engine::Order> order;  ///< What `call` carries, if it is an order.
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
  std::map<std::uint64_t, base::EngineId> calls_;  ///< Under way.
  std::set<base::EngineId> failing_;
  /// Report requests to come, of engines without a call under way.
  std::set<std::pair<base::TimePoint, base::EngineId>> due_;
};

}  // namespace walnut::control
