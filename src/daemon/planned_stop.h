#pragma once
/// @file
/// End of a daemon: waits, within a bound, for its work and then for its HTTP edge.

#include "daemon/process.h"
#include "http/http_server.h"

namespace walnut::daemon {

/// Waits until `workDone` is set, then until the requests in service of `server` are delivered. If
/// that takes longer than `timeout`, the process ends at once with ExitCode::failed: threads that
/// hold requests can't be joined.
void finishWithin(base::Duration timeout, Latch& workDone, http::HttpServer& server);

}  // namespace walnut::daemon
