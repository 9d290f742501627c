#pragma once
/// @file
/// Decides when a new leader may send orders to a worker that a previous leader has ordered.

#include <map>
#include <optional>
#include <vector>

#include "walnut/base/time.h"
#include "walnut/consensus/raft.h"
#include "walnut/registry/worker.h"

namespace walnut::registry {

/// Margin beyond the order lease of a previous holder, for clock drift and network delay.
constexpr base::Duration kOrderLeaseMargin = std::chrono::milliseconds(300);
/// An order leaves at most this long after its log entry is committed.
constexpr base::Duration kOrderSendMargin = std::chrono::milliseconds(300);
/// An order whose log entry is not committed within this time is not sent: what it was planned from
/// is too old. Some syncs of a slow disk must fit.
constexpr base::Duration kMaxRecordingTime = std::chrono::seconds(4);

/// Tracks when each worker was last ordered, by the clock of this server. Every server updates its
/// own tracker as it applies the log, so that the next leader has the times.
///
/// Invariant: an order arrives before `orderedAt` + kOrderSendMargin + kOrderLeaseMargin, as other
/// servers apply its entry once it is committed, or it was sent under a lease of leadership that
/// ended before the current leader was elected. How long its recording took does not matter.
class OrderTimes {
 public:
  /// @param now when this server starts to apply log entries.
  explicit OrderTimes(base::TimePoint now) : lastMissedOrderAt_(now) {}

  /// Records that a log entry with orders for these workers was applied.
  void ordered(const std::vector<WorkerId>& workers, base::TimePoint now);
  /// The state was replaced by another server's snapshot. The orders in the skipped log entries may
  /// be as recent as now.
  void restored(base::TimePoint now) { lastMissedOrderAt_ = now; }
  void forget(const WorkerId& worker) { orderedAt_.erase(worker); }
  /// A worker has restarted under its name. The orders to its previous incarnation still count.
  void succeeded(const WorkerId& former, const WorkerId& present);

  /// @return when the current leader may order a worker that another server ordered last.
  /// @param electedAt when the current leader was elected.
  base::TimePoint allowedAt(const WorkerId& worker, base::TimePoint electedAt,
                            base::Duration lease) const;

 private:
  std::map<WorkerId, base::TimePoint> orderedAt_;
  /// Upper bound for the times of orders that this server missed.
  base::TimePoint lastMissedOrderAt_;
};

/// @return the server that held the order lease at the end of the log; zero if there was none.
base::ServerId recoveredOrderHolder(const consensus::RecoveredState& recovered);

/// Computes the first election timeout after a restart of the whole cell. The previous holder of
/// the order lease should be elected: it need not wait for its own orders, as any other would.
/// @return time until the first election; zero to use the default, if there was no holder.
base::Duration firstElectionTimeout(const consensus::RaftOptions& options, base::ServerId self,
                                    base::ServerId holder);

}  // namespace walnut::registry
