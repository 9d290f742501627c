#pragma once
/// @file
/// Token buckets that all gateways share, of tenants with a quota and of workers with a limit: what
/// each gateway may let through.

#include <map>
#include <string>
#include <vector>

#include "walnut/catalog/document.h"
#include "walnut/protocol/messages.h"
#include "walnut/registry/messages.h"
#include "walnut/registry/registry.h"

namespace walnut::registry {

/// How a bucket fills.
struct BucketTerms {
  double unitsPerSecond = 0;
  double capacity = 0;
  double atStart = 0;       ///< What it holds when it is new.
  bool wholeUnits = false;  ///< Granted are whole units only: one is a request.
};

/// A token bucket for each owner, parts of which are out at gateways. Kept by the leader.
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

  /// Each tenant with a quota, and no other owner, has a bucket from now on.
  void setTenants(const std::vector<catalog::Tenant>& tenants, base::TimePoint now);
  void setBucket(const std::string& owner, const BucketTerms& terms, base::TimePoint now);
  void removeBucket(const std::string& owner) { buckets_.erase(owner); }
  bool has(const std::string& owner) const { return buckets_.count(owner) != 0; }
  QuotaGrant grant(protocol::ConnectionId gateway, const QuotaRequest& request,
                   base::TimePoint now);
  /// More was asked of a bucket than there is, or it has enough again.
  struct Change {
    std::string owner;
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
    BucketTerms terms;
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
  static double granted(const Bucket& bucket, double needed, double first);
  static double grantedAhead(const Bucket& bucket, double ahead, base::TimePoint now);
  static void hold(Bucket& bucket, protocol::ConnectionId gateway, double amount,
                   base::TimePoint until);
  QuotaShare grantShare(Bucket& bucket, protocol::ConnectionId gateway, const QuotaClaim& claim,
                        base::TimePoint now);
  void noteExhausted(Bucket& bucket, const std::string& owner, bool exhausted, base::TimePoint now);

  const QuotaOptions options_;
  std::map<std::string, Bucket> buckets_;  ///< By owner.
  std::vector<Change> changes_;
};

}  // namespace walnut::registry
