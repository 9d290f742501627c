#pragma once
/// @file
/// Admission control: decides on arrival whether a request is queued or refused.

#include <optional>

#include "routing/request_lifecycle.h"

namespace walnut::routing {

/// Refuses requests that cannot be served in time, so that callers do not wait for nothing. Checks
/// are made in this order: planned shutdown, fields of the request, freshness of the configuration,
/// target, deadline with the estimated wait, free space in the queue.
class Admission {
 public:
  Admission(RouterCore& core, RequestLifecycle& lifecycle) : core_(core), lifecycle_(lifecycle) {}

  /// Queues or refuses the request. A request whose id is in use is ignored, because its refusal
  /// could not be told from the answer to the first one.
  void admit(const CallerRequest& caller);
  /// @return the estimated wait of a request of this priority that arrives now.
  base::Duration waitEstimate(const std::string& target, engine::Priority priority) const;

 private:
  std::optional<Refusal> checkFields(const CallerRequest& caller) const;
  std::optional<Refusal> checkRouter() const;
  std::optional<Refusal> checkDeadline(const CallerRequest& caller, base::TimePoint deadline);
  /// Displaces a batch request if that frees a queue entry for an interactive one.
  std::optional<Refusal> checkQueueSpace(const CallerRequest& caller);
  base::TimePoint deadlineOf(const CallerRequest& caller) const;
  void refuse(const CallerRequest& caller, const Refusal& refusal);

  RouterCore& core_;
  RequestLifecycle& lifecycle_;
};

}  // namespace walnut::routing
