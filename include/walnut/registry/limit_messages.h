#pragma once
/// @file
/// Messages about the limits that workers name: how many requests a second one of them takes from
/// all gateways together. Of feature level `kWorkerLimits`.

#include <cereal/types/optional.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <vector>

#include "walnut/base/time.h"
#include "walnut/registry/quota_messages.h"
#include "walnut/registry/worker.h"

namespace walnut::registry {

/// Requests a second that are sent to a worker whose limit is lower: without any nobody would hear
/// that the limit has ended.
inline constexpr double kLeastLimit = 0.25;

/// What one answer of a worker said of its limit.
struct LimitSighting {
  WorkerId worker;
  std::optional<double> perSecond;  ///< Absent: the answer named none.
  /// @name By the gateway's clock, before the report was sent
  /// @{
  base::Duration sentAgo{0};      ///< When the request went to the worker.
  base::Duration answeredAgo{0};  ///< When the answer came.
  /// @}
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, perSecond, sentAgo, answeredAgo);
  }
};
/// Gateway to leader: what is new to the gateway; to a leader that is new to it, all that it
/// believes.
struct LimitReport {
  std::vector<LimitSighting> sightings;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sightings);
  }
};

/// Gateway to leader: requests for workers with a limit, one unit each. The owner of a claim is the
/// id of the worker.
struct ShareRequest {
  QuotaRequest request;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request);
  }
};
/// Leader to gateway.
struct ShareGrant {
  QuotaGrant grant;
  std::vector<WorkerId> unlimited;  ///< Workers among them of which no limit is known.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(grant, unlimited);
  }
};

}  // namespace walnut::registry
