#pragma once
/// @file
/// Factories of the implementations behind the abstract interfaces, for the drivers (programs,
/// simulator, hollow processes).

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "walnut/base/time.h"
#include "walnut/consensus/raft.h"
#include "walnut/control/controller.h"
#include "walnut/routing/router.h"
#include "walnut/storage/file_system.h"
#include "walnut/storage/log_storage.h"

namespace walnut::consensus {
/// Creates a Raft server.
/// @param bootstrap membership of a new cell; used only if no state was recovered. Empty for a
/// server that waits to be added.
/// Implemented in src/consensus.
std::unique_ptr<Raft> makeRaft(const RaftOptions& options, RecoveredState recovered,
                               const Membership& bootstrap, std::uint64_t seed,
                               base::TimePoint now);
}  // namespace walnut::consensus

namespace walnut::storage {
/// @return the real file system over one folder, created if absent. Implemented in src/storage.
base::Result<std::unique_ptr<FileSystem>> openPosixFileSystem(const std::string& folder);
/// Called before each sync, by the thread that syncs; once for syncs that run at the same time.
using SyncHook = std::function<void()>;
/// @return a file system that calls `hook` before each sync of a file or of the folder. Implemented
/// in src/storage.
std::unique_ptr<FileSystem> makeSyncHookFileSystem(std::unique_ptr<FileSystem> files,
                                                   SyncHook hook);
/// @return a file system whose syncs take longer, for rehearsals of slow disks. Implemented in
/// src/storage.
/// @param delayFile file with the mean delay in milliseconds; may change at any time.
std::unique_ptr<FileSystem> makeDelayedFileSystem(std::unique_ptr<FileSystem> files,
                                                  const std::string& delayFile, std::uint64_t seed);
/// @return a file system that keeps copies of what is durable, for rehearsals of power losses.
/// Implemented in src/storage.
/// @param folder of `files`.
/// @param copyFolder gets the copies; created if absent.
std::unique_ptr<FileSystem> makeDurableCopyFileSystem(std::unique_ptr<FileSystem> files,
                                                      const std::string& folder,
                                                      const std::string& copyFolder);
/// Creates the log storage over `files`.
/// @param segmentBytes size at which a new log segment is begun. Implemented in src/storage.
std::unique_ptr<LogStorage> makeLogStorage(FileSystem& files, std::uint64_t segmentBytes);
}  // namespace walnut::storage

namespace walnut::control {
/// Creates a controller. Implemented in src/control.
std::unique_ptr<Controller> makeController(const ControllerOptions& options, base::CellId cell,
                                           consensus::RecoveredState recovered,
                                           const consensus::Membership& bootstrap,
                                           std::uint64_t seed, base::TimePoint now);
}  // namespace walnut::control

namespace walnut::routing {
/// Creates a router. Implemented in src/routing.
std::unique_ptr<Router> makeRouter(const RouterOptions& options, base::RouterId id,
                                   std::uint64_t seed, base::TimePoint now);
}  // namespace walnut::routing
