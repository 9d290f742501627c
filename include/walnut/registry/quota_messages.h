#pragma once
/// @file
/// Messages about what the leader grants gateways of a bucket that all of them share.

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "walnut/base/time.h"

namespace walnut::registry {

/// What a gateway asks of one owner's bucket, in the units that it counts in.
struct QuotaClaim {
  std::string owner;    ///< A tenant, or the id of a worker with a limit.
  double held = 0;      ///< Granted before, and neither spent nor given back.
  double needed = 0;    ///< Beyond `held`, for requests that wait for it.
  double first = 0;     ///< Of that, for the one that waits longest.
  double ahead = 0;     ///< Beyond that, for requests to come.
  double returned = 0;  ///< Given back; no longer in `held`.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(owner, held, needed, first, ahead, returned);
  }
};
/// Gateway to leader. A gateway has one such question open at a time, so that `held` includes all
/// that it was granted before.
struct QuotaRequest {
  std::uint64_t sequence = 0;  ///< Of the gateway; echoed.
  std::vector<QuotaClaim> claims;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, claims);
  }
};
struct QuotaShare {
  std::string owner;
  double granted = 0;
  /// Until what was needed beyond it can be had; 0: all was granted.
  base::Duration retryAfter{0};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(owner, granted, retryAfter);
  }
};
/// Leader to gateway. What is granted, and what was held, counts for `kQuotaLease` from the
/// question.
struct QuotaGrant {
  std::uint64_t sequence = 0;
  std::vector<QuotaShare> shares;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, shares);
  }
};
/// Several times the interval at which gateways ask (gateway/quota_account.h), and more than a
/// change of leader takes.
inline constexpr base::Duration kQuotaLease = std::chrono::milliseconds(2500);

}  // namespace walnut::registry
