#pragma once
/// @file
/// Metrics of a router process.

#include <map>
#include <string>

#include "daemon/traffic_metrics.h"
#include "runtime/metrics.h"
#include "walnut/routing/router.h"
#include "walnut/transport/transport.h"

namespace walnut::daemon {

/// Names and units are listed in docs/OPERATIONS.md. The `observe` methods belong to the decision
/// loop, `text` to any thread.
class RouterMetrics {
 public:
  RouterMetrics();

  void observeArrival();
  void observeFirstToken(base::Duration sinceArrival);
  void observeTokenInterval(base::Duration interval);
  /// @param firstToken from the arrival; of a cold request it is the cold-start time.
  void observeEnd(const routing::CallerEnded& ended, base::Duration firstToken);
  void observeRefusal(const routing::CallerRefused& refused);
  void observeCallerGone();
  /// @param repeated it is not the request's first one.
  void observeAttempt(bool repeated);
  void observeAttemptFailure(const engine::GenerateFailed& failed);
  /// An attempt goes on from another engine's exported state.
  void observeMove();
  /// An engine answered whether it holds an exported state.
  void observeHold(bool held);
  /// An exported state is kept by this process.
  void observeKept();
  void observeStatus(base::TimePoint now, const routing::RouterStatus& status);

  /// @return all metrics as text, with the transport's traffic up to now.
  std::string text(const transport::TrafficCounters& traffic);

 private:
  prometheus::Counter& outcome(const std::string& name);
  prometheus::Counter& attemptFailure(base::ErrorCode code);

  runtime::Metrics metrics_;
  prometheus::Counter& arrivals_;
  prometheus::Counter& tokens_;
  prometheus::Counter& coldStarts_;
  prometheus::Counter& attempts_;
  prometheus::Counter& retries_;
  prometheus::Counter& moves_;
  prometheus::Counter& parked_;
  prometheus::Counter& holdsRefused_;
  prometheus::Counter& kept_;
  prometheus::Histogram& firstToken_;
  prometheus::Histogram& coldFirstToken_;
  prometheus::Histogram& tokenInterval_;
  prometheus::Gauge& queued_;
  prometheus::Gauge& running_;
  prometheus::Gauge& ready_;
  prometheus::Gauge& configurationAge_;
  prometheus::Gauge& appliedIndex_;
  std::map<std::string, prometheus::Counter*> outcomes_;
  std::map<base::ErrorCode, prometheus::Counter*> attemptFailures_;

  TrafficMetrics traffic_;
};

}  // namespace walnut::daemon
