#include "walnut/runtime/event_log.h"

#include <array>

namespace walnut::runtime {

namespace {

/// In the order of LogEvent.
constexpr std::array<std::string_view, 31> kNames = {
    "process-started",    "process-stopping",    "process-stopped",  "settings-reloaded",
    "dependency-lost",    "dependency-regained", "lines-dropped",    "role-changed",
    "membership-changed", "member-proposed",     "document-stored",  "document-refused",
    "document-taken",     "worker-stored",       "worker-forgotten", "worker-silent",
    "worker-heard",       "worker-view",         "breaker-opened",   "breaker-closed",
    "order-turn",         "order-sent",          "order-finished",   "report-read",
    "call-unavailable",   "request-refused",     "request-waiting",  "attempt-started",
    "attempt-failed",     "request-resumed",     "request-ended"};
constexpr std::string_view kLast = "request-left";

}  // namespace

std::string_view logEventName(LogEvent event) {
  const auto index = static_cast<std::size_t>(event);
  return index < kNames.size() ? kNames[index] : kLast;
}

}  // namespace walnut::runtime
