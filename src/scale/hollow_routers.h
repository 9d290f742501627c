#pragma once
/// @file
/// Many routers in one process: the real logic over the real transport, without callers' HTTP.

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <variant>
#include <vector>

#include "daemon/controller_links.h"
#include "runtime/inbox.h"
#include "scale/synthetic_cell.h"
#include "walnut/base/random.h"
#include "walnut/routing/router.h"
#include "walnut/transport/transport.h"

namespace walnut::scale {

struct HollowRoutersOptions {
  std::vector<base::Endpoint> controllers;
  std::vector<base::ZoneId> zones;                  ///< Given to the routers in turn.
  CellSize size;                                    ///< For the names of the targets.
  base::Duration answer = std::chrono::seconds(2);  ///< From arrival to the end of a request.
};

/// What the callers of each router ask for.
struct HollowLoad {
  double requestsPerSecond = 0;  ///< Of each router.
  std::size_t targets = 1;       ///< Drawn evenly.
};

/// As of now, over all routers.
struct HollowRouterStatus {
  std::size_t ready = 0;
  consensus::LogIndex leastIndex = 0;
  std::uint64_t answered = 0;  ///< Requests, since the start.
  std::uint64_t refused = 0;
  transport::TrafficCounters traffic;  ///< Of the present routers.
};

/// One decision loop for all routers; a transport, and so a thread, for each.
class HollowRouters {
 public:
  explicit HollowRouters(const HollowRoutersOptions& options);
  ~HollowRouters();
  HollowRouters(const HollowRouters&) = delete;
  HollowRouters& operator=(const HollowRouters&) = delete;

  /// Starts routers, or ends the last ones, until there are so many. Any thread; returns at once.
  void setCount(std::size_t routers);
  void setLoad(const HollowLoad& load);
  HollowRouterStatus status() const;

 private:
  struct Node;
  struct TransportEvent {
    std::uint64_t node = 0;
    transport::Event event;
  };
  struct SetCount {
    std::size_t routers = 0;
  };
  struct SetLoad {
    HollowLoad load;
  };
  struct ShutDown {};
  using Input = std::variant<TransportEvent, SetCount, SetLoad, ShutDown>;
  using NodeNumber = std::uint64_t;

  void run();
  void take(const TransportEvent& input);
  void take(const SetCount& input);
  void take(const SetLoad& input);
  void take(const ShutDown&) { shutDown_ = true; }
  void addNode();
  void stepNode(Node& node, const routing::RouterInput& input);
  void carryOut(Node& node, routing::RouterAction& action);
  void schedule(Node& node);
  void wakeDue();
  void arrive(Node& node);
  void finishDue();
  void publish();

  /// An attempt that ends at a time.
  struct Answer {
    NodeNumber node = 0;
    engine::GenerateEvent event;
  };

  const HollowRoutersOptions options_;
  runtime::Inbox<Input> inbox_;
  bool shutDown_ = false;
  base::TimePoint now_;
  base::Random random_{1};
  HollowLoad load_;
  NodeNumber nextNode_ = 1;
  std::uint64_t nextRequest_ = 1;
  std::map<NodeNumber, std::unique_ptr<Node>> nodes_;
  std::set<std::pair<base::TimePoint, NodeNumber>> wakeups_;
  std::multimap<base::TimePoint, Answer> answers_;
  base::TimePoint publishAt_;
  std::uint64_t answered_ = 0;
  std::uint64_t refused_ = 0;
  mutable std::mutex statusMutex_;
  HollowRouterStatus status_;
  std::thread thread_;
};

}  // namespace walnut::scale
