#include "daemon/gateway_program.h"

#include <unistd.h>

#include <memory>
#include <thread>

#include "daemon/allocator.h"
#include "daemon/gateway_host.h"
#include "daemon/guarded_run.h"
#include "daemon/signal_watcher.h"
#include "walnut/runtime/clock.h"

namespace walnut::daemon {

using runtime::ExitCode;
using runtime::LogEvent;

namespace {

/// The former process of a machine may hold the addresses for a while after a crash.
constexpr base::Duration kListenRetryTime = std::chrono::seconds(10);
constexpr base::Duration kListenRetryPause = std::chrono::milliseconds(300);

/// Tries again while an address is in use.
base::Result<std::unique_ptr<GatewayHost>> startHost(const GatewaySettings& settings,
                                                     const gateway::RequestDialect& dialect,
                                                     runtime::OutputLog& log) {
  const base::TimePoint end = runtime::now() + kListenRetryTime;
  while (true) {
    auto host = std::make_unique<GatewayHost>(settings, dialect, log);
    const auto started = host->start();
    if (started.has_value()) {
      return host;
    }
    if (runtime::now() >= end) {
      return started.error();
    }
    log.write(LogEvent::dependencyLost, {{"dependency", "listen"},
                                         {"field", started.error().field},
                                         {"detail", started.error().detail}});
    log.flush();
    std::this_thread::sleep_for(kListenRetryPause);
  }
}

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
  limitRetainedMemory();
  blockWatchedSignals();
  runtime::OutputLog log("walnut-gateway", STDOUT_FILENO);
  auto started = startHost(binder.settings(), dialect, log);
  if (started.has_error()) {
    log.write(LogEvent::processStopped, {{"error", base::errorCodeName(started.error().code)},
                                         {"field", started.error().field},
                                         {"detail", started.error().detail}});
    return static_cast<int>(ExitCode::unavailable);
  }
  GatewayHost& host = *started.value();
  watchSignals({[&host] {
                  host.dispatcher().post(
                      [&host, signalledAt = runtime::now()] { host.beginStop(signalledAt); });
                },
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
  const bool hasRun = runGuarded(host, log);
  log.flush();
  return static_cast<int>(hasRun ? ExitCode::ok : ExitCode::internal);  // To be started again.
}

}  // namespace walnut::daemon
