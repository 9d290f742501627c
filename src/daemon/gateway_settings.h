#pragma once
/// @file
/// Settings of `walnut-router gateway`.

#include <limits>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "gateway/registry_session.h"
#include "walnut/runtime/settings.h"

namespace walnut::daemon {

struct GatewaySettings {
  gateway::GatewayOptions logic;
  gateway::RegistrySessionOptions session;
  std::string name;
  std::size_t maxConnections = std::numeric_limits<std::size_t>::max();  ///< Of callers.
  base::Endpoint listen{"127.0.0.1", 0};                                 ///< For callers.
  base::Endpoint readiness{"127.0.0.1", 0};        ///< For the readiness call and for metrics.
  base::Duration grace = std::chrono::seconds(8);  ///< From SIGTERM until the process is killed.
};

/// @return endpoints of the registry's internal protocol: the addresses of `seeds`, which name
/// another of their ports, with `peerPort`.
std::vector<base::Endpoint> internalEndpoints(const std::vector<base::Endpoint>& seeds,
                                              std::int64_t peerPort);

/// @return the default of `buffer-limit-mb`: a third of the process's memory.
/// @param memoryMb that the process may take; 0: that of the host.
std::int64_t defaultBufferLimitMb(std::int64_t memoryMb = 0);

/// Declares the keys of the gateway over a GatewaySettings.
class GatewaySettingsBinder {
 public:
  GatewaySettingsBinder();

  /// Reads file and flags; `exitNow` as in runtime::Settings::Parsed.
  runtime::Settings::Parsed parse(int argc, char** argv);
  const GatewaySettings& settings() const { return settings_; }

 private:
  base::Result<void> resolve();

  GatewaySettings settings_;
  std::string zone_;
  std::vector<base::Endpoint> seeds_;
  std::int64_t peerPort_ = 0;
  std::int64_t graceSeconds_ = 8;
  std::int64_t memoryMb_ = 0;
  std::int64_t maxDescriptors_ = 0;
  std::int64_t bufferLimitMb_ = 0;
  runtime::Settings keys_;
};

}  // namespace walnut::daemon
