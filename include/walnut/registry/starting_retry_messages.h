#pragma once
/// @file
/// Messages about the first retries of a new gateway process, which has no share of the retry
/// budgets yet. They need feature level `kStartingRetries`.

#include <cstdint>

#include "walnut/base/time.h"

namespace walnut::registry {

/// Part of the fixed number of retries in a window (the slack of a retry budget) that the leader
/// grants to new gateway processes.
inline constexpr double kStartingRetriesFraction = 0.2;
/// Time in which a gateway may use granted retries, counted from its request.
inline constexpr base::Duration kStartingRetriesLifetime = std::chrono::seconds(10);

/// Gateway to leader: a request for the first retries of a process. Sent once, to the first leader
/// that a new process follows.
struct StartingRetriesRequest {
  double slack = 0;  ///< Retries in a window that all gateways share, beside those by requests.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(slack);
  }
};
/// Leader to gateway: the reply to a StartingRetriesRequest.
struct StartingRetries {
  std::uint32_t retries = 0;  ///< For each service, once.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(retries);
  }
};

}  // namespace walnut::registry
