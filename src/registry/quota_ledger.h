#pragma once
/// @file
/// The quotas of tenants, over all gateways: what each gateway may let through.

#include <map>
#include <string>
#include <vector>

#include "walnut/catalog/document.h"
#include "walnut/protocol/messages.h"
#include "walnut/registry/messages.h"
#include "walnut/registry/registry.h"

namespace walnut::registry {

/// A token bucket for each tenant, parts of which are out at gateways. Kept by the leader.
///
/// Invariant: what is in the bucket and what is out at gateways never exceed the capacity together,
/// so that in any span all gateways spend at most the capacity and what the rate brings in that
/// span, however unevenly the requests come. What a gateway holds ends with its lease: one that is
/// not heard any more may still spend until then, and is taken to have spent all.
///
/// A new leader knows nothing of what was granted before. It begins with little, and what gateways
/// say they hold counts as out; what a gateway holds that has not asked yet ends within
/// `kQuotaLease` of its last question to the former leader.
class QuotaLedger {
 public:
  explicit QuotaLedger(const QuotaOptions& options) : options_(options) {}

  void setTenants(const std::vector<catalog::Tenant>& tenants, base::TimePoint now);
  QuotaGrant grant(protocol::ConnectionId gateway, const QuotaRequest& request,
                   base::TimePoint now);
  /// A tenant asked for more than there is, or is below its quota again.
  struct Change {
    std::string tenant;
    bool exhausted = false;
    double unitsPerSecond = 0;
    double held = 0;  ///< Out at gateways.
    base::Duration formerFor{0};
  };
  std::vector<Change> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Holding {
    double amount = 0;
    base::TimePoint until;
  };
  struct Bucket {
    double unitsPerSecond = 0;
    double capacity = 0;
    double level = 0;
    double outside = 0;  ///< Sum of the holdings.
    double backlog = 0;  ///< Refused, and told to come back when the rate will have brought it.
    base::TimePoint refilledAt;
    std::map<protocol::ConnectionId, Holding> holdings;
    bool exhausted = false;
    base::TimePoint changedAt;
    base::TimePoint shortAt;  ///< When it last had less than was needed.
  };

  double allowance(const catalog::Tenant& tenant) const;
  void refill(Bucket& bucket, base::TimePoint now) const;
  static void hold(Bucket& bucket, protocol::ConnectionId gateway, double amount,
                   base::TimePoint until);
  QuotaShare grantShare(Bucket& bucket, protocol::ConnectionId gateway, const QuotaClaim& claim,
                        base::TimePoint now);
  void noteExhausted(Bucket& bucket, const std::string& tenant, bool exhausted,
                     base::TimePoint now);

  const QuotaOptions options_;
  std::map<std::string, Bucket> buckets_;  ///< Of tenants that have a limit.
  std::vector<Change> changes_;
};

}  // namespace walnut::registry
