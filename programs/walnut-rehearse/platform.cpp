/// @file
/// Subcommand platform: the stand-in platform list.

#include "commands.h"
#include "rehearsal/platform_server.h"
#include "serve.h"
#include "walnut/runtime/settings.h"

namespace walnut::rehearsal {

int runPlatform(int argc, char** argv) {
  base::Endpoint listen{"127.0.0.1", 0};
  std::string readyFile;
  base::Duration lag = std::chrono::milliseconds(800);
  runtime::Settings settings("walnut-rehearse platform", "Stand-in platform list.");
  settings.addEndpoint("listen", listen, "address; port 0: picked by the kernel");
  settings.addString("ready-file", readyFile, "written once the list is served");
  settings.addMillis("lag-ms", lag, 0, 600'000, "how far the list is behind");
  const runtime::Settings::Parsed parsed = settings.parse(argc, argv);
  if (parsed.exitNow) {
    return static_cast<int>(parsed.exitCode);
  }
  holdStopSignals();
  const auto server = PlatformServer::start(listen, lag);
  if (!server) {
    return failToStart(server.error());
  }
  return serveUntilStopped(server.value()->endpoint(), readyFile);
}

}  // namespace walnut::rehearsal
