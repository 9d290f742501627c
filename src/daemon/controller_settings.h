#pragma once
/// @file
/// Settings of walnut-controller.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "daemon/call_executor.h"
#include "http/http_server.h"
#include "walnut/control/controller.h"
#include "walnut/runtime/settings.h"

namespace walnut::daemon {

/// A leader asks each engine twice a second. At some 4 ms a call between zones, so many threads
/// carry 16,000 calls a second; 3,000 engines take 6,000.
inline constexpr std::size_t kDefaultCallThreads = 64;

/// Everything that a controller process is started with.
struct ControllerSettings {
  control::ControllerOptions logic;
  base::CellId cell;
  base::ZoneId zone;
  std::string dataFolder;
  bool init = false;  ///< Give the data folder an identity and exit.
  bool join = false;  ///< Wait to be added to a cell.
  base::Endpoint listenPeer{"127.0.0.1", 0};
  http::HttpServerOptions api;
  std::optional<base::Endpoint> platform;
  consensus::Membership initialMembers;  ///< Of a new cell.
  CallExecutorOptions calls = {.threads = kDefaultCallThreads};
  std::uint64_t segmentBytes = 8ULL << 20U;
  base::Duration stopTimeout = std::chrono::seconds(30);
  std::string readyFile;
};

/// @return the member of "ID@PEER@API@ZONE", a voter; PEER and API are ADDRESS:PORT.
base::Result<consensus::Member> parseInitialMember(const std::string& text);

/// @return the endpoint of "http://ADDRESS:PORT" or "ADDRESS:PORT", with or without a last slash.
base::Result<base::Endpoint> parseServerUrl(const std::string& text);

/// Declares the keys of walnut-controller over a ControllerSettings.
class ControllerSettingsBinder {
 public:
  ControllerSettingsBinder();

  /// Reads file and flags; `exitNow` as in runtime::Settings::Parsed. `--init` and `--join` may be
  /// given without a value.
  runtime::Settings::Parsed parse(int argc, char** argv);

  const ControllerSettings& settings() const { return settings_; }

 private:
  void declarePlace();
  void declareConsensus();
  void declareLeader();
  void declareApi();
  base::Result<void> resolve();

  ControllerSettings settings_;
  runtime::Settings keys_;
  std::int64_t region_ = 0;
  std::int64_t cell_ = 0;
  std::string zone_;
  std::string platformUrl_;
  std::vector<std::string> initialMembers_;
  std::int64_t segmentBytes_;
  std::int64_t snapshotEveryEntries_;
  std::int64_t snapshotKeepEntries_;
  std::int64_t watchKeepChanges_;
  std::int64_t requestAnswersKept_;
  std::int64_t callThreads_;
  std::int64_t callsPerEngine_;
  std::int64_t maxConnections_;
};

}  // namespace walnut::daemon
