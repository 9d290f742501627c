#pragma once
/// @file
/// Dispatches waiting requests to engines.

#include "routing/claim_client.h"
#include "routing/request_lifecycle.h"

namespace walnut::routing {

/// Serves each queue in its order while the configuration is confirmed. When it no longer is,
/// queued requests, including retries and moved streams, wait until it is confirmed again or their
/// deadline passes. The idempotency key of a request that must not be repeated is claimed only when
/// a slot is available for it: a request that is refused while it waits has claimed nothing and may
/// be sent again with the same key.
class Dispatcher {
 public:
  Dispatcher(RouterCore& core, RequestLifecycle& lifecycle, ClaimClient& claims)
      : core_(core), lifecycle_(lifecycle), claims_(claims) {}

  /// Dispatches the queues of all targets that are due.
  void run();
  void handleClaimAnswer(const ClaimAnswer& answer);
  /// Handles the time-out of state `claiming`.
  void handleClaimTimeout(Request& request);
  base::TimePoint nextWakeup() const;

 private:
  void dispatch(const std::string& name);
  /// @return the servables for which some requests found no free slot.
  std::set<resource::Servable> serveQueue(const std::string& name,
                                          const resource::Servable& current);
  void updateReadiness(const std::string& name, bool ready);
  void scheduleRetry(const std::string& name, const std::set<resource::Servable>& blocked);
  void setDispatchAt(const std::string& name, base::TimePoint at);
  void refuseUnserved(const std::string& name);
  /// Removes the request from the queue and reserves a slot at the replica.
  void begin(Request& request, const ReadyReplica& replica, const resource::Servable& servable);
  /// Starts the attempt for which the request holds a slot.
  void start(Request& request);

  RouterCore& core_;
  RequestLifecycle& lifecycle_;
  ClaimClient& claims_;
};

}  // namespace walnut::routing
