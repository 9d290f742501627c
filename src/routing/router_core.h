#pragma once
/// @file
/// State shared by the components of a router's logic.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "routing/cluster_view.h"
#include "routing/controller_sessions.h"
#include "routing/demand_reporter.h"
#include "routing/engine_selector.h"
#include "routing/freshness_tracker.h"
#include "routing/request_queue.h"
#include "routing/request_table.h"
#include "routing/retry_budget.h"
#include "routing/target_table.h"
#include "walnut/base/random.h"

namespace walnut::routing {

/// State of a router. Its components hold references to each other, so it is neither copied nor
/// moved.
struct RouterCore {
  RouterCore(const RouterOptions& routerOptions, base::RouterId routerId, std::uint64_t seed)
      : options(routerOptions),
        id(routerId),
        random(seed),
        freshness(routerOptions.freshnessLimit),
        sessions(options, routerId, random, actions),
        demand(options, routerId),
        selector(options, random),
        retryBudget(routerOptions.retryBudgetRatio) {}
  RouterCore(const RouterCore&) = delete;
  RouterCore& operator=(const RouterCore&) = delete;

  /// @return whether the configuration may be used now. Before the first confirmation no
  /// configuration is known, so nothing is served whatever the policy.
  bool canServe() const {
    const bool everConfirmed = freshness.confirmedAt().has_value();
    const bool serveStale = options.unconfirmedPolicy == UnconfirmedPolicy::serve && everConfirmed;
    return serveStale || freshness.confirmed(now);
  }

  const RouterOptions options;
  const base::RouterId id;
  base::Random random;
  base::TimePoint now;  ///< Time of the current step.
  bool stopping = false;
  std::vector<RouterAction> actions;

  ClusterView view;
  FreshnessTracker freshness;
  ControllerSessions sessions;
  DemandReporter demand;
  RequestTable requests;
  RequestQueue queue;
  std::map<std::string, Target> targets;
  EngineSelector selector;
  RetryBudget retryBudget;
  std::uint64_t nextAttempt = 1;
  std::uint32_t storedStates = 0;  ///< Requests whose state this process stores or fetches.
  /// Targets whose queues are to be dispatched before the step ends.
  std::set<std::string> dispatchDue;
  /// Targets to be dispatched at a given time without any event; see Target::dispatchAt.
  std::set<std::pair<base::TimePoint, std::string>> dispatchLater;
  /// Targets to be dispatched once the configuration is confirmed again.
  std::set<std::string> dispatchWhenConfirmed;
};

}  // namespace walnut::routing
