#pragma once
/// @file
/// What the stand-ins' processes have in common: say that they are ready, and wait for a signal.

#include <string>

#include "walnut/base/error.h"
#include "walnut/base/ids.h"

namespace walnut::rehearsal {

/// Keeps SIGTERM and SIGINT for `waitForStop`. Before the first thread is started.
void holdStopSignals();

/// Prints `ready api=ADDRESS:PORT`, and writes the same line to `readyFile` unless that is empty.
/// The file appears whole.
/// @return `fileError` if it can't be written.
base::Result<void> announceReady(const base::Endpoint& endpoint, const std::string& readyFile);

/// Announces readiness and serves until SIGTERM or SIGINT. A stand-in has nothing that must last,
/// so that the process then ends at once: its open connections are closed by the system.
/// @return only if readiness can't be announced: the exit code.
int serveUntilStopped(const base::Endpoint& endpoint, const std::string& readyFile);

/// Prints a failure to start.
/// @return the exit code for it.
int failToStart(const base::Error& error);

}  // namespace walnut::rehearsal
