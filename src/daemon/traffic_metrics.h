#pragma once
/// @file
/// Traffic between the system's own processes, as metrics.

#include <mutex>

#include "runtime/metrics.h"
#include "walnut/transport/transport.h"

namespace walnut::daemon {

/// Thread safe.
class TrafficMetrics {
 public:
  explicit TrafficMetrics(runtime::Metrics& metrics);

  /// Brings the metrics up to the transport's counters.
  void update(const transport::TrafficCounters& counters);

 private:
  std::mutex mutex_;
  transport::TrafficCounters reported_;
  prometheus::Counter& bytesSent_;
  prometheus::Counter& bytesReceived_;
  prometheus::Counter& messagesSent_;
  prometheus::Counter& messagesReceived_;
};

}  // namespace walnut::daemon
