#pragma once
/// @file
/// Draws faults by seed and injects them: singly, together, twice. Each has an end; `stop` ends
/// all.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "simulator/environment.h"
#include "simulator/fleet.h"
#include "simulator/operator_workload.h"

namespace walnut::simulator {

enum class FaultKind : std::uint8_t {
  killController,
  freezeController,
  freezeControllerLong,
  loseDisk,
  killAllControllers,
  stopController,  ///< Planned.
  slowDisk,
  killRouter,
  freezeRouter,
  stopRouter,         ///< Planned.
  restartRouterLate,  ///< After hundreds of changes have happened without it.
  killEngine,
  killLoadingEngine,
  freezeEngine,
  reclaimMachine,  ///< With a grace.
  /// With a grace that is shorter than most answers. Not drawn, but asked for by name: it takes all
  /// machines of a small cell at once, over and over.
  reclaimMachineBriefly,
  engineLeaves,  ///< By its own word; its process is replaced when it is empty.
  drainEngine,   ///< By an operator.
  cutPair,
  cutPairOneWay,
  cutHost,
  cutHostOneWay,
  cutZone,
  congestion,
  reorderPeers,
  resetPeer,
  resetExchange,
  slowStore,
  failingStore,
  stallPlatformList,
  unreliableCalls,
  loseOperatorAnswers,
};

const char* faultName(FaultKind kind);
/// @return the kind of that name.
std::optional<FaultKind> findFault(const std::string& name);
/// @return all kinds that are drawn, in order.
const std::vector<FaultKind>& allFaultKinds();

class FaultInjector {
 public:
  FaultInjector(Environment& environment, Fleet& fleet, OperatorWorkload& operators);

  /// Draws which kinds this run has and how often, and injects until `end`.
  void run(base::TimePoint end);
  /// Only these kinds, with this mean gap.
  void run(base::TimePoint end, std::vector<FaultKind> kinds, base::Duration meanGap);
  /// Injects one fault now. @return false if it does not apply at present.
  bool inject(FaultKind kind);
  /// Heals the network, thaws and restarts everything, ends all windows.
  void stop();
  /// @return true while a lost server has not been replaced.
  bool replacing() const { return replacingServer_; }

 private:
  enum class Severity : std::uint8_t { planned, unplanned, unplannedControl };

  void scheduleNext();
  /// Tells the oracle that a fault lasts until `end` is called; which happens after `duration`, or
  /// by `stop`.
  void during(base::Duration duration, Severity severity, std::function<void()> end);
  void tellUnplanned(std::uint64_t fault);
  base::Duration draw(base::Duration low, base::Duration high) {
    return environment_.random().between(low, high);
  }
  /// @return one that is running, drawn evenly; null if there is none.
  template <class Node>
  Node* anyRunning(const std::vector<std::unique_ptr<Node>>& nodes) {
    std::vector<Node*> running;
    for (const auto& node : nodes) {
      if (node->running()) {
        running.push_back(node.get());
      }
    }
    return running.empty() ? nullptr
                           : running[environment_.random().uniform(0, running.size() - 1)];
  }
  std::size_t runningControllers() const;

  bool injectController(FaultKind kind);
  bool injectRouter(FaultKind kind);
  bool injectEngine(FaultKind kind);
  bool injectNetwork(FaultKind kind);
  bool injectEdge(FaultKind kind);

  bool killController();
  bool loseDisk(ControllerNode* chosen);
  void diskReplaced(const ControllerNode* replaced);
  bool killAllControllers();
  bool stopController();
  bool stopRouter();
  bool restartRouterLate();
  bool killEngine(EngineNode* engine);
  bool reclaimMachine(base::Duration grace);
  bool engineLeaves();
  void replaceLeavingEngine(EngineNode* engine, std::uint64_t life, int checksLeft);
  bool drainEngine();
  void cutBetween(const std::vector<HostIndex>& left, const std::vector<HostIndex>& right,
                  bool oneWay, base::Duration duration);
  /// Machines of the system itself: callers and operators are never cut off.
  std::vector<HostIndex> systemHosts() const;
  void freeze(Process* process, base::Duration duration, Severity severity, bool isRouter);
  void restartLater(Process* process, base::Duration duration, Severity severity);

  Environment& environment_;
  Fleet& fleet_;
  OperatorWorkload& operators_;
  std::vector<FaultKind> kinds_;
  base::Duration meanGap_{0};
  base::TimePoint end_;
  bool stopped_ = false;
  bool replacingServer_ = false;
  std::uint64_t nextFault_ = 1;
  /// Faults under way and what ends each.
  std::map<std::uint64_t, std::function<void()>> active_;
  std::set<std::uint64_t> unplanned_;
  std::set<const EngineNode*> reclaimed_;  ///< Leaving by the list or by their own word.
};

}  // namespace walnut::simulator
