#include "routing/claim_client.h"

#include <algorithm>

namespace walnut::routing {

namespace {
/// Retry interval: longer than a commit takes in a healthy cell, and several times shorter than
/// claimTimeout.
constexpr base::Duration kClaimRetryInterval = std::chrono::milliseconds(500);
/// Retry interval after an answer that no leader was available.
constexpr base::Duration kUnavailableBackoff = std::chrono::milliseconds(100);
}  // namespace

void ClaimClient::sendClaim(Request& request) {
  const base::TimePoint next = core_.now + kClaimRetryInterval;
  lifecycle_.setPhaseDeadline(request, std::min(next, request.claimDeadline));
  const std::optional<LeaderSession> leader = core_.sessions.leader();
  if (!leader.has_value()) {
    return;
  }
  protocol::ClaimRequest message;
  message.sequence = nextSequence_++;
  message.claim = {request.caller.idempotencyKey, request.caller.request,
                   request.caller.issuedAt.value_or(core_.now)};
  pendingClaims_[message.sequence] = &request;
  request.claimSequences.push_back(message.sequence);
  core_.actions.emplace_back(SendToController{leader->connection, std::move(message)});
}

void ClaimClient::startClaim(Request& request) {
  request.claimDeadline = core_.now + core_.options.claimTimeout;
  claiming_.insert(&request);
  sendClaim(request);
}

bool ClaimClient::retryClaim(Request& request) {
  if (core_.now >= request.claimDeadline) {
    return false;
  }
  sendClaim(request);
  return true;
}

void ClaimClient::resendToLeader() {
  for (Request* request : claiming_) {
    sendClaim(*request);
  }
}

std::optional<ClaimAnswer> ClaimClient::reply(const protocol::ClaimReply& reply) {
  const auto found = pendingClaims_.find(reply.sequence);
  if (found == pendingClaims_.end()) {
    return std::nullopt;
  }
  Request& request = *found->second;
  pendingClaims_.erase(found);
  std::erase(request.claimSequences, reply.sequence);
  if (reply.outcome == control::ClaimOutcome::unavailable) {
    const base::Duration backoff =
        core_.random.between(kUnavailableBackoff / 2, kUnavailableBackoff);
    lifecycle_.setPhaseDeadline(request, std::min(core_.now + backoff, request.claimDeadline));
    return std::nullopt;
  }
  return ClaimAnswer{&request, reply.outcome};
}

void ClaimClient::removeRequest(Request& request) {
  for (const std::uint64_t sequence : request.claimSequences) {
    pendingClaims_.erase(sequence);
  }
  request.claimSequences.clear();
  claiming_.erase(&request);
}

}  // namespace walnut::routing
