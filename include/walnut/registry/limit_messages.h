#pragma once
/// @file
/// Messages about the request rate limits of workers. A limit is the number of requests per second
/// that a worker accepts from all gateways together. The messages need feature level
/// `kWorkerLimits`.

#include <cereal/types/optional.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <vector>

#include "walnut/base/time.h"
#include "walnut/registry/quota_messages.h"
#include "walnut/registry/worker.h"

namespace walnut::registry {

/// Requests per second that are sent to a worker whose limit is lower. Without any request the end
/// of the limit could not be detected.
inline constexpr double kMinRequestsPerSecond = 0.25;

/// The limit stated by one answer of a worker.
struct LimitObservation {
  WorkerId worker;
  std::optional<double> perSecond;  ///< The limit; absent if the answer stated none.
  /// @name Times before the sending of the report, by the gateway's clock
  /// @{
  base::Duration sentAgo{0};      ///< Time since the request was sent to the worker.
  base::Duration answeredAgo{0};  ///< Time since the answer came.
  /// @}
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, perSecond, sentAgo, answeredAgo);
  }
};
/// Gateway to leader: the limits that are new to the gateway, or all that it knows if the leader is
/// new to it.
struct LimitReport {
  std::vector<LimitObservation> sightings;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sightings);
  }
};

/// Gateway to leader: a request for shares of workers' limits, where one unit is one request. The
/// owner of a claim is the id of the worker.
struct ShareRequest {
  QuotaRequest request;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request);
  }
};
/// Leader to gateway: the reply to a ShareRequest.
struct ShareGrant {
  QuotaGrant grant;
  std::vector<WorkerId> unlimited;  ///< Requested workers that have no known limit.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(grant, unlimited);
  }
};

}  // namespace walnut::registry
