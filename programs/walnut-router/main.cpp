/// @file
/// The router daemon: `walnut-router` serves the product's own API, `walnut-router gateway` routes
/// requests of declared routes to workers of services.

#include <string_view>

#include "daemon/gateway_program.h"
#include "daemon/process.h"
#include "daemon/router_program.h"
#include "daemon/router_settings.h"
#include "platform/request_dialect.h"

int main(int argc, char** argv) {
  if (argc > 1 && std::string_view(argv[1]) == "gateway") {
    const walnut::platform::PlatformRequestDialect dialect;
    return walnut::daemon::runGateway(argc - 1, argv + 1, dialect);
  }
  walnut::daemon::RouterSettingsBinder binder;
  const auto parsed = binder.parse(argc, argv);
  if (parsed.exitNow) {
    return static_cast<int>(parsed.exitCode);
  }
  walnut::daemon::prepareProcess("walnut-router");
  return static_cast<int>(walnut::daemon::runRouter(binder.settings()));
}
