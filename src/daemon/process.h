#pragma once
/// @file
/// What both daemons need as processes: signals, the ready line, waiting for the end.

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>

#include "walnut/base/error.h"
#include "walnut/base/time.h"

namespace walnut::daemon {

/// Set once, waited for by any thread.
class Latch {
 public:
  void set();
  void wait();
  /// @return false if `timeout` passed first.
  bool waitFor(base::Duration timeout);

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool set_ = false;
};

/// Blocks SIGTERM and SIGINT, ignores SIGPIPE and SIGXFSZ (a broken connection and a limit of file
/// size are errors of the write) and sets up the log. To be called before any thread is started:
/// all inherit the blocked signals.
void prepareProcess(const std::string& program);

/// Calls `stop` at the first SIGTERM or SIGINT, on a thread of its own; later ones do nothing.
void handleStopSignals(std::function<void()> stop);

/// Prints `line` to standard output and, if `readyFile` is not empty, writes it there: to a
/// temporary file first, so that a reader sees the whole line or nothing.
base::Result<void> announceReady(const std::string& line, const std::string& readyFile);

}  // namespace walnut::daemon
