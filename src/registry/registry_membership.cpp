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

/// Several heartbeats of a leader.
constexpr base::Duration kLoggedSilence = std::chrono::milliseconds(500);

std::string_view roleSuffix(consensus::MemberRole role) {
  switch (role) {
    case consensus::MemberRole::learner:
      return "(learner)";
    case consensus::MemberRole::voter:
      return "";
    case consensus::MemberRole::incoming:
      return "(incoming)";
    case consensus::MemberRole::outgoing:
      return "(outgoing)";
  }
  return "(unknown)";
}

}  // namespace

void RegistryImpl::noteMembership() {
  const consensus::RaftStatus status = raft_->status();
  if (status.membershipIndex == lastMembershipIndex_) {
    return;
  }
  lastMembershipIndex_ = status.membershipIndex;
  std::string members;
  isReplacing_ = false;
  for (const consensus::Member& member : status.membership.members) {
    isReplacing_ = isReplacing_ || member.role > consensus::MemberRole::voter;
    members += members.empty() ? "" : ",";
    members += member.peerEndpoint.address;
    members += roleSuffix(member.role);
  }
  log_.write(LogEvent::membershipChanged,
             {{"index", status.membershipIndex}, {"members", members}});
  noteOwnRole(status);
}

void RegistryImpl::noteOwnRole(const consensus::RaftStatus& status) {
  for (const consensus::Member& member : status.membership.members) {
    if (member.id != status.self) {
      continue;
    }
    if (member.role == consensus::MemberRole::learner) {
      noteJoinStep(JoinStep::admitted);
    } else if (member.role == consensus::MemberRole::incoming) {
      noteJoinStep(JoinStep::incoming);
    } else if (member.role == consensus::MemberRole::voter) {
      noteJoinStep(JoinStep::voter);
    }
  }
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

void RegistryImpl::noteJoinStep(JoinStep step) { joinProgress_.reached(step); }

/// Contact counts from before the election, so that a change of leaders doesn't give a failed voter
/// more time: the former leader is silent since it was last heard, and every other voter since this
/// server asked for its vote.
MembershipPolicy RegistryImpl::makeMembershipPolicy(const consensus::RaftStatus& status) const {
  MembershipPolicy policy({options_.tolerableLosses}, now_, candidateSince_);
  for (const consensus::Member& member : status.membership.members) {
    const auto heard = lastHeard_.find(member.id);
    if (heard != lastHeard_.end() && member.role != consensus::MemberRole::learner) {
      const bool led = member.id == formerLeader_;
      policy.recordContact(member.id,
                           led ? heard->second : std::max(heard->second, candidateSince_));
    }
  }
  return policy;
}

void RegistryImpl::updateMembership() {
  const consensus::RaftStatus status = raft_->status();
  const ReplacementMethod method = state_.featureLevel() >= feature::kJointMembership
                                       ? ReplacementMethod::joint
                                       : ReplacementMethod::oneByOne;
  const auto next = membershipPolicy_->nextChange(status.membership, status.self, method, now_);
  if (!next || (waitingChange_ && waitingChange_->commitIndex == status.commitIndex &&
                waitingChange_->next == *next)) {
    return;
  }
  const auto index = raft_->changeMembership(now_, *next);
  waitingChange_.reset();
  if (index.has_error() && index.error().code == base::ErrorCode::membershipChangePending) {
    waitingChange_ = WaitingChange{*next, status.commitIndex};
  }
  if (index) {
    log_.write(LogEvent::memberProposed, {{"index", index.value()},
                                          {"members", next->members.size()},
                                          {"before", status.membership.members.size()},
                                          {"silent", describeSilentVoters()}});
  }
}

std::string RegistryImpl::describeSilentVoters() const {
  const consensus::RaftStatus status = raft_->status();
  std::string text;
  for (const consensus::Member& member : status.membership.members) {
    const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(
        membershipPolicy_->timeSinceContact(member.id, now_));
    if (member.role != consensus::MemberRole::learner && member.id != status.self &&
        silence > kLoggedSilence) {
      text += text.empty() ? "" : ",";
      text += member.peerEndpoint.address + ":" + std::to_string(silence.count());
    }
  }
  return text;
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
  if (!isMember(status)) {
    noteJoinStep(JoinStep::requested);
  }
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

bool RegistryImpl::isMember(const consensus::RaftStatus& status) {
  return std::any_of(status.membership.members.begin(), status.membership.members.end(),
                     [&](const consensus::Member& member) { return member.id == status.self; });
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
