#include "consensus/cluster.h"

#include <algorithm>

#include "consensus/membership.h"
#include "consensus/test_server.h"

namespace walnut::consensus::test {

using namespace std::chrono_literals;

namespace {

constexpr base::Duration kFaultTime = 15s;
/// Many election timeouts, enough for a healed cell to elect a leader, replicate and commit.
constexpr base::Duration kHealTime = 30s;
constexpr base::Duration kHealStep = 500ms;
constexpr base::Duration kLeastSlowSync = 100ms;
/// Of a proposal: the batch that is under way, and its own at the leader and at the followers.
constexpr int kSyncsOfCommit = 3;
/// Maximum delay of a late message, longer than an election.
constexpr base::Duration kLateDelay = 3s;

}  // namespace

void ClusterCounts::add(const ClusterCounts& other) {
  elections += other.elections;
  applied += other.applied;
  crashes += other.crashes;
  freezes += other.freezes;
  cuts += other.cuts;
  membershipChanges += other.membershipChanges;
  replacements += other.replacements;
  disksLost += other.disksLost;
  snapshotsInstalled += other.snapshotsInstalled;
}

bool ClusterCounts::everyFaultReached() const {
  return elections > 0 && applied > 0 && crashes > 0 && freezes > 0 && cuts > 0 &&
         membershipChanges > 0 && replacements > 0 && disksLost > 0 && snapshotsInstalled > 0;
}

std::string ClusterCounts::describe() const {
  return "terms " + std::to_string(elections) + ", entries " + std::to_string(applied) +
         ", crashes " + std::to_string(crashes) + ", freezes " + std::to_string(freezes) +
         ", cuts " + std::to_string(cuts) + ", membership changes " +
         std::to_string(membershipChanges) + ", of these replacements " +
         std::to_string(replacements) + ", disks lost " + std::to_string(disksLost) +
         ", snapshots installed " + std::to_string(snapshotsInstalled);
}

Cluster::Cluster(std::uint64_t seed, std::uint64_t voters, base::Duration maxSlowSync)
    : random_(seed), voters_(voters), now_(kStart) {
  if (maxSlowSync > base::Duration::zero()) {
    const base::Duration mean = random_.between(kLeastSlowSync, maxSlowSync);
    const std::uint64_t slow = random_.uniform(1, voters);
    for (std::uint64_t id = 1; id <= slow; ++id) {
      slowSyncs_[base::ServerId{id}] = mean;
    }
  }
  options_.announcesVotes = seed % 2 == 0;
  options_.maxBatchesInFlight = 1 + seed % 3;
  options_.maxEntriesPerAppend = random_.uniform(1, 8);
  options_.maxBytesPerAppend = 200;
  options_.snapshotChunkBytes = 100;
  network_ = {random_.unit() * 0.1, random_.unit() * 0.1, random_.unit() * 0.05};
  bootstrap_ = makeMembership(voters);
  for (std::uint64_t id = 1; id <= voters; ++id) {
    startServer(addServer(bootstrap_));
  }
}

std::string Cluster::run() {
  scheduleFaults();
  runUntil(now_ + kFaultTime);
  heal();
  const base::TimePoint end = now_ + kHealTime;
  while (checker_.violation().empty() && now_ < end) {
    runUntil(now_ + kHealStep + kSyncsOfCommit * longestSync());
    if (converged()) {
      return checker_.violation();
    }
    propose();
  }
  checker_.require(false, base::ServerId{}, "the healed cell does not converge");
  return checker_.violation();
}

base::Duration Cluster::longestSync() const {
  base::Duration longest{0};
  for (const auto& [id, mean] : slowSyncs_) {
    longest = std::max(longest, mean * 3 / 2);
  }
  return longest;
}

void Cluster::at(base::TimePoint time, Action action) {
  events_.emplace(std::make_pair(time, eventCount_++), std::move(action));
}

void Cluster::every(base::Duration low, base::Duration high, const std::function<void()>& action) {
  at(now_ + random_.between(low, high), [=, this] {
    if (faulty_) {
      action();
      every(low, high, action);
    }
  });
}

void Cluster::runUntil(base::TimePoint end) {
  while (checker_.violation().empty() && !events_.empty() && events_.begin()->first.first <= end) {
    auto event = events_.extract(events_.begin());
    now_ = event.key().first;
    event.mapped()();
  }
  now_ = end;
}

ClusterServer& Cluster::addServer(const Membership& bootstrap) {
  const base::ServerId id{servers_.size() + 1};
  auto server = std::make_unique<ClusterServer>(id, checker_);
  ClusterServer& added = *server;
  servers_.emplace(id, std::move(server));
  if (bootstrap.members.empty()) {
    startServer(added);
  }
  return added;
}

void Cluster::startServer(ClusterServer& server) {
  const bool founder = findMember(bootstrap_, server.id()) != nullptr;
  server.start(options_, founder ? bootstrap_ : Membership{}, random_.uniform(0, 1U << 30U), now_);
  processOutputs(server);
}

void Cluster::processOutputs(ClusterServer& server) {
  if (server.isActive()) {
    const std::size_t syncingBefore = server.syncingCount();
    const std::uint64_t installed = server.snapshotsInstalled();
    for (const Message& message : server.takeOutputs()) {
      send(message);
    }
    counts_.snapshotsInstalled += server.snapshotsInstalled() - installed;
    if (server.syncingCount() > syncingBefore) {
      scheduleSyncEnd(server);
    }
  }
  scheduleWakeup(server);
  checkLease(server);
}

void Cluster::scheduleSyncEnd(ClusterServer& server) {
  const std::uint64_t incarnation = server.incarnation();
  at(now_ + drawSyncTime(server), [&server, incarnation, batch = server.latestBatch(), this] {
    if (server.incarnation() == incarnation && server.running()) {
      finishSync(server, batch);
    }
  });
}

void Cluster::finishSync(ClusterServer& server, std::uint64_t batch) {
  if (server.frozen) {
    server.syncedWhileFrozen.push_back(batch);
    return;
  }
  server.finishSync(now_, batch);
  processOutputs(server);
}

void Cluster::scheduleWakeup(ClusterServer& server) {
  if (!server.isActive()) {
    return;
  }
  const base::TimePoint wanted = std::max(server.raft().nextWakeup(), now_ + 1ms);
  if (wanted >= server.wakeup || wanted == base::kNever) {
    return;
  }
  server.wakeup = wanted;
  const std::uint64_t incarnation = server.incarnation();
  at(wanted, [&server, incarnation, wanted, this] {
    if (server.incarnation() != incarnation || server.wakeup != wanted) {
      return;
    }
    server.wakeup = base::kNever;
    if (server.isActive()) {
      server.raft().tick(now_);
      processOutputs(server);
    }
  });
}

void Cluster::send(const Message& message) {
  const int copies = random_.chance(network_.duplicate) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (!random_.chance(network_.drop)) {
      at(now_ + drawDelay(), [message, this] { deliver(message); });
    }
  }
}

