#include "daemon/planned_stop.h"

#include <cstdlib>
#include <thread>

#include "walnut/runtime/clock.h"
#include "walnut/runtime/log.h"
#include "walnut/runtime/settings.h"

namespace walnut::daemon {

namespace {

[[noreturn]] void endAfterTimeout() {
  runtime::logError("stop-timed-out",
                    {base::ErrorCode::timedOut, "stop-timeout-ms", "requests in flight were cut"});
  std::_Exit(static_cast<int>(runtime::ExitCode::failed));
}

}  // namespace

void finishWithin(base::Duration timeout, Latch& workDone, http::HttpServer& server) {
  const base::TimePoint limit = runtime::now() + timeout;
  if (!workDone.waitFor(timeout)) {
    endAfterTimeout();
  }
  Latch delivered;
  std::thread stopper([&server, &delivered] {
    server.stop();
    delivered.set();
  });
  if (!delivered.waitFor(limit - runtime::now())) {
    endAfterTimeout();
  }
  stopper.join();
}

}  // namespace walnut::daemon
