/// @file
/// Membership of the cell and the feature levels of its servers.

#include <algorithm>
#include <utility>

#include "registry/registry_impl.h"
#include "walnut/registry/feature_level.h"

namespace walnut::registry {

using runtime::LogEvent;

namespace {

protocol::Message wrap(MessageBody body) { return RegistryMessage{std::move(body)}; }

}  // namespace

void RegistryImpl::noteMembership() {
  const consensus::RaftStatus status = raft_->status();
  if (status.membershipIndex == lastMembershipIndex_) {
    return;
  }
  lastMembershipIndex_ = status.membershipIndex;
  std::string members;
  for (const consensus::Member& member : status.membership.members) {
    members += members.empty() ? "" : ",";
    members += member.peerEndpoint.address;
    members += member.role == consensus::MemberRole::voter ? "" : "(learner)";
  }
  log_.write(LogEvent::membershipChanged,
             {{"index", status.membershipIndex}, {"members", members}});
}

void RegistryImpl::logElection(const consensus::ElectionReport& election) {
  std::string missing;
  for (const base::ServerId server : election.missing) {
    missing += missing.empty() ? "" : ",";
    missing += peerEndpointOf(server).value_or(base::Endpoint{}).address;
  }
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(election.duration);
  log_.write(LogEvent::electionEnded, {{"term", election.term},
                                       {"round", election.preVote ? "pre-vote" : "vote"},
                                       {"outcome", consensus::electionEndName(election.end)},
                                       {"missing", missing},
                                       {"own-vote", election.preVote          ? "none"
                                                    : election.ownVoteDurable ? "durable"
                                                                              : "not-durable"},
                                       {"millis", static_cast<std::uint64_t>(millis.count())}});
}

void RegistryImpl::updateMembership() {
  const consensus::RaftStatus status = raft_->status();
  const auto next = membershipPolicy_->nextChange(status.membership, status.self, now_);
  if (!next) {
    return;
  }
  const auto index = raft_->changeMembership(now_, *next);
  if (index) {
    log_.write(LogEvent::memberProposed, {{"index", index.value()},
                                          {"members", next->members.size()},
                                          {"before", status.membership.members.size()}});
  }
}

std::uint32_t RegistryImpl::levelOf(base::ServerId server) const {
  if (server == options_.self.id) {
    return kFeatureLevel;
  }
  const auto found = peers_.find(server);
  return found == peers_.end() ? 0 : found->second.featureLevel;
}

/// A server without a connection to this one was checked by the server that forwarded its request.
bool RegistryImpl::isOfLowerLevel(base::ServerId server) const {
  return peers_.count(server) != 0 && levelOf(server) < state_.featureLevel();
}

/// Raises the cell's feature level to the lowest one that its servers have announced.
void RegistryImpl::raiseFeatureLevel() {
  const std::uint32_t held = std::max(state_.featureLevel(), proposedLevel_);
  if (held >= kCellFeatureLevel || !isActiveLeader()) {
    return;
  }
  std::uint32_t level = kCellFeatureLevel;
  for (const consensus::Member& member : raft_->status().membership.members) {
    level = std::min(level, levelOf(member.id));
  }
  if (level > held && raft_->propose(now_, encodeCommand(RaiseFeatureLevel{level}))) {
    proposedLevel_ = level;
  }
}

/// A server without contact to a leader asks all known servers for admission. For a server that
/// already is a member this has no effect.
void RegistryImpl::requestJoin() {
  if (now_ < lastLeaderContact_ + options_.joinAfterSilence || now_ < nextJoinAt_) {
    return;
  }
  nextJoinAt_ = now_ + options_.joinInterval;
  const consensus::RaftStatus status = raft_->status();
  std::vector<base::Endpoint> endpoints = options_.joinEndpoints;
  const std::vector<base::Endpoint> members = serverEndpoints();
  endpoints.insert(endpoints.end(), members.begin(), members.end());
  endpoints.insert(endpoints.end(), learnedEndpoints_.begin(), learnedEndpoints_.end());
  std::sort(endpoints.begin(), endpoints.end());
  endpoints.erase(std::unique(endpoints.begin(), endpoints.end()), endpoints.end());
  for (const base::Endpoint& endpoint : endpoints) {
    if (endpoint != options_.self.peerEndpoint) {
      actions_.emplace_back(SendToEndpoint{endpoint, wrap(JoinRequest{options_.self})});
    }
  }
}

std::vector<base::Endpoint> RegistryImpl::serverEndpoints() const {
  std::vector<base::Endpoint> endpoints;
  for (const consensus::Member& member : raft_->status().membership.members) {
    endpoints.push_back(member.peerEndpoint);
  }
  return endpoints;
}

std::optional<base::Endpoint> RegistryImpl::peerEndpointOf(base::ServerId server) const {
  for (const consensus::Member& member : raft_->status().membership.members) {
    if (member.id == server && server != base::ServerId{}) {
      return member.peerEndpoint;
    }
  }
  return std::nullopt;
}

}  // namespace walnut::registry