void Cluster::deliver(const Message& message) {
  const auto found = servers_.find(message.to);
  if (found == servers_.end() || !found->second->running() ||
      cuts_.contains({message.from, message.to})) {
    return;
  }
  ClusterServer& server = *found->second;
  if (server.frozen) {
    server.heldMessages.push_back(message);
    return;
  }
  server.raft().receive(now_, message);
  processOutputs(server);
}

void Cluster::checkLease(ClusterServer& server) {
  if (!server.isActive() || server.raft().status().role != Role::leader) {
    return;
  }
  const Term term = server.raft().status().term;
  for (const auto& [id, other] : servers_) {
    if (!other->running() || other.get() == &server) {
      continue;
    }
    const RaftStatus status = other->raft().status();
    if (other->raft().leaseValid(now_)) {
      checker_.onLease(id, status.term, server.id(), term);
    }
    if (status.role == Role::leader && server.raft().leaseValid(now_)) {
      checker_.onLease(server.id(), term, id, status.term);
    }
  }
}

base::Duration Cluster::drawDelay() {
  if (random_.chance(network_.late)) {
    return random_.between(0ms, kLateDelay);
  }
  return random_.between(500us, 8ms);
}

base::Duration Cluster::drawSyncTime(const ClusterServer& server) {
  const auto slow = slowSyncs_.find(server.id());
  if (slow != slowSyncs_.end()) {
    return random_.between(slow->second / 2, slow->second * 3 / 2);
  }
  if (faulty_ && random_.chance(0.01)) {
    return random_.between(0ms, 400ms);
  }
  return random_.between(100us, 3ms);
}

std::vector<ClusterServer*> Cluster::select(const std::function<bool(ClusterServer&)>& accepted) {
  std::vector<ClusterServer*> selected;
  for (const auto& [id, server] : servers_) {
    if (accepted(*server)) {
      selected.push_back(server.get());
    }
  }
  return selected;
}

ClusterServer* Cluster::pick(const std::function<bool(ClusterServer&)>& accepted) {
  const std::vector<ClusterServer*> selected = select(accepted);
  return selected.empty() ? nullptr : selected[random_.uniform(0, selected.size() - 1)];
}

ClusterServer* Cluster::pickLeader() {
  return pick([](ClusterServer& server) {
    return server.isActive() && server.raft().status().role == Role::leader;
  });
}

}  // namespace walnut::consensus::test
