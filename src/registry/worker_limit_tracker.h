#pragma once
/// @file
/// Request rate limits that workers state in their answers, as reported by gateways, and the shares
/// of them that are granted to gateways.

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "registry/named_limit.h"
#include "registry/quota_ledger.h"
#include "walnut/registry/limit_messages.h"

namespace walnut::registry {

/// Tracks the limits of workers and grants shares of them to gateways; the leader has one. A worker
/// has a limit from an answer that states one until an answer without one to a request that was
/// sent later than that answer came. The times matter because answers on different connections
/// overtake one another.
///
/// Invariant: the requests granted to all gateways together for a worker in any time span are at
/// most `capacityOf` its limit plus the limit times the span. The remainder of what the users' rule
/// allows is reserved for shares that gateways hold from a previous leader and for requests they
/// send while there is no leader (gateway/worker_limits.h).
///
/// A new leader knows no limits and has granted nothing. Gateways report the limits they know
/// before they request shares, and the buckets are empty at first.
class WorkerLimitTracker {
 public:
  WorkerLimitTracker() : ledger_(QuotaOptions{}) {}

  /// A new, changed or ended limit.
  struct Change {
    WorkerId worker;
    std::optional<double> perSecond;
    std::optional<double> previous;
    base::Duration age{0};  ///< Age of the answer that the change follows from.
  };
  /// @return the changes that follow from the report.
  std::vector<Change> report(const LimitReport& report, base::TimePoint now);
  ShareGrant grant(protocol::ConnectionId gateway, const ShareRequest& request,
                   base::TimePoint now);
  void forget(const WorkerId& worker);

  std::optional<double> limitOf(const WorkerId& worker) const;
  /// @return true if gateways recently requested more than the worker's limit.
  bool wasOverLimit(const WorkerId& worker, base::TimePoint now) const;
  std::vector<QuotaLedger::Change> takeChanges() { return ledger_.takeChanges(); }

  /// @return the capacity of a bucket in requests.
  static double capacityOf(double limit);

 private:
  struct Limit {
    NamedLimit named;
    base::TimePoint overLimitUntil;  ///< The worker counts as over its limit until then.
  };

  std::optional<Change> applyNamedLimit(const WorkerId& worker, const LimitObservation& sighting,
                                        base::TimePoint now);
  std::optional<Change> applyMissingLimit(const WorkerId& worker, const LimitObservation& sighting,
                                          base::TimePoint now);

  std::map<WorkerId, Limit> limits_;
  std::map<WorkerId, base::TimePoint> endedAt_;  ///< Times of the answers that ended limits.
  QuotaLedger ledger_;
};

}  // namespace walnut::registry
