#pragma once
/// @file
/// SIGTERM, SIGINT and SIGHUP as calls.

#include <functional>

namespace walnut::daemon {

struct SignalCallbacks {
  std::function<void()> stop;    ///< At the first SIGTERM or SIGINT.
  std::function<void()> reload;  ///< At each SIGHUP.
};

/// Blocks the signals in this thread and those it starts from now on. Before any thread is started.
void blockWatchedSignals();

/// Waits for the signals on a thread of its own, which lives as long as the process. The callbacks
/// run on that thread.
void watchSignals(SignalCallbacks callbacks);

}  // namespace walnut::daemon
