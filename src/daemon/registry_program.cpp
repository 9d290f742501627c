#include "daemon/registry_program.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "daemon/allocator.h"
#include "daemon/guarded_run.h"
#include "daemon/signal_watcher.h"
#include "walnut/factories.h"
#include "walnut/runtime/clock.h"

namespace walnut::daemon {

namespace {

using base::Result;
using runtime::ExitCode;
using runtime::LogEvent;

/// Before a server whose disk refused a write begins anew.
constexpr base::Duration kStorageRetryPause = std::chrono::milliseconds(300);
/// The former process of a machine may hold the addresses for a while after a crash.
constexpr base::Duration kListenRetryTime = std::chrono::seconds(10);

/// A folder without an identity is new or its disk was lost: only a founder gets the identity that
/// the others expect; any other server gets a fresh one and asks to be admitted.
Result<DataFolder> openFolder(const RegistrySettings& settings) {
  const bool founder = settings.bootstrap && std::find(settings.seeds.begin(), settings.seeds.end(),
                                                       settings.listen) != settings.seeds.end();
  const base::ServerId fresh =
      founder ? founderIdentity(settings.listen)
              : base::ServerId{std::max<std::uint64_t>(runtime::randomSeed(), 1)};
  DataFolder folder;
  folder.openedAt = runtime::now();
  BOOST_OUTCOME_TRY(files, storage::openPosixFileSystem(settings.dataFolder));
  if (!settings.syncDelayFile.empty()) {
    files = storage::makeDelayedFileSystem(std::move(files), settings.syncDelayFile,
                                           runtime::randomSeed());
  }
  if (!settings.durableCopyFolder.empty()) {
    files = storage::makeDurableCopyFileSystem(std::move(files), settings.dataFolder,
                                               settings.durableCopyFolder);
  }
  const auto syncs = std::make_shared<std::atomic<std::uint64_t>>(0);
  folder.files = storage::makeSyncHookFileSystem(std::move(files), [syncs] { ++*syncs; });
  folder.syncs = syncs;
  folder.storage = storage::makeLogStorage(*folder.files, settings.segmentBytes);
  BOOST_OUTCOME_TRY(recovered, folder.storage->recover(fresh));
  folder.recovered = std::move(recovered);
  return folder;
}

std::uint64_t millisOf(base::Duration duration) {
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  return static_cast<std::uint64_t>(millis.count());
}

int endWith(runtime::OutputLog& log, const base::Error& error, ExitCode code) {
  log.write(LogEvent::processStopped, {{"error", base::errorCodeName(error.code)},
                                       {"field", error.field},
                                       {"detail", error.detail}});
  log.flush();
  return static_cast<int>(code);
}

/// Hands signals to whichever host runs at present.
class HostSlot {
 public:
  void set(RegistryHost* host) {
    const std::lock_guard lock(mutex_);
    host_ = host;
    if (host_ != nullptr && stopRequested_) {
      postStop();
    }
  }
  void requestStop() {
    const std::lock_guard lock(mutex_);
    stopRequested_ = true;
    if (host_ != nullptr) {
      postStop();
    }
  }
  bool stopRequested() {
    const std::lock_guard lock(mutex_);
    return stopRequested_;
  }

 private:
  void postStop() {
    host_->dispatcher().post([host = host_] { host->beginStop(); });
  }

  std::mutex mutex_;
  RegistryHost* host_ = nullptr;
  bool stopRequested_ = false;
};

/// One life of the server, from recovery to a planned stop or a failure.
/// @param listenUntil until when addresses in use are tried again.
/// @return the exit code; nothing if the storage, an address or the loop failed and the server is
/// to begin anew.
std::optional<int> runOnce(const RegistrySettings& settings, const RegistryDialects& dialects,
                           runtime::OutputLog& log, HostSlot& slot, base::TimePoint listenUntil) {
  auto folder = openFolder(settings);
  if (folder.has_error()) {
    if (folder.error().code != base::ErrorCode::fileError) {
      return endWith(log, folder.error(), ExitCode::storageFailed);
    }
    log.write(LogEvent::dependencyLost, {{"dependency", "storage"},
                                         {"field", folder.error().field},
                                         {"detail", folder.error().detail}});
    return std::nullopt;
  }
  const base::ServerId self = folder.value().recovered.self;
  const bool fresh = isPristine(folder.value().recovered);
  const std::uint64_t recoverySyncs = *folder.value().syncs;
  const base::Duration recoveryTime = runtime::now() - folder.value().openedAt;
  RegistryHost host(settings, dialects, std::move(folder.value()), log);
  const auto started = host.start();
  if (started.has_error()) {
    if (runtime::now() >= listenUntil) {
      return endWith(log, started.error(), ExitCode::unavailable);
    }
    log.write(LogEvent::dependencyLost, {{"dependency", "listen"},
                                         {"field", started.error().field},
                                         {"detail", started.error().detail}});
    log.flush();
    return std::nullopt;
  }
  log.write(LogEvent::processStarted, {{"version", WALNUT_VERSION},
                                       {"name", settings.logic.name},
                                       {"server", self.value},
                                       {"listen", runtime::formatEndpoint(settings.listen)},
                                       {"bootstrap", settings.bootstrap ? "yes" : "no"},
                                       {"data", fresh ? "empty" : "recovered"},
                                       {"recovery-millis", millisOf(recoveryTime)},
                                       {"recovery-syncs", recoverySyncs}});
  log.flush();
  slot.set(&host);
  const bool hasRun = runGuarded(host, log);
  slot.set(nullptr);
  log.flush();
  if (!hasRun || host.storageFailed()) {
    return std::nullopt;
  }
  return static_cast<int>(ExitCode::ok);
}

}  // namespace

int runRegistry(int argc, char** argv, const RegistryDialects& dialects) {
  RegistrySettingsBinder binder;
  const auto parsed = binder.parse(argc, argv);
  if (parsed.exitNow) {
    return static_cast<int>(parsed.exitCode);
  }
  limitRetainedMemory();
  blockWatchedSignals();
  runtime::OutputLog log("walnut-registry", STDOUT_FILENO);
  HostSlot slot;
  watchSignals({[&slot] { slot.requestStop(); }, [] {}});
  const base::TimePoint listenUntil = runtime::now() + kListenRetryTime;
  while (!slot.stopRequested()) {
    const std::optional<int> code = runOnce(binder.settings(), dialects, log, slot, listenUntil);
    if (code) {
      return *code;
    }
    std::this_thread::sleep_for(kStorageRetryPause);
  }
  return static_cast<int>(ExitCode::ok);
}

}  // namespace walnut::daemon
