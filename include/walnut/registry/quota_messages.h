#pragma once
/// @file
/// Messages by which gateways request tokens of a shared bucket and the leader grants them.

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "walnut/base/time.h"

namespace walnut::registry {

/// A gateway's request for tokens of one owner's bucket, in the bucket's units.
struct QuotaClaim {
  std::string owner;    ///< A tenant, or the id of a worker with a limit.
  double held = 0;      ///< Tokens granted before that were neither spent nor returned.
  double needed = 0;    ///< Tokens beyond `held` for requests that wait for them.
  double first = 0;     ///< The part of `needed` for the request that has waited longest.
  double ahead = 0;     ///< Tokens beyond `needed` for future requests.
  double returned = 0;  ///< Tokens given back; they are no longer in `held`.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(owner, held, needed, first, ahead, returned);
  }
};
/// Gateway to leader. A gateway has at most one such request pending, so that `held` includes all
/// tokens that it was granted before.
struct QuotaRequest {
  std::uint64_t sequence = 0;  ///< Number of the gateway's request, repeated in the reply.
  std::vector<QuotaClaim> claims;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, claims);
  }
};
/// The tokens granted for one claim.
struct QuotaShare {
  std::string owner;
  double granted = 0;
  /// Time until the rest of the needed tokens will be available; 0 if all were granted.
  base::Duration retryAfter{0};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(owner, granted, retryAfter);
  }
};
/// Leader to gateway. The lease of the granted and the held tokens lasts `kQuotaLease` from the
/// request.
struct QuotaGrant {
  std::uint64_t sequence = 0;
  std::vector<QuotaShare> shares;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, shares);
  }
};
/// Lease of granted tokens: several times the interval at which gateways send requests
/// (gateway/quota_account.h), and longer than a change of leader.
inline constexpr base::Duration kQuotaLease = std::chrono::milliseconds(2500);

}  // namespace walnut::registry
