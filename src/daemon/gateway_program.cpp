#include "daemon/gateway_program.h"

#include <unistd.h>

#include "daemon/gateway_host.h"
#include "daemon/signal_watcher.h"

namespace walnut::daemon {

using runtime::ExitCode;
using runtime::LogEvent;

namespace {

void reload(GatewayHost& host, int argc, char** argv) {
  GatewaySettingsBinder binder;
  if (!binder.parse(argc, argv).exitNow) {
    host.reload(binder.settings());
  }
}

}  // namespace

int runGateway(int argc, char** argv, const gateway::RequestDialect& dialect) {
  GatewaySettingsBinder binder;
  const auto parsed = binder.parse(argc, argv);
  if (parsed.exitNow) {
    return static_cast<int>(parsed.exitCode);
  }
  blockWatchedSignals();
  runtime::OutputLog log("walnut-gateway", STDOUT_FILENO);
  GatewayHost host(binder.settings(), dialect, log);
  const auto started = host.start();
  if (started.has_error()) {
    log.write(LogEvent::processStopped, {{"error", base::errorCodeName(started.error().code)},
                                         {"field", started.error().field},
                                         {"detail", started.error().detail}});
    return static_cast<int>(ExitCode::unavailable);
  }
  watchSignals({[&host] { host.dispatcher().post([&host] { host.beginStop(); }); },
                [&host, argc, argv] {
                  host.dispatcher().post([&host, argc, argv] { reload(host, argc, argv); });
                }});
  log.write(LogEvent::processStarted,
            {{"version", WALNUT_VERSION},
             {"name", binder.settings().name},
             {"listen", runtime::formatEndpoint(host.frontEndpoint())},
             {"zone", binder.settings().logic.selection.zone.value},
             {"servers", static_cast<std::uint64_t>(binder.settings().session.servers.size())}});
  log.flush();
  host.run();
  log.flush();
  return static_cast<int>(ExitCode::ok);
}

}  // namespace walnut::daemon
