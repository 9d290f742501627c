#pragma once
/// @file
/// One router under the load of its callers, in virtual time.

#include <functional>
#include <map>

#include "scale/local_router.h"
#include "scale/synthetic_cell.h"
#include "scale/target_draw.h"
#include "walnut/base/random.h"
#include "walnut/base/time.h"

namespace walnut::scale {

/// What the callers of one router ask for, and what changes in the cell meanwhile.
struct RouterLoad {
  CellSize size;
  double requestsPerSecond = 0;
  /// Targets are drawn with weight 1/rank (Zipf's law, exponent 1) from this many.
  std::size_t targets = 1;
  base::Duration firstToken = std::chrono::milliseconds(560);
  base::Duration answer = std::chrono::seconds(10);  ///< From arrival to the end.
  double changesPerSecond = 0;                       ///< Of adapters and replicas, in turn.
  base::Duration length = std::chrono::seconds(120);
  base::Duration warmUp = std::chrono::seconds(70);  ///< Not counted.
  std::uint64_t seed = 1;
  routing::RouterOptions router;
  bool countTimes = false;
  base::Duration watchHeartbeat = std::chrono::milliseconds(500);
};

/// What one run took, less its warm-up.
struct LoadedRates {
  TrafficByKind toControllers{};
  TrafficByKind toRouter{};
  LocalRouterTimes times;
  double seconds = 0;
};

/// Engines answer with one token and an end; tokens between them make no control traffic.
class LoadedRouter {
 public:
  explicit LoadedRouter(const RouterLoad& load);

  LoadedRates run();

 private:
  using Event = std::function<void()>;

  static LocalRouterOptions optionsOf(const RouterLoad& load);
  void runUntil(base::TimePoint end);
  /// @return the time to the next event of a Poisson process.
  base::Duration gap(double perSecond);
  void at(base::TimePoint time, Event event) { events_.emplace(time, std::move(event)); }
  void scheduleArrival();
  void scheduleChange();
  void change();
  void arrive();
  void carryOut();
  void answer(const engine::GenerateRequest& generate);
  void hand(const engine::GenerateEvent& event);

  RouterLoad load_;
  base::Random random_;
  TargetDraw targets_;
  LocalRouter router_;
  std::multimap<base::TimePoint, Event> events_;
  std::uint64_t requests_ = 0;
  std::size_t changes_ = 0;
};

}  // namespace walnut::scale
