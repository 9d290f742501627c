#pragma once
/// @file
/// What the nodes of one run share.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "simulator/consensus_checker.h"
#include "simulator/http_exchange.h"
#include "simulator/network.h"
#include "simulator/oracle.h"
#include "simulator/peer_transport.h"
#include "simulator/sabotage.h"
#include "simulator/scheduler.h"
#include "simulator/trace.h"

namespace walnut::simulator {

class EngineNode;

/// Counts of what happened, to see that a run did something.
struct ActivityCounters {
  std::map<std::string, std::uint64_t> faults;    ///< By kind.
  std::map<std::string, std::uint64_t> outcomes;  ///< Of requests: "answered" or an error's name.
  std::map<std::string, std::uint64_t> writes;    ///< Of operators, by outcome.
  std::uint64_t loads = 0;
  std::uint64_t unloads = 0;
  std::uint64_t leaderChanges = 0;
  std::uint64_t movedStreams = 0;   ///< Runs that went on from another engine's exported state.
  std::uint64_t parkedStreams = 0;  ///< Exported states that an engine held for others.
  std::uint64_t keptStates = 0;     ///< Exported states that a router kept itself.
  std::uint64_t resumedStreams = 0;
  std::uint64_t snapshotsInstalled = 0;  ///< From another server.
  std::uint64_t probes = 0;

  void add(const ActivityCounters& other);
};

/// Faults of the edges that are drawn for the present moment.
struct EdgeFaults {
  ExchangeFaults engineCalls;  ///< Orders and reports.
  ExchangeFaults generates;
  ExchangeFaults operatorCalls;
  ExchangeFaults storeReads;
  ExchangeFaults platformReads;
  double raftDuplicate = 0;  ///< Probability that a message between servers is sent twice.
  double raftReorder = 0;    ///< Probability that it takes a second connection.
  double diskSlow = 0;       ///< Probability that a sync takes up to diskSlowMax.
  base::Duration diskSlowMax = std::chrono::milliseconds(800);
};

/// Owned by the run; outlives all nodes.
struct Environment {
  Environment(std::uint64_t seed, bool keepTrace, Sabotage planted)
      : scheduler(seed),
        network(scheduler, NetworkOptions{}),
        trace(keepTrace),
        consensus(extras),
        sabotage(planted) {}

  /// Records what was seen: for the oracle, and as text in the trace.
  void observe(const HistoryEvent& event);
  /// Records a step that only the trace shows.
  void note(std::string_view subject, std::string_view text) {
    trace.event(scheduler.now(), subject, text);
  }
  EngineNode* findEngine(const base::Endpoint& endpoint) const {
    const auto found = engines.find(endpoint);
    return found == engines.end() ? nullptr : found->second;
  }
  base::Random& random() { return scheduler.random(); }

  Scheduler scheduler;
  Network network;
  PeerDirectory peers;
  ExchangeRegistry exchanges;
  Trace trace;
  Oracle oracle;
  ViolationLog extras;  ///< Of consensus and liveness.
  ConsensusChecker consensus;
  Sabotage sabotage;
  ActivityCounters counters;
  EdgeFaults faults;
  std::map<base::Endpoint, EngineNode*> engines;
  std::set<resource::Key> writtenKeys;       ///< Every key that an operator wrote to.
  std::vector<std::string> passingAdapters;  ///< Created by operators, and deleted soon after.
  EngineNode* drainedEngine = nullptr;       ///< For edgeKeepsLeavingEngine; set by the operators.
};

}  // namespace walnut::simulator
