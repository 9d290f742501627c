#include "daemon/gateway_settings.h"

#include <unistd.h>

#include <algorithm>

#include "daemon/arguments.h"

namespace walnut::daemon {

namespace {

constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxGraceSeconds = 3600;
constexpr double kMaxSlack = 1e6;
constexpr std::int64_t kMinRevocationMillis = 1000;
constexpr std::int64_t kMaxMillis = 3'600'000;
/// @name Limits of `buffer-limit-mb`
/// @{
/// Twice the largest response that is collected before it is passed on (8 MiB): one that waits for
/// memory gets it once half of the limit is free.
constexpr std::int64_t kMinBufferLimitMb = 16;
constexpr std::int64_t kMaxBufferLimitMb = 1 << 20;
constexpr std::int64_t kMemoryPerBufferLimit = 3;
constexpr std::int64_t kMebibyte = 1 << 20;
/// @}
/// Before the end of the grace: what is left then would be cut by the kill anyway.
constexpr base::Duration kGraceMargin = std::chrono::milliseconds(400);

}  // namespace

std::vector<base::Endpoint> internalEndpoints(const std::vector<base::Endpoint>& seeds,
                                              std::int64_t peerPort) {
  std::vector<base::Endpoint> endpoints;
  endpoints.reserve(seeds.size());
  for (const base::Endpoint& seed : seeds) {
    endpoints.push_back({seed.address, static_cast<std::uint16_t>(peerPort)});
  }
  return endpoints;
}

std::int64_t defaultBufferLimitMb() {
  const std::int64_t pages = ::sysconf(_SC_PHYS_PAGES);
  const std::int64_t pageBytes = ::sysconf(_SC_PAGESIZE);
  return std::clamp(pages * pageBytes / kMemoryPerBufferLimit / kMebibyte, kMinBufferLimitMb,
                    kMaxBufferLimitMb);
}

GatewaySettingsBinder::GatewaySettingsBinder()
    : bufferLimitMb_(defaultBufferLimitMb()),
      keys_("walnut-router gateway", "Routes requests of callers to workers of services.") {
  keys_.addString("name", settings_.name, "Name of this process in logs");
  keys_.addString("zone", zone_, "Availability zone of this process");
  keys_.addEndpoint("listen", settings_.listen, "Address for callers");
  keys_.addEndpoint("readiness", settings_.readiness,
                    "Address of the readiness call and of the metrics");
  keys_.addEndpointList("seeds", seeds_, "Control addresses of servers of the registry");
  keys_.addInteger("peer-port", peerPort_, 1, kMaxPort,
                   "Port of the internal protocol, on all servers of the registry");
  keys_.addReal("retry-ratio", settings_.logic.retryRatio, 0, 10,
                "Repeated arrivals at workers for each request, over all gateways");
  keys_.addReal("retry-slack", settings_.logic.retrySlack, 0, kMaxSlack,
                "Repeated arrivals beyond the ratio in 10 s, over all gateways");
  keys_.addMillis("revocation-ms", settings_.logic.revocation, kMinRevocationMillis, kMaxMillis,
                  "From a key being taken away until no gateway lets it through");
  keys_.addInteger("buffer-limit-mb", bufferLimitMb_, kMinBufferLimitMb, kMaxBufferLimitMb,
                   "Memory held for slow readers and for bodies, of all callers together");
  keys_.addInteger("grace-seconds", graceSeconds_, 1, kMaxGraceSeconds,
                   "Time from SIGTERM to the end of the process");
}

runtime::Settings::Parsed GatewaySettingsBinder::parse(int argc, char** argv) {
  Arguments arguments(argc, argv);
  return arguments.parse(keys_, "walnut-router gateway", [this] { return resolve(); });
}

base::Result<void> GatewaySettingsBinder::resolve() {
  settings_.logic.selection.zone = {zone_};
  settings_.session.servers = internalEndpoints(seeds_, peerPort_);
  settings_.logic.bufferLimitBytes = static_cast<std::size_t>(bufferLimitMb_ * kMebibyte);
  settings_.stopTimeout = std::chrono::seconds(graceSeconds_) - kGraceMargin;
  return base::success();
}

}  // namespace walnut::daemon
