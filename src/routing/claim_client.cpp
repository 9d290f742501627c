#include "routing/claim_client.h"

#include <algorithm>

namespace walnut::routing {

namespace {
/// Retry interval: longer than a commit takes in a healthy cell, and several times shorter than
/// claimTimeout.
constexpr base::Duration kAskAgainAfter = std::chrono::milliseconds(500);
/// Retry interval after an answer that no leader was available.
constexpr base::Duration kUnavailableBackoff = std::chrono::milliseconds(100);
}  // namespace

void ClaimClient::ask(Request& request) {
  const base::TimePoint next = core_.now + kAskAgainAfter;
  lifecycle_.setPhaseDeadline(request, std::min(next, request.claimGiveUpAt));
  const std::optional<LeaderSession> leader = core_.sessions.leader();
  if (!leader.has_value()) {
    return;
  }
  protocol::ClaimRequest message;
  message.sequence = nextSequence_++;
  message.claim = {request.caller.idempotencyKey, request.caller.request,
                   request.caller.issuedAt.value_or(core_.now)};
  unanswered_[message.sequence] = &request;
  request.claimSequences.push_back(message.sequence);
  core_.actions.emplace_back(SendToController{leader->connection, std::move(message)});
}

void ClaimClient::begin(Request& request) {
  request.claimGiveUpAt = core_.now + core_.options.claimTimeout;
  claiming_.insert(&request);
  ask(request);
}

bool ClaimClient::askAgain(Request& request) {
  if (core_.now >= request.claimGiveUpAt) {
    return false;
  }
  ask(request);
  return true;
}

void ClaimClient::leaderChanged() {
  for (Request* request : claiming_) {
    ask(*request);
  }
}

std::optional<ClaimAnswer> ClaimClient::reply(const protocol::ClaimReply& reply) {
  const auto found = unanswered_.find(reply.sequence);
  if (found == unanswered_.end()) {
    return std::nullopt;
  }
  Request& request = *found->second;
  unanswered_.erase(found);
  std::erase(request.claimSequences, reply.sequence);
  if (reply.outcome == control::ClaimOutcome::unavailable) {
    const base::Duration backoff =
        core_.random.between(kUnavailableBackoff / 2, kUnavailableBackoff);
    lifecycle_.setPhaseDeadline(request, std::min(core_.now + backoff, request.claimGiveUpAt));
    return std::nullopt;
  }
  return ClaimAnswer{&request, reply.outcome};
}

void ClaimClient::forget(Request& request) {
  for (const std::uint64_t sequence : request.claimSequences) {
    unanswered_.erase(sequence);
  }
  request.claimSequences.clear();
  claiming_.erase(&request);
}

}  // namespace walnut::routing
