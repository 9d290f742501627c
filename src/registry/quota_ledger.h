#pragma once
/// @file
/// Token buckets shared by all gateways, for tenants with a quota and workers with a limit. They
/// decide how many requests each gateway may admit.

#include <map>
#include <string>
#include <vector>

#include "walnut/catalog/document.h"
#include "walnut/protocol/messages.h"
#include "walnut/registry/messages.h"
#include "walnut/registry/registry.h"

namespace walnut::registry {

/// The parameters of a bucket.
struct BucketParameters {
  double unitsPerSecond = 0;
  double capacity = 0;
  double initialLevel = 0;  ///< Initial level of a new bucket.
  bool wholeUnits = false;  ///< True if a unit is a request, so that only whole units are granted.
};

/// A token bucket for each owner. Gateways are granted shares of its tokens under a lease. The
/// leader has one ledger for tenants and one for workers.
///
/// Invariant: the tokens in the bucket and those granted to gateways and not yet spent never exceed
/// the capacity together. In any time span all gateways therefore spend at most the capacity plus
/// the rate times the span, however unevenly the requests come. A granted share expires with its
/// lease. A gateway without contact may still spend its share until then, and is assumed to have
/// spent all of it.
///
/// A new leader doesn't know what was granted before. Its buckets start nearly empty, and the
/// shares that gateways report count as granted. The share of a gateway that has not sent a request
/// yet expires within `kQuotaLease` of its last request to the previous leader.
class QuotaLedger {
 public:
  explicit QuotaLedger(const QuotaOptions& options) : options_(options) {}

  /// Replaces the owners: from now on exactly the tenants with a quota have a bucket.
  void setTenants(const std::vector<catalog::Tenant>& tenants, base::TimePoint now);
  void setBucket(const std::string& owner, const BucketParameters& parameters, base::TimePoint now);
  void removeBucket(const std::string& owner) { buckets_.erase(owner); }
  bool has(const std::string& owner) const { return buckets_.count(owner) != 0; }
  QuotaGrant grant(protocol::ConnectionId gateway, const QuotaRequest& request,
                   base::TimePoint now);
  /// A bucket that ran out of tokens, or again has enough for all requests.
  struct Change {
    std::string owner;
    bool exhausted = false;
    double unitsPerSecond = 0;
    double held = 0;              ///< Unspent tokens granted to gateways.
    base::Duration formerFor{0};  ///< Time since the previous change.
  };
  std::vector<Change> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Holding {
    double amount = 0;
    base::TimePoint until;
  };
  struct Bucket {
    BucketParameters parameters;
    double level = 0;
    double heldByGateways = 0;  ///< Sum of the holdings.
    double backlog = 0;  ///< Refused units whose callers were told to retry once they are refilled.
    base::TimePoint refilledAt;
    std::map<protocol::ConnectionId, Holding> holdings;
    bool exhausted = false;
    base::TimePoint changedAt;
    base::TimePoint lastShortageAt;  ///< When a request last needed more than the bucket had.
  };

  double allowance(const catalog::Tenant& tenant) const;
  void refill(Bucket& bucket, base::TimePoint now) const;
  static double immediateGrant(const Bucket& bucket, double needed, double first);
  static double advanceGrant(const Bucket& bucket, double ahead, base::TimePoint now);
  static void hold(Bucket& bucket, protocol::ConnectionId gateway, double amount,
                   base::TimePoint until);
  QuotaShare grantShare(Bucket& bucket, protocol::ConnectionId gateway, const QuotaClaim& claim,
                        base::TimePoint now);
  void updateExhausted(Bucket& bucket, const std::string& owner, bool exhausted,
                       base::TimePoint now);

  const QuotaOptions options_;
  std::map<std::string, Bucket> buckets_;  ///< By owner.
  std::vector<Change> changes_;
};

}  // namespace walnut::registry
