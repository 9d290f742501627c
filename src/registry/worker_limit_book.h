#pragma once
/// @file
/// The limits that workers name, as gateways report them, and what each gateway may send within
/// them.

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "registry/named_limit.h"
#include "registry/quota_ledger.h"
#include "walnut/registry/limit_messages.h"

namespace walnut::registry {

/// Kept by the leader. A worker has a limit from an answer that names one until an answer without
/// one to a request that was sent after it: answers on different connections overtake one another.
///
/// Invariant: what all gateways together are granted of a worker in any span is at most
/// `capacityOf` its limit and what the limit brings in that span. The rest of what the users' rule
/// allows is for what gateways hold of a former leader, and send while nobody leads
/// (gateway/worker_limits.h).
///
/// A new leader knows of no limit and has granted nothing: gateways tell it what they believe
/// before they ask it, and its buckets are empty at first.
class WorkerLimitBook {
 public:
  WorkerLimitBook() : ledger_(QuotaOptions{}) {}

  /// A limit that began, changed or ended.
  struct Change {
    WorkerId worker;
    std::optional<double> perSecond;
    std::optional<double> former;
    base::Duration age{0};  ///< Of the answer that said so.
  };
  /// @return the changes that the report makes.
  std::vector<Change> report(const LimitReport& report, base::TimePoint now);
  ShareGrant grant(protocol::ConnectionId gateway, const ShareRequest& request,
                   base::TimePoint now);
  void forget(const WorkerId& worker);

  std::optional<double> limitOf(const WorkerId& worker) const;
  /// @return true if it was asked for more than its limit lately.
  bool wasShort(const WorkerId& worker, base::TimePoint now) const;
  std::vector<QuotaLedger::Change> takeChanges() { return ledger_.takeChanges(); }

  /// @return the requests that a bucket holds at most.
  static double capacityOf(double limit);

 private:
  struct Limit {
    NamedLimit named;
    base::TimePoint shortUntil;  ///< It counts as asked for too much until then.
  };

  std::optional<Change> named(const WorkerId& worker, const LimitSighting& sighting,
                              base::TimePoint now);
  std::optional<Change> notNamed(const WorkerId& worker, const LimitSighting& sighting,
                                 base::TimePoint now);

  std::map<WorkerId, Limit> limits_;
  std::map<WorkerId, base::TimePoint> ended_;  ///< When the answer without a limit came.
  QuotaLedger ledger_;
};

}  // namespace walnut::registry
