#pragma once
/// @file
/// When a new leader may order a worker that a former one has ordered.

#include <map>
#include <optional>
#include <vector>

#include "walnut/base/time.h"
#include "walnut/consensus/raft.h"
#include "walnut/registry/worker.h"

namespace walnut::registry {

/// Beyond the lease of a former holder, for its clock and the network.
constexpr base::Duration kTurnMargin = std::chrono::milliseconds(300);
/// An order that was recorded is sent within this time, or not at all.
constexpr base::Duration kRecordedOrderLifetime = std::chrono::milliseconds(300);

/// When workers were last ordered, by the clock of this server: kept by every server as it applies
/// the log, so that whoever leads next knows.
///
/// Invariant: an order arrives before `orderedAt` + kRecordedOrderLifetime + kTurnMargin, or it was
/// given under a lease of leadership that ended before the present leader was elected.
class OrderTurns {
 public:
  /// @param now from which on this server sees what is applied.
  explicit OrderTurns(base::TimePoint now) : unknownAt_(now) {}

  void ordered(const std::vector<WorkerId>& workers, base::TimePoint now);
  /// The state was replaced by another server's: what it skipped may have happened just now.
  void restored(base::TimePoint now) { unknownAt_ = now; }
  void forget(const WorkerId& worker) { orderedAt_.erase(worker); }
  /// A worker has started again under its name: who ordered it is bound as before.
  void succeeded(const WorkerId& former, const WorkerId& present);

  /// @return when a worker that another server ordered last may be ordered by the present leader.
  /// @param electedAt when that leader was elected.
  base::TimePoint allowedAt(const WorkerId& worker, base::TimePoint electedAt,
                            base::Duration lease) const;

 private:
  std::map<WorkerId, base::TimePoint> orderedAt_;
  base::TimePoint unknownAt_;  ///< Orders that this server did not see are no later.
};

/// @return the server that had the turn to order when the log was written; zero if there was none.
base::ServerId recoveredOrderHolder(const consensus::RecoveredState& recovered);

/// After a restart of the whole cell, the former holder of the turn to order had better lead again:
/// it need not wait for its own orders, as any other would.
/// @return time until the first election; zero if it makes no difference.
base::Duration firstElectionTimeout(const consensus::RaftOptions& options, base::ServerId self,
                                    base::ServerId holder);

}  // namespace walnut::registry
