#pragma once
/// @file
/// Turns unexpected errors, which would end the process, into ones that end one life of its host.

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

/// Calls a function that returns a result.
/// @return its result, or `internal` if it throws.
template <class Function>
base::Result<void> callGuarded(const char* field, const Function& function) {
  try {
    return function();
  } catch (const std::exception& exception) {
    return base::Error{base::ErrorCode::internal, field, exception.what()};
  }
}

}  // namespace walnut::daemon
