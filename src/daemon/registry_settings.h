#pragma once
/// @file
/// Settings of `walnut-controller registry`.

#include <string>
#include <vector>

#include "walnut/registry/registry.h"
#include "walnut/runtime/settings.h"

namespace walnut::daemon {

struct RegistrySettings {
  registry::RegistryOptions logic;        ///< Without the own identity.
  base::Endpoint listen{"127.0.0.1", 0};  ///< For operators, workers and metrics.
  base::Endpoint peer{"127.0.0.1", 0};    ///< To accept the internal protocol on.
  std::string dataFolder;
  std::string durableCopyFolder;  ///< See storage::makeDurableCopyFileSystem; empty: no copies.
  std::string syncDelayFile;      ///< See storage::makeDelayedFileSystem; empty: syncs as they are.
  /// First start of the whole system: servers that are among the seeds found the cell.
  bool bootstrap = false;
  std::vector<base::Endpoint> seeds;  ///< Control addresses.
  std::uint64_t segmentBytes = 1U << 20U;
  base::Duration stopTimeout = std::chrono::seconds(2);
};

/// Declares the keys of the registry over a RegistrySettings.
class RegistrySettingsBinder {
 public:
  RegistrySettingsBinder();

  /// Reads file and flags; `exitNow` as in runtime::Settings::Parsed.
  runtime::Settings::Parsed parse(int argc, char** argv);
  const RegistrySettings& settings() const { return settings_; }

 private:
  base::Result<void> resolve();

  RegistrySettings settings_;
  std::string zone_;
  std::vector<std::string> zones_;
  std::int64_t peerPort_ = 0;
  std::int64_t peerBindPort_ = 0;
  std::int64_t tolerableLosses_ = 2;
  double storeWindowSeconds_ = 5;
  double quotaWindowSeconds_ = 8;
  runtime::Settings keys_;
};

/// @return the identity of a founder, the same on all servers that are told the same seeds.
base::ServerId founderIdentity(const base::Endpoint& control);

/// @return the membership that the seeds found; empty unless `bootstrap`.
consensus::Membership foundersOf(const RegistrySettings& settings);

}  // namespace walnut::daemon
