#include "daemon/registry_settings.h"

#include <xxhash.h>

#include <algorithm>

#include "daemon/arguments.h"
#include "daemon/gateway_settings.h"

namespace walnut::daemon {

namespace {

constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxLosses = 6;
constexpr double kMaxOvershoot = 10;
constexpr double kMinWindowSeconds = 0.1;
constexpr double kMaxQuotaSlack = 1e12;
constexpr double kMaxWindowSeconds = 3600;
constexpr std::int64_t kMaxMillis = 3'600'000;

}  // namespace

RegistrySettingsBinder::RegistrySettingsBinder()
    : keys_("walnut-controller registry",
            "One server of the cell that holds the document and the list of workers.") {
  keys_.addString("name", settings_.logic.name, "Name of this server, also as giver of orders");
  keys_.addString("zone", zone_, "Availability zone of this server");
  keys_.addStringList("zones", zones_, "Availability zones of workers; none: any");
  keys_.addEndpoint("listen", settings_.listen, "Address for operators and workers");
  keys_.addInteger("peer-port", peerPort_, 1, kMaxPort,
                   "Port of the internal protocol, on all servers");
  keys_.addInteger("peer-bind-port", peerBindPort_, 0, kMaxPort,
                   "Port to accept the internal protocol on, if peer-port is forwarded to it; 0: "
                   "peer-port");
  keys_.addString("data-folder", settings_.dataFolder, "Folder of the log and the snapshots");
  keys_.addString("sync-delay-file", settings_.syncDelayFile,
                  "For rehearsals: file with the milliseconds by which each sync is delayed");
  keys_.addString("durable-copy-folder", settings_.durableCopyFolder,
                  "For rehearsals: folder that gets copies of what is synced");
  keys_.addBoolean("bootstrap", settings_.bootstrap,
                   "First start of the whole system: the seeds found the cell");
  keys_.addEndpointList("seeds", settings_.seeds, "Control addresses of some servers");
  keys_.addInteger("tolerable-losses", tolerableLosses_, 0, kMaxLosses,
                   "Disks that may be lost at once");
  keys_.addMillis("order-lease-ms", settings_.logic.orderLease, 0, kMaxMillis,
                  "Between the orders of two servers");
  keys_.addBoolean("orders-fenced", settings_.logic.ordersFenced,
                   "Workers refuse a lower fencing token than one that they have seen");
  keys_.addReal("store-window-seconds", storeWindowSeconds_, kMinWindowSeconds, kMaxWindowSeconds,
                "In which loads from the weight store are counted");
  keys_.addReal("store-overshoot", settings_.logic.storeOvershoot, 1, kMaxOvershoot,
                "Of the weight store's rate, allowed within a window");
  keys_.addReal("quota-window-seconds", quotaWindowSeconds_, kMinWindowSeconds, kMaxWindowSeconds,
                "In which the use of a tenant is counted");
  keys_.addReal("quota-overshoot", settings_.logic.quota.overshoot, 0, kMaxOvershoot,
                "Share of a tenant's quota that may be used beyond it in a window");
  keys_.addReal("quota-slack", settings_.logic.quota.slack, 0, kMaxQuotaSlack,
                "Units that a tenant may use beyond that in a window");
  keys_.addMillis("heartbeat-ms", settings_.logic.heartbeatInterval, 1, kMaxMillis,
                  "Between two heartbeats of a worker");
  keys_.addMillis("worker-forgotten-ms", settings_.logic.workerForgottenAfter, 1, kMaxMillis,
                  "Silence after which a worker is forgotten");
}

runtime::Settings::Parsed RegistrySettingsBinder::parse(int argc, char** argv) {
  Arguments arguments(argc, argv);
  return arguments.parse(keys_, "walnut-controller registry", [this] { return resolve(); });
}

base::Result<void> RegistrySettingsBinder::resolve() {
  if (settings_.dataFolder.empty()) {
    return base::Error{base::ErrorCode::missingField, "data-folder", "required"};
  }
  const base::Endpoint peer{settings_.listen.address, static_cast<std::uint16_t>(peerPort_)};
  settings_.peer = peer;
  if (peerBindPort_ != 0) {
    settings_.peer.port = static_cast<std::uint16_t>(peerBindPort_);
  }
  settings_.logic.storeWindow = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(storeWindowSeconds_));
  settings_.logic.quota.window = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(quotaWindowSeconds_));
  settings_.logic.tolerableLosses = static_cast<std::uint32_t>(tolerableLosses_);
  settings_.logic.joinEndpoints = internalEndpoints(settings_.seeds, peerPort_);
  settings_.logic.self.peerEndpoint = peer;
  settings_.logic.self.resourceEndpoint = settings_.listen;
  settings_.logic.self.zone = {zone_};
  for (const std::string& zone : zones_) {
    settings_.logic.zones.push_back({zone});
  }
  return base::success();
}

base::ServerId founderIdentity(const base::Endpoint& control) {
  const std::string text = runtime::formatEndpoint(control);
  return {std::max<std::uint64_t>(XXH3_64bits(text.data(), text.size()), 1)};
}

consensus::Membership foundersOf(const RegistrySettings& settings) {
  consensus::Membership membership;
  if (!settings.bootstrap) {
    return membership;
  }
  for (const base::Endpoint& seed : settings.seeds) {
    consensus::Member member;
    member.id = founderIdentity(seed);
    member.role = consensus::MemberRole::voter;
    member.peerEndpoint = {seed.address, settings.logic.self.peerEndpoint.port};
    member.resourceEndpoint = seed;
    membership.members.push_back(member);
  }
  return membership;
}

}  // namespace walnut::daemon
