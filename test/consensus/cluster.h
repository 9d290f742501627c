#pragma once
/// @file
/// Simulation of a whole cell in virtual time. Network, crashes and operator are drawn by seed.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/cluster_checker.h"
#include "consensus/cluster_server.h"
#include "walnut/base/random.h"

namespace walnut::consensus::test {

/// Counts of the events in a run, which show that all kinds of faults occurred.
struct ClusterCounts {
  std::uint64_t elections = 0;
  std::uint64_t applied = 0;
  std::uint64_t crashes = 0;
  std::uint64_t freezes = 0;
  std::uint64_t cuts = 0;
  std::uint64_t membershipChanges = 0;
  std::uint64_t replacements = 0;  ///< Membership changes by joint consensus.
  std::uint64_t disksLost = 0;
  std::uint64_t snapshotsInstalled = 0;

  void add(const ClusterCounts& other);
  bool everyFaultReached() const;
  std::string describe() const;
};

/// Simulated cell with fault injection. Deterministic: the same seed gives the same run.
class Cluster {
 public:
  /// @param maxSlowSync if not zero, some servers draw syncs of up to one and a half of that.
  Cluster(std::uint64_t seed, std::uint64_t voters,
          base::Duration maxSlowSync = base::Duration::zero());

  /// Runs with faults for a while, heals, and waits until all members have applied the same log.
  /// @return the first violated safety or liveness property; empty if there is none.
  std::string run();

  const ClusterCounts& counts() const { return counts_; }

 private:
  using Action = std::function<void()>;
  using Link = std::pair<base::ServerId, base::ServerId>;  // Sender, receiver.
  /// Probabilities of faults per message, drawn once for the whole run.
  struct Network {
    double drop = 0;
    double duplicate = 0;
    double late = 0;
  };

  // Events and servers (cluster.cpp).
  void at(base::TimePoint time, Action action);
  void every(base::Duration low, base::Duration high, const std::function<void()>& action);
  void runUntil(base::TimePoint end);
  ClusterServer& addServer(const Membership& bootstrap);
  void startServer(ClusterServer& server);
  void processOutputs(ClusterServer& server);
  void finishSync(ClusterServer& server, std::uint64_t batch);
  void scheduleSyncEnd(ClusterServer& server);
  void scheduleWakeup(ClusterServer& server);
  void send(const Message& message);
  void deliver(const Message& message);
  void checkLease(ClusterServer& server);
  base::Duration drawDelay();
  base::Duration longestSync() const;
  base::Duration drawSyncTime(const ClusterServer& server);
  std::vector<ClusterServer*> select(const std::function<bool(ClusterServer&)>& accepted);
  ClusterServer* pick(const std::function<bool(ClusterServer&)>& accepted);
  ClusterServer* pickLeader();

  // Faults and the operator (cluster_faults.cpp).
  void scheduleFaults();
  void injectFault();
  void crashServer();
  void crashMany();
  void crash(ClusterServer& server);
  void freezeServer();
  void thaw(ClusterServer& server);
  void cutLinks();
  void loseDisk();
  bool mayLoseDisk();
  void propose();
  void operate();
  bool lostMember(base::ServerId id);
  Membership drawMembership(const Membership& current);
  bool changeMembership(ClusterServer& leader);
  void addLearner(Membership& membership);
  void drawReplacement(Membership& membership);
  void heal();
  bool converged();

  base::Random random_;
  std::uint64_t voters_;
  RaftOptions options_;
  Network network_;
  base::TimePoint now_;
  bool faulty_ = true;
  std::map<std::pair<base::TimePoint, std::uint64_t>, Action> events_;
  std::uint64_t eventCount_ = 0;
  std::uint64_t proposals_ = 0;
  ClusterChecker checker_;
  Membership bootstrap_;
  std::map<base::ServerId, std::unique_ptr<ClusterServer>> servers_;
  std::set<Link> cuts_;
  std::map<base::ServerId, base::Duration> slowSyncs_;  ///< Mean time of a sync.
  ClusterCounts counts_;
};

}  // namespace walnut::consensus::test
