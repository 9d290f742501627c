#include "daemon/registry_program.h"

#include <unistd.h>

#include <algorithm>

#include "daemon/signal_watcher.h"
#include "walnut/factories.h"
#include "walnut/runtime/clock.h"

namespace walnut::daemon {

namespace {

using base::Result;
using runtime::ExitCode;
using runtime::LogEvent;

/// A folder without an identity is new or its disk was lost: only a founder gets the identity that
/// the others expect; any other server gets a fresh one and asks to be admitted.
Result<DataFolder> openFolder(const RegistrySettings& settings) {
  const bool founder = settings.bootstrap && std::find(settings.seeds.begin(), settings.seeds.end(),
                                                       settings.listen) != settings.seeds.end();
  const base::ServerId fresh =
      founder ? founderIdentity(settings.listen)
              : base::ServerId{std::max<std::uint64_t>(runtime::randomSeed(), 1)};
  DataFolder folder;
  BOOST_OUTCOME_TRY(files, storage::openPosixFileSystem(settings.dataFolder));
  folder.files = std::move(files);
  folder.storage = storage::makeLogStorage(*folder.files, settings.segmentBytes);
  BOOST_OUTCOME_TRY(recovered, folder.storage->recover(fresh));
  folder.recovered = std::move(recovered);
  return folder;
}

int endWith(runtime::OutputLog& log, const base::Error& error, ExitCode code) {
  log.write(LogEvent::processStopped, {{"error", base::errorCodeName(error.code)},
                                       {"field", error.field},
                                       {"detail", error.detail}});
  log.flush();
  return static_cast<int>(code);
}

}  // namespace

int runRegistry(int argc, char** argv, const RegistryDialects& dialects) {
  RegistrySettingsBinder binder;
  const auto parsed = binder.parse(argc, argv);
  if (parsed.exitNow) {
    return static_cast<int>(parsed.exitCode);
  }
  blockWatchedSignals();
  runtime::OutputLog log("walnut-registry", STDOUT_FILENO);
  auto folder = openFolder(binder.settings());
  if (folder.has_error()) {
    return endWith(log, folder.error(), ExitCode::storageFailed);
  }
  const base::ServerId self = folder.value().recovered.self;
  const bool fresh = isPristine(folder.value().recovered);
  RegistryHost host(binder.settings(), dialects, std::move(folder.value()), log);
  const auto started = host.start();
  if (started.has_error()) {
    return endWith(log, started.error(), ExitCode::unavailable);
  }
  watchSignals(host.dispatcher(),
               {[&host] { host.beginStop(); },
                [&log] {
                  log.write(LogEvent::settingsReloaded, {{"changes", "none apply"}});
                }});
  log.write(LogEvent::processStarted,
            {{"version", WALNUT_VERSION},
             {"name", binder.settings().logic.name},
             {"server", self.value},
             {"listen", runtime::formatEndpoint(binder.settings().listen)},
             {"bootstrap", binder.settings().bootstrap ? "yes" : "no"},
             {"data", fresh ? "empty" : "recovered"}});
  log.flush();
  host.run();
  log.flush();
  return static_cast<int>(ExitCode::ok);
}

}  // namespace walnut::daemon
