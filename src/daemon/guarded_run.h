#pragma once
/// @file
/// Runs a host's event loop so that an unexpected error ends this life of it with a log line.

#include <exception>

#include "walnut/base/error.h"
#include "walnut/runtime/event_log.h"

namespace walnut::daemon {

/// @return false if an unexpected error ended the loop: the host's state can't be trusted any more.
template <class Host>
bool runGuarded(Host& host, runtime::EventLog& log) {
  try {
    host.run();
    return true;
  } catch (const std::exception& exception) {
    log.write(runtime::LogEvent::processStopped,
              {{"error", base::errorCodeName(base::ErrorCode::internal)},
               {"field", "loop"},
               {"detail", exception.what()}});
    return false;
  }
}

}  // namespace walnut::daemon
