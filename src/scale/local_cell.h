#pragma once
/// @file
/// A whole cell in virtual time: the real logic of all its controllers and routers, with engines,
/// callers and an operator around it. Counts every message and its bytes.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "scale/local_engines.h"
#include "scale/target_draw.h"
#include "scale/traffic.h"
#include "walnut/base/random.h"
#include "walnut/factories.h"

namespace walnut::scale {

struct LocalCellOptions {
  CellSize size;  ///< `controllers` of them are voters.
  std::size_t routers = 400;
  double requestsPerSecond = 50;  ///< Of each router.
  base::Duration firstToken = std::chrono::milliseconds(560);
  base::Duration answer = std::chrono::seconds(10);     ///< From arrival to the end.
  double changesPerSecond = 18'000.0 / 86'400;          ///< Of adapters, by an operator.
  double loadsPerSecond = 4'600.0 / 3'600;              ///< And as many unloads.
  base::Duration delay = std::chrono::milliseconds(1);  ///< Of a message, one way.
  base::Duration settle = std::chrono::seconds(10);     ///< Election, catch-up, first reports.
  /// From the first requests until all is counted: streams fill up, and the targets that are asked
  /// for most get the replicas that they need.
  base::Duration warmUp = std::chrono::seconds(30);
  base::Duration length = std::chrono::seconds(30);  ///< A complete demand report comes each 30 s.
  std::uint64_t seed = 1;
};

enum class Peer : std::uint8_t { leader, follower, router, engine };

/// One way between two roles.
struct Way {
  Peer from = Peer::leader;
  Peer to = Peer::leader;
  std::string kind;
  auto operator<=>(const Way&) const = default;
};

/// Counted over `LocalCellOptions::length`.
struct CellTraffic {
  std::map<Way, Traffic> ways;
  std::vector<std::uint64_t> routerBytes;  ///< Control traffic of each router, both ways.
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::uint64_t loads = 0;       ///< Orders.
  std::uint64_t unloads = 0;     ///< Orders.
  std::uint64_t changes = 0;     ///< Of the operator.
  std::uint64_t indexes = 0;     ///< By which the log grew.
  std::size_t routersReady = 0;  ///< At the end.
  double leaderSeconds = 0;      ///< Processor time of the leader's logic.
  double longestLeaderStep = 0;  ///< In seconds.
};

/// Every message takes `delay`; nothing is lost, and a sync takes no time.
class LocalCell {
 public:
  explicit LocalCell(const LocalCellOptions& options);
  ~LocalCell();

  /// @return an error if there is no leader, the state can't be built or a change is refused.
  base::Result<CellTraffic> run();

 private:
  struct ControllerNode;
  struct RouterNode;
  struct Connection;
  using Event = std::function<void()>;
  struct Scheduled {
    base::TimePoint at;
    std::uint64_t order = 0;
    Event event;
  };
  struct Later {
    bool operator()(const Scheduled& one, const Scheduled& other) const;
  };

  base::Result<void> startControllers();
  void startRouters();
  void runUntil(base::TimePoint end);
  void after(base::Duration delay, Event event);

  void stepController(ControllerNode& node);
  /// @return processor time of the logic, in seconds.
  double takeOutputs(ControllerNode& node);
  void schedule(ControllerNode& node);
  void carryOut(ControllerNode& node, control::SendToServer& action);
  void carryOut(ControllerNode& node, control::SendToConnection& action);
  void carryOut(ControllerNode& node, control::EngineCall& action);
  void carryOut(ControllerNode& node, control::ReadPlatformList& action);
  void carryOut(ControllerNode& node, control::ApiAnswer& action);
  template <class Other>
  void carryOut(ControllerNode&, Other&) {}

  void stepRouter(std::size_t number, const routing::RouterInput& input);
  void schedule(RouterNode& node);
  void carryOut(RouterNode& node, routing::OpenController& action);
  void carryOut(RouterNode& node, routing::SendToController& action);
  void carryOut(RouterNode& node, routing::StartAttempt& action);
  void carryOut(RouterNode& node, routing::CallerRefused& action);
  template <class Other>
  void carryOut(RouterNode&, Other&) {}

  Peer roleOf(const ControllerNode& node) const;
  std::optional<std::size_t> leader() const;
  void count(Peer from, Peer to, const std::string& kind, std::uint64_t bytes);
  void count(Peer from, Peer to, const protocol::Message& message, RouterNode* router = nullptr);

  void deliver(std::size_t controller, control::ControllerInput input);
  std::uint64_t connectionTo(std::size_t from, std::size_t to);
  void put(const resource::Resource& resource);
  /// Bounds the replicas of each model to those that it has, so that what is loaded later is known.
  void boundModels();
  void allowLoads(double perSecond);
  /// The adapters of some models are asked for one after the other, round and round: each is
  /// loaded, used once and unloaded as idle before its next turn.
  void prepareTurnover();
  void scheduleTurnover();
  bool modelTurnsOver(std::size_t model) const;
  bool turnsOver(std::size_t target) const;
  void scheduleArrival(std::size_t router);
  void scheduleChange();
  void ask(std::size_t router, const std::string& target);

  LocalCellOptions options_;
  base::TimePoint now_;
  base::Random random_;
  TargetDraw targets_;
  LocalEngines engines_;
  std::priority_queue<Scheduled, std::vector<Scheduled>, Later> events_;
  std::uint64_t scheduled_ = 0;
  std::vector<std::unique_ptr<ControllerNode>> controllers_;
  std::vector<std::unique_ptr<RouterNode>> routers_;
  std::unordered_map<std::uint64_t, Connection> connections_;
  std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> betweenControllers_;
  std::uint64_t nextConnection_ = 1;
  std::uint64_t nextCall_ = 1;
  std::uint64_t nextRequest_ = 1;
  std::vector<std::size_t> turnover_;  ///< Adapters.
  std::size_t turnedOver_ = 0;
  bool counting_ = false;
  std::optional<base::Error> refusal_;  ///< Of a change by the operator.
  CellTraffic traffic_;
};

}  // namespace walnut::scale
