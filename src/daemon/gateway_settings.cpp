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
/// What is counted may exist twice while it is sent on; the rest is for heads and the program.
constexpr std::int64_t kMemoryPerBufferLimit = 3;
constexpr std::int64_t kMaxMemoryMb = 1 << 22;
constexpr std::int64_t kMaxDescriptors = 1 << 24;
constexpr std::int64_t kMebibyte = 1 << 20;
/// @}

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

std::int64_t defaultBufferLimitMb(std::int64_t memoryMb) {
  if (memoryMb == 0) {
    memoryMb = ::sysconf(_SC_PHYS_PAGES) * ::sysconf(_SC_PAGESIZE) / kMebibyte;
  }
  return std::clamp(memoryMb / kMemoryPerBufferLimit, kMinBufferLimitMb, kMaxBufferLimitMb);
}

GatewaySettingsBinder::GatewaySettingsBinder()
    : keys_("walnut-router gateway", "Routes requests of callers to workers of services.") {
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
  keys_.addInteger("memory-mb", memoryMb_, 0, kMaxMemoryMb,
                   "Memory that this process may take; 0: that of the host");
  keys_.addInteger("max-descriptors", maxDescriptors_, 0, kMaxDescriptors,
                   "Descriptors that this process may open; 0: no limit but the system's");
  keys_.addInteger("buffer-limit-mb", bufferLimitMb_, 0, kMaxBufferLimitMb,
                   "Memory held for slow readers and for bodies, of all callers together; 0: a "
                   "third of memory-mb");
  keys_.addInteger("grace-seconds", graceSeconds_, 1, kMaxGraceSeconds,
                   "Time from SIGTERM until the process is killed");
}

runtime::Settings::Parsed GatewaySettingsBinder::parse(int argc, char** argv) {
  Arguments arguments(argc, argv);
  return arguments.parse(keys_, "walnut-router gateway", [this] { return resolve(); });
}

base::Result<void> GatewaySettingsBinder::resolve() {
  settings_.logic.selection.zone = {zone_};
  settings_.session.servers = internalEndpoints(seeds_, peerPort_);
  if (bufferLimitMb_ != 0 && bufferLimitMb_ < kMinBufferLimitMb) {
    return base::Error{base::ErrorCode::outOfRange, "buffer-limit-mb",
                       "at least " + std::to_string(kMinBufferLimitMb)};
  }
  const std::int64_t limitMb =
      bufferLimitMb_ != 0 ? bufferLimitMb_ : defaultBufferLimitMb(memoryMb_);
  settings_.logic.bufferLimitBytes = static_cast<std::size_t>(limitMb * kMebibyte);
  if (maxDescriptors_ != 0) {
    // The rest is for workers, the registry and files.
    settings_.maxConnections = static_cast<std::size_t>(maxDescriptors_ * 2 / 3);
  }
  settings_.grace = std::chrono::seconds(graceSeconds_);
  return base::success();
}

}  // namespace walnut::daemon
