#pragma once
/// @file
/// Demand that the routers last reported, summed for each target.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "walnut/base/ids.h"
#include "walnut/base/time.h"
#include "walnut/protocol/messages.h"

namespace walnut::control {

/// Target of requests: a model, or an adapter on a model.
struct DemandTarget {
  std::string model;
  std::string adapter;  ///< Empty for the model itself.
  /// A previous version that open streams must continue with; empty: the active version.
  std::string version;
  auto operator<=>(const DemandTarget&) const = default;
};

/// Demand for one target, summed over all routers.
struct TotalDemand {
  std::uint32_t waitingInteractive = 0;
  std::uint32_t waitingBatch = 0;
  std::uint32_t running = 0;
  std::optional<base::TimePoint> earliestDeadline;  ///< Earliest deadline of the waiting requests.
  base::TimePoint lastArrival;

  std::uint32_t waiting() const { return waitingInteractive + waitingBatch; }
  std::uint32_t load() const { return waiting() + running; }
};

/// Holds the latest demand report of each router and the totals per target. Reports are states, not
/// events: each router's latest report counts once, however often it arrives.
/// Invariant: a router without a report within the lifetime has no entries.
class DemandTable {
 public:
  explicit DemandTable(base::Duration lifetime) : lifetime_(lifetime) {}

  /// Applies a report unless a newer one from the router is known.
  /// @return true if it was applied.
  bool applyReport(base::TimePoint now, const protocol::DemandReport& report);
  /// @return the number of routers with an unexpired report.
  std::size_t routerCount() const { return routers_.size(); }
  /// Removes the entries of routers whose reports have expired.
  void expire(base::TimePoint now);
  /// @return the time when the next router expires.
  base::TimePoint nextExpiry() const;

  /// @return models for which, since the last call, the number of waiting requests changed, or a
  /// target started or stopped running requests.
  std::set<std::string> takeChangedModels() { return std::exchange(changedModels_, {}); }
  bool hasChangedModels() const { return !changedModels_.empty(); }

  /// @return the totals of all targets that any router reports.
  const std::map<DemandTarget, TotalDemand>& totals();

 private:
  struct RouterEntries {
    std::uint64_t sequence = 0;
    base::TimePoint lastReportAt;
    std::set<DemandTarget> targets;
  };

  void put(base::RouterId router, RouterEntries& entries, const protocol::Demand& demand);
  void remove(base::RouterId router, const DemandTarget& target);
  void refresh(const DemandTarget& target);

  base::Duration lifetime_;
  std::map<base::RouterId, RouterEntries> routers_;
  std::map<DemandTarget, std::map<base::RouterId, protocol::Demand>> entries_;
  std::map<DemandTarget, TotalDemand> totals_;
  std::set<std::string> changedModels_;
  std::set<DemandTarget> staleTargets_;  ///< Targets whose totals must be recomputed.
};

}  // namespace walnut::control
