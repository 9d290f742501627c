#pragma once
/// @file
/// Demand as the routers last reported it, added up for each target.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "walnut/base/ids.h"
#include "walnut/base/time.h"
#include "walnut/protocol/messages.h"

namespace walnut::control {

/// What callers name: a model, or an adapter over one.
struct DemandTarget {
  std::string model;
  std::string adapter;  ///< Empty: the model itself.
  /// A former version that streams have to go on with; empty: the active one.
  std::string version;
  auto operator<=>(const DemandTarget&) const = default;
};

/// Sum over all routers.
struct TotalDemand {
  std::uint32_t waitingInteractive = 0;
  std::uint32_t waitingBatch = 0;
  std::uint32_t running = 0;
  std::optional<base::TimePoint> earliestDeadline;  ///< Of the waiting ones.
  base::TimePoint lastArrival;

  std::uint32_t waiting() const { return waitingInteractive + waitingBatch; }
  std::uint32_t load() const { return waiting() + running; }
};

/// State, not events: each router's latest report counts once, however often it arrives.
/// Invariant: a router that has been silent for the lifetime has no entries.
class DemandTable {
 public:
  explicit DemandTable(base::Duration lifetime) : lifetime_(lifetime) {}

  /// Takes in a report unless a newer one of the router is known.
  /// @return true if it was taken.
  bool take(base::TimePoint now, const protocol::DemandReport& report);
  /// @return routers that have reported and are not silent.
  std::size_t routerCount() const { return routers_.size(); }
  /// Drops the entries of silent routers.
  void expire(base::TimePoint now);
  /// @return when `expire` has something to do.
  base::TimePoint nextExpiry() const;

  /// @return models of which, since the last call, the number of waiting requests has changed, or a
  /// target has begun or ceased to run.
  std::set<std::string> takeChangedModels() { return std::exchange(changedModels_, {}); }
  bool changed() const { return !changedModels_.empty(); }

  /// @return the totals of all targets that any router reports.
  const std::map<DemandTarget, TotalDemand>& totals();

 private:
  struct RouterEntries {
    std::uint64_t sequence = 0;
    base::TimePoint heardAt;
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
  std::set<DemandTarget> stale_;  ///< Their totals are to be added up again.
};

}  // namespace walnut::control
