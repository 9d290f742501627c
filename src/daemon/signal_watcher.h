#pragma once
/// @file
/// SIGTERM, SIGINT and SIGHUP as calls on the event loop.

#include <functional>

#include "event/dispatcher.h"

namespace walnut::daemon {

struct SignalCallbacks {
  std::function<void()> stop;    ///< At the first SIGTERM or SIGINT.
  std::function<void()> reload;  ///< At each SIGHUP.
};

/// Blocks the signals in this thread and those it starts from now on. Before any thread is started.
void blockWatchedSignals();

/// Waits for the signals on a thread of its own, which lives as long as the process.
void watchSignals(event::Dispatcher& dispatcher, SignalCallbacks callbacks);

}  // namespace walnut::daemon
