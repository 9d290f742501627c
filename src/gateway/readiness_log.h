#pragma once
/// @file
/// Logs what a gateway that is not ready waits for.

#include <optional>

#include "gateway/gateway.h"
#include "gateway/registry_session.h"
#include "walnut/event/scheduler.h"
#include "walnut/runtime/event_log.h"

namespace walnut::gateway {

/// Writes a line each second while the gateway is not ready: whether it lacks a leader, a document
/// or its confirmation, which server it waits for, and since when.
class ReadinessLog {
 public:
  ReadinessLog(event::Scheduler& scheduler, const RegistrySession& session, const Gateway& gateway,
               runtime::EventLog& log);

  void start();
  /// A gateway that is being stopped waits for nothing.
  void stop() { timer_->disable(); }

 private:
  void check();
  void logWait() const;

  event::Scheduler& scheduler_;
  const RegistrySession& session_;
  const Gateway& gateway_;
  runtime::EventLog& log_;
  event::TimerPtr timer_;
  std::optional<base::TimePoint> waitingSince_;  ///< Nothing while the gateway is ready.
};

}  // namespace walnut::gateway
