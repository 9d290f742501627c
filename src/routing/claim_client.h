#pragma once
/// @file
/// Client for claims of idempotency keys at the cell's leader.

#include <map>
#include <optional>

#include "routing/request_lifecycle.h"

namespace walnut::routing {

/// Outcome of a claim for a waiting request.
struct ClaimAnswer {
  Request* request = nullptr;
  control::ClaimOutcome outcome = control::ClaimOutcome::unavailable;
};

/// Claims idempotency keys and retries without an answer until claimTimeout: the cell grants a key
/// again to the same request id, so a repeated claim does no harm. An unanswered claim may have
/// been granted. A request that is refused with claimUnavailable was not executed, but a resend
/// with the same key may be answered with duplicateRequest; a caller whose request was reported as
/// not executed may use a new key.
class ClaimClient {
 public:
  ClaimClient(RouterCore& core, RequestLifecycle& lifecycle) : core_(core), lifecycle_(lifecycle) {}

  /// Starts the claim of a request that entered state `claiming`.
  void startClaim(Request& request);
  /// Handles the time-out of state `claiming`.
  /// @return false if the claim has to be given up.
  bool retryClaim(Request& request);
  /// Sends all open claims to a leader that is now known and connected.
  void resendToLeader();
  /// @return nothing if no request waits for this answer, or if another answer is still possible.
  std::optional<ClaimAnswer> reply(const protocol::ClaimReply& reply);
  /// Removes a request that no longer waits. Must be called before it leaves state `claiming`.
  void removeRequest(Request& request);

 private:
  void sendClaim(Request& request);

  RouterCore& core_;
  RequestLifecycle& lifecycle_;
  std::uint64_t nextSequence_ = 1;
  std::map<std::uint64_t, Request*> pendingClaims_;
  RequestSet claiming_;
};

}  // namespace walnut::routing
