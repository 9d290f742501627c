#pragma once
/// @file
/// Metrics of a controller process.

#include <map>
#include <string>

#include "daemon/traffic_metrics.h"
#include "runtime/metrics.h"
#include "walnut/consensus/raft.h"
#include "walnut/engine/messages.h"
#include "walnut/transport/transport.h"

namespace walnut::daemon {

/// Names and units are listed in docs/OPERATIONS.md. The `observe` methods belong to the decision
/// loop, `text` to any thread.
class ControllerMetrics {
 public:
  ControllerMetrics();

  /// @param inputs that were decided on before this sync.
  void observeSync(base::Duration duration, std::size_t inputs, std::size_t entries);
  void observeApiCall();
  void observeEngineCall(const engine::CallResult& result);
  void observePlatformRead(const base::Result<engine::PlatformList>& result);
  void observeStatus(const consensus::RaftStatus& status);

  /// @return all metrics as text, with the transport's traffic up to now.
  std::string text(const transport::TrafficCounters& traffic);

 private:
  using OutcomeCounters = std::map<std::string, prometheus::Counter*>;

  /// Counts under the label `outcome`: "ok" or the name of the error.
  template <class Value>
  void count(OutcomeCounters& counters, const char* name, const char* help,
             const base::Result<Value>& result);

  runtime::Metrics metrics_;
  prometheus::Counter& syncs_;
  prometheus::Counter& entries_;
  prometheus::Counter& apiCalls_;
  prometheus::Histogram& syncSeconds_;
  prometheus::Histogram& inputsPerSync_;
  prometheus::Gauge& leader_;
  prometheus::Gauge& knowsLeader_;
  prometheus::Gauge& term_;
  prometheus::Gauge& firstIndex_;
  prometheus::Gauge& lastIndex_;
  prometheus::Gauge& commitIndex_;
  prometheus::Gauge& members_;
  OutcomeCounters engineCalls_;
  OutcomeCounters platformReads_;
  TrafficMetrics traffic_;
};

}  // namespace walnut::daemon
