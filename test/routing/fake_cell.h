#pragma once
/// @file
/// Test double of a control cell: three controllers over one list of changes.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "walnut/protocol/messages.h"

namespace walnut::routing::testing {

inline constexpr std::size_t kControllers = 3;
inline const base::CellId kCell{1, 1};

inline base::Endpoint controllerEndpoint(std::size_t number) {
  return {"127.0.0.1", static_cast<std::uint16_t>(7000 + number)};
}
inline base::ServerId serverId(std::size_t number) { return {100 + number}; }

inline consensus::Membership cellMembership() {
  consensus::Membership membership;
  for (std::size_t number = 0; number < kControllers; ++number) {
    consensus::Member member;
    member.id = serverId(number);
    member.role = consensus::MemberRole::voter;
    member.peerEndpoint = controllerEndpoint(number);
    member.zone = {"zone" + std::to_string(number)};
    membership.members.push_back(member);
  }
  return membership;
}

inline protocol::Hello controllerHello(std::size_t number) {
  protocol::Hello hello;
  hello.role = protocol::PeerRole::controller;
  hello.cell = kCell;
  hello.id = serverId(number).value;
  hello.zone = {"zone" + std::to_string(number)};
  return hello;
}

inline protocol::Change modelChange(const std::string& name, const std::string& version) {
  resource::Resource resource;
  resource.key = {resource::Kind::model, name};
  resource.spec = resource::ModelSpec{version, "", "", 0, 2};
  return protocol::ResourceChanged{resource};
}

inline protocol::Change versionChange(const std::string& name, const std::string& model) {
  resource::Resource resource;
  resource.key = {resource::Kind::modelVersion, name};
  resource.spec = resource::ModelVersionSpec{model, "weights", 1, 1};
  return protocol::ResourceChanged{resource};
}

inline resource::Engine engineRecord(std::size_t number) {
  resource::Engine engine;
  engine.id = {"engine" + std::to_string(number)};
  engine.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(9000 + number)};
  engine.zone = {"zone" + std::to_string(number % kControllers)};
  engine.incarnation = {1};
  return engine;
}

inline resource::Replica replicaRecord(std::uint64_t id, const std::string& model,
                                       std::size_t engineNumber,
                                       resource::ReplicaState state = resource::ReplicaState::ready,
                                       const std::string& version = "v1") {
  resource::Replica replica;
  replica.id = {id};
  replica.servable = {model, version, ""};
  replica.engine = engineRecord(engineNumber).id;
  replica.incarnation = {1};
  replica.state = state;
  return replica;
}

/// Fake cell with a list of committed changes; the index of each is its position, starting at 1.
class FakeCell {
 public:
  FakeCell() { commit(protocol::MembershipChanged{1, cellMembership()}); }

  void commit(protocol::Change change) { log_.push_back(std::move(change)); }
  consensus::LogIndex index() const { return log_.size(); }

  protocol::ProbeReply probe(std::size_t controller, std::uint64_t sequence) const {
    protocol::ProbeReply reply;
    reply.sequence = sequence;
    reply.server = serverId(controller);
    reply.term = 1;
    reply.lastLogIndex = index();
    reply.appliedIndex = index();
    reply.membershipIndex = 1;
    reply.leader = serverId(0);
    return reply;
  }

  /// @return a snapshot in two pages for a router without any state, else a delta.
  std::vector<protocol::Message> watch(consensus::LogIndex from) const {
    if (from > 0) {
      protocol::WatchDelta delta{from, index(), {}};
      delta.changes.assign(log_.begin() + static_cast<std::ptrdiff_t>(from), log_.end());
      return {delta};
    }
    const auto middle = log_.begin() + static_cast<std::ptrdiff_t>(log_.size() / 2);
    return {protocol::WatchSnapshotPage{index(), 0, false, {log_.begin(), middle}},
            protocol::WatchSnapshotPage{index(), 1, true, {middle, log_.end()}}};
  }

  control::ClaimOutcome claim(const control::ClaimKey& claim) {
    const auto [entry, added] = claims_.try_emplace(claim.key, claim.request);
    const bool same = entry->second == claim.request;
    return added || same ? control::ClaimOutcome::granted : control::ClaimOutcome::duplicate;
  }
  bool holds(const std::string& key, const base::RequestId& request) const {
    const auto found = claims_.find(key);
    return found != claims_.end() && found->second == request;
  }

 private:
  std::vector<protocol::Change> log_;
  std::map<std::string, base::RequestId> claims_;
};

}  // namespace walnut::routing::testing
