#include "daemon/router_program.h"

#include <memory>

#include "daemon/planned_stop.h"
#include "daemon/process.h"
#include "daemon/router_host.h"
#include "walnut/runtime/clock.h"
#include "walnut/runtime/log.h"

namespace walnut::daemon {

using runtime::ExitCode;

ExitCode runRouter(const RouterSettings& settings) {
  const auto stopRequested = std::make_shared<Latch>();
  handleStopSignals([stopRequested] { stopRequested->set(); });
  RouterHost host(settings, {runtime::randomSeed()}, runtime::randomSeed());
  const auto started = host.start();
  if (!started) {
    runtime::logError("start-failed", started.error());
    return ExitCode::unavailable;
  }
  http::CallerApi api(host, host);
  auto server = http::HttpServer::start(settings.api,
                                        [&api](http::Exchange& exchange) { api.handle(exchange); });
  if (!server) {
    runtime::logError("listen-failed", server.error());
    return ExitCode::unavailable;
  }
  const std::string address = runtime::formatEndpoint(server.value()->endpoint());
  const auto announced = announceReady("ready api=" + address, settings.readyFile);
  if (!announced) {
    runtime::logError("ready-file-failed", announced.error());
    return ExitCode::unavailable;
  }
  runtime::logNotice("ready", {{"api", address}});
  stopRequested->wait();
  host.beginStop();
  finishWithin(settings.stopTimeout, host.stopped(), *server.value());
  runtime::logNotice("stopped");
  return ExitCode::ok;
}

}  // namespace walnut::daemon
