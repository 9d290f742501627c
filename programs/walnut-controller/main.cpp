/// @file
/// The controller daemon: `walnut-controller` is a server of a cell of the product's own API,
/// `walnut-controller registry` one of a cell that holds routes, services and workers.

#include <string_view>

#include "daemon/controller_program.h"
#include "daemon/controller_settings.h"
#include "daemon/process.h"
#include "daemon/registry_program.h"
#include "platform/control_dialect.h"
#include "platform/document_reader.h"
#include "platform/worker_dialect.h"

int main(int argc, char** argv) {
  if (argc > 1 && std::string_view(argv[1]) == "registry") {
    const walnut::platform::PlatformDocumentReader document;
    const walnut::platform::PlatformControlDialect control;
    const walnut::platform::PlatformWorkerDialect worker;
    return walnut::daemon::runRegistry(argc - 1, argv + 1, {document, control, worker});
  }
  walnut::daemon::ControllerSettingsBinder binder;
  const auto parsed = binder.parse(argc, argv);
  if (parsed.exitNow) {
    return static_cast<int>(parsed.exitCode);
  }
  walnut::daemon::prepareProcess("walnut-controller");
  const walnut::daemon::ControllerSettings& settings = binder.settings();
  const auto code = settings.init ? walnut::daemon::initController(settings)
                                  : walnut::daemon::runController(settings);
  return static_cast<int>(code);
}
