#pragma once
/// @file
/// Health, readiness and metrics, the same on every daemon.

#include <string>

#include "http/exchange.h"

namespace walnut::http {

/// What a daemon tells of itself. All methods may be called from any thread.
class ProcessProbe {
 public:
  virtual ~ProcessProbe() = default;
  /// @return true if the process should be sent work.
  virtual bool ready() = 0;
  /// @return the metrics in the Prometheus text format.
  virtual std::string metricsText() = 0;
};

/// Serves GET /healthz, /readyz and /metrics, and refuses other methods of them.
/// @return false if the path is none of these.
bool handleProbe(Exchange& exchange, ProcessProbe& probe);

}  // namespace walnut::http
