#pragma once
/// @file
/// Settings of walnut-router.

#include <cstdint>
#include <string>

#include "daemon/call_executor.h"
#include "daemon/stream_runner.h"
#include "http/http_server.h"
#include "walnut/routing/router.h"
#include "walnut/runtime/settings.h"

namespace walnut::daemon {

/// Everything that a router process is started with.
struct RouterSettings {
  routing::RouterOptions logic;
  http::HttpServerOptions api;
  StreamRunnerOptions streams;
  CallExecutorOptions calls;
  base::Duration callTimeout = std::chrono::seconds(2);
  base::Duration cachePollInterval = std::chrono::seconds(1);
  base::Duration stopTimeout = std::chrono::minutes(10);
  std::string readyFile;
};

/// Declares the keys of walnut-router over a RouterSettings.
class RouterSettingsBinder {
 public:
  RouterSettingsBinder();

  /// Reads file and flags; `exitNow` as in runtime::Settings::Parsed.
  runtime::Settings::Parsed parse(int argc, char** argv);

  const RouterSettings& settings() const { return settings_; }

 private:
  void declarePlace();
  void declareFreshness();
  void declareAdmission();
  void declareAttempts();
  void declareEdges();
  base::Result<void> resolve();

  RouterSettings settings_;
  runtime::Settings keys_;
  std::int64_t region_ = 0;
  std::int64_t cell_ = 0;
  std::string zone_;
  std::string whenUnconfirmed_ = "refuse";
  std::int64_t maxQueuedPerTarget_;
  std::int64_t maxQueued_;
  std::int64_t maxRunningPerReplica_;
  std::int64_t maxAttempts_;
  std::int64_t breakerFailures_;
  std::int64_t maxKeptStates_;
  std::int64_t maxStateMegabytes_ = 256;
  std::int64_t maxConnections_;
  std::int64_t maxStreams_;
  std::int64_t callThreads_;
  std::int64_t callsPerEngine_;
};

}  // namespace walnut::daemon
