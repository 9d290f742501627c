/// @file
/// Fault injection, load and operator actions of a simulated cell.

#include <algorithm>
#include <utility>

#include "consensus/cluster.h"
#include "consensus/membership.h"
#include "consensus/test_server.h"

namespace walnut::consensus::test {

using namespace std::chrono_literals;

namespace {

/// Maximum number of servers created in a run.
constexpr std::size_t kMaxServers = 14;

}  // namespace

void Cluster::scheduleFaults() {
  // Half of the runs have little load: with recent entries, the log comparison in elections would
  // hide a faulty lease.
  const base::Duration proposalInterval = random_.chance(0.5) ? 60ms : 3s;
  every(5ms, proposalInterval, [this] { propose(); });
  const base::Duration faultInterval = random_.between(200ms, 2s);
  every(10ms, faultInterval, [this] { injectFault(); });
  every(50ms, 500ms, [this] { operate(); });
  every(20ms, 200ms, [this] {
    if (ClusterServer* leader = pickLeader()) {
      leader->beginRead(now_);
      processOutputs(*leader);
    }
  });
  every(100ms, 800ms, [this] {
    if (ClusterServer* server = pick([](ClusterServer& each) { return each.isActive(); })) {
      server->compact(random_.uniform(0, 20));
      processOutputs(*server);
    }
  });
}

void Cluster::injectFault() {
  switch (random_.uniform(0, 10)) {
    case 0:
    case 1:
    case 2:
      return crashServer();
    case 3:
    case 4:
      return freezeServer();
    case 5:
    case 6:
    case 7:
      return cutLinks();
    case 8:
      return loseDisk();
    case 9:
      return crashMany();
    default:
      if (ClusterServer* leader = pickLeader()) {
        leader->raft().transferLeadership(now_);
        processOutputs(*leader);
      }
  }
}

void Cluster::crashServer() {
  if (ClusterServer* server = pick([](ClusterServer& each) { return each.running(); })) {
    crash(*server);
  }
}

/// Crashes most servers at once, as in a power failure.
void Cluster::crashMany() {
  for (ClusterServer* server : select([](ClusterServer& each) { return each.running(); })) {
    if (random_.chance(0.7)) {
      crash(*server);
    }
  }
}

void Cluster::crash(ClusterServer& server) {
  ++counts_.crashes;
  server.crash(random_);
  const std::uint64_t incarnation = server.incarnation();
  at(now_ + random_.between(5ms, 3s), [&server, incarnation, this] {
    if (server.incarnation() == incarnation && !server.running() && !server.lost) {
      startServer(server);
    }
  });
}

void Cluster::freezeServer() {
  ClusterServer* server = pick([](ClusterServer& each) { return each.isActive(); });
  if (server == nullptr) {
    return;
  }
  ++counts_.freezes;
  server->frozen = true;
  const std::uint64_t incarnation = server->incarnation();
  at(now_ + random_.between(5ms, 4s), [server, incarnation, this] {
    if (server->incarnation() == incarnation) {
      thaw(*server);
    }
  });
}

/// Resumes a frozen server. Messages that arrived meanwhile are handled before any tick, since the
/// process doesn't know yet how much time has passed.
void Cluster::thaw(ClusterServer& server) {
  if (!server.running() || !server.frozen) {
    return;
  }
  server.frozen = false;
  for (const std::uint64_t batch : std::exchange(server.syncedWhileFrozen, {})) {
    finishSync(server, batch);
  }
  for (const Message& message : std::exchange(server.heldMessages, {})) {
    server.raft().receive(now_, message);
  }
  processOutputs(server);
}

void Cluster::cutLinks() {
  ClusterServer* server = pick([](ClusterServer&) { return true; });
  ++counts_.cuts;
  const bool in = random_.chance(0.7);
  const bool out = !in || random_.chance(0.5);
  const bool single = random_.chance(0.5);
  std::set<Link> cut;
  for (const auto& [id, other] : servers_) {
    if (single && !random_.chance(0.4)) {
      continue;
    }
    if (in) {
      cut.insert({id, server->id()});
    }
    if (out) {
      cut.insert({server->id(), id});
    }
  }
  cuts_.insert(cut.begin(), cut.end());
  at(now_ + random_.between(50ms, 4s), [cut, this] {
    for (const Link& link : cut) {
      cuts_.erase(link);
    }
  });
}

/// @return true if no other disk loss is being repaired, so that a majority keeps its data even if
/// a voter loses its disk.
bool Cluster::mayLoseDisk() {
  ClusterServer* leader = pickLeader();
  if (leader == nullptr || servers_.size() >= kMaxServers) {
    return false;
  }
  const RaftStatus status = leader->raft().status();
  if (votersOf(status.membership).size() < 3) {
    return false;
  }
  return std::all_of(
      status.membership.members.begin(), status.membership.members.end(), [&](const Member& each) {
        ClusterServer& server = *servers_.at(each.id);
        if (server.lost || !server.running()) {
          return false;
        }
        const RaftStatus own = server.raft().status();
        return own.membership == status.membership && own.commitIndex >= own.membershipIndex &&
               own.commitIndex >= status.membershipIndex;
      });
}

void Cluster::loseDisk() {
  if (!mayLoseDisk()) {
    return;
  }
  const Membership membership = pickLeader()->raft().status().membership;
  ClusterServer* server = pick([&](ClusterServer& each) { return isVoter(membership, each.id()); });
  ++counts_.disksLost;
  server->crash(random_);
  server->lost = true;
}

void Cluster::propose() {
  if (ClusterServer* leader = pickLeader()) {
    const std::string payload = "command " + std::to_string(++proposals_);
    static_cast<void>(leader->raft().propose(now_, payload));
    processOutputs(*leader);
  }
}

bool Cluster::lostMember(base::ServerId id) { return servers_.at(id)->lost; }

void Cluster::operate() {
  ClusterServer* leader = pickLeader();
  if (leader == nullptr) {
    return;
  }
  while (changeMembership(*leader) && random_.chance(0.5)) {
    // The next change is asked for before this one can be committed.
  }
  processOutputs(*leader);
}

/// @return true if a change was drawn and permitted.
bool Cluster::changeMembership(ClusterServer& leader) {
  const Membership current = leader.raft().status().membership;
  const Membership next = drawMembership(current);
  if (next == current || leader.raft().changeMembership(now_, next).has_error()) {
    return false;
  }
  ++counts_.membershipChanges;
  counts_.replacements += isJoint(next) ? 1 : 0;
  return true;
}

void Cluster::addLearner(Membership& membership) {
  if (servers_.size() < kMaxServers && membership.members.size() <= voters_ + 1) {
    const base::ServerId id = addServer({}).id();
    membership.members.push_back(makeMember(id.value, MemberRole::learner));
  }
}

/// Replaces voters by learners, those with a lost disk first; as many as there are, or fewer.
void Cluster::drawReplacement(Membership& membership) {
  std::stable_sort(membership.members.begin(), membership.members.end(),
                   [&](const Member& left, const Member& right) {
                     return lostMember(left.id) && !lostMember(right.id);
                   });
  auto voter = membership.members.begin();
  for (Member& learner : membership.members) {
    if (learner.role != MemberRole::learner || lostMember(learner.id)) {
      continue;
    }
    voter = std::find_if(voter, membership.members.end(),
                         [](const Member& each) { return each.role == MemberRole::voter; });
    if (voter == membership.members.end() || random_.chance(0.2)) {
      return;
    }
    voter->role = MemberRole::outgoing;
    learner.role = MemberRole::incoming;
  }
}

/// Draws the operator's next membership: replaces a member with a lost disk, otherwise promotes a
/// learner, and occasionally adds or removes a member.
Membership Cluster::drawMembership(const Membership& current) {
  Membership next = current;
  const auto lost = std::find_if(next.members.begin(), next.members.end(),
                                 [&](const Member& each) { return lostMember(each.id); });
  const auto learner = std::find_if(
      next.members.begin(), next.members.end(),
      [&](const Member& each) { return each.role == MemberRole::learner && !lostMember(each.id); });
  const bool repairs = lost != next.members.end();
  const bool joint = random_.chance(0.5);
  if (joint && learner != next.members.end()) {
    drawReplacement(next);
  } else if (repairs && random_.chance(0.5)) {
    next.members.erase(lost);
  } else if (learner != next.members.end()) {
    learner->role = MemberRole::voter;
  } else if (repairs) {
    addLearner(next);
  } else if (votersOf(current).size() < voters_ || random_.chance(0.2)) {
    addLearner(next);
  } else if (votersOf(current).size() > voters_) {
    next.members.erase(next.members.begin() +
                       static_cast<std::ptrdiff_t>(random_.uniform(0, next.members.size() - 1)));
  }
  return next;
}

void Cluster::heal() {
  faulty_ = false;
  network_ = {};
  cuts_.clear();
  for (const auto& [id, server] : servers_) {
    if (!server->running() && !server->lost) {
      startServer(*server);
    }
    thaw(*server);
  }
}

bool Cluster::converged() {
  const std::vector<ClusterServer*> leaders = select([](ClusterServer& server) {
    return server.running() && server.raft().status().role == Role::leader;
  });
  if (leaders.size() != 1) {
    return false;
  }
  const RaftStatus status = leaders.front()->raft().status();
  counts_.applied = checker_.committed();
  counts_.elections = status.term;
  const bool own = status.commitIndex == status.lastIndex && proposals_ > 0;
  return own && std::all_of(status.membership.members.begin(), status.membership.members.end(),
                            [&](const Member& each) {
                              ClusterServer& server = *servers_.at(each.id);
                              return server.lost || server.applied() == status.commitIndex;
                            });
}

}  // namespace walnut::consensus::test
