#include "simulator/fleet.h"

#include <utility>

namespace walnut::simulator {

namespace {

constexpr std::uint16_t kPeerPort = 7000;
constexpr std::uint16_t kResourcePort = 7001;
constexpr std::uint16_t kEnginePort = 8000;
/// Clocks of processes differ from true time by at most this; the requirement on operators is
/// ControllerOptions::claimClockSkew.
constexpr base::Duration kClockOffsetMax = std::chrono::milliseconds(500);
constexpr base::Duration kPlatformLag = std::chrono::milliseconds(800);
/// Small, so that runs of minutes take and install snapshots.
constexpr std::size_t kSnapshotEveryEntries = 300;
constexpr std::size_t kSnapshotKeepEntries = 60;
constexpr std::size_t kWatchKeepChanges = 200;
/// Small, so that bursts overflow them.
constexpr std::size_t kMaxQueuedPerTarget = 6;
constexpr std::size_t kMaxQueued = 24;
/// Two engines of three have old accelerators, on which long answers outlast a short grace.
constexpr base::Duration kOldFirstTokenDelay = std::chrono::milliseconds(200);
constexpr base::Duration kOldTokenInterval = std::chrono::milliseconds(60);

base::Endpoint endpointOf(const char* network, std::size_t index, std::uint16_t port) {
  return base::Endpoint{std::string(network) + std::to_string(index + 1), port};
}

/// @return an offset in [-kClockOffsetMax, kClockOffsetMax].
base::Duration drawClockOffset(Environment& environment) {
  return environment.random().between(base::Duration{0}, 2 * kClockOffsetMax) - kClockOffsetMax;
}

}  // namespace

consensus::Member memberOf(const ControllerNode& controller, consensus::MemberRole role) {
  consensus::Member member;
  member.id = controller.identity();
  member.role = role;
  member.peerEndpoint = controller.options().peerEndpoint;
  member.resourceEndpoint = controller.options().resourceEndpoint;
  member.zone = controller.options().zone;
  return member;
}

Fleet::Fleet(Environment& environment, const Deployment& deployment) {
  platform = std::make_unique<PlatformNode>(environment, deployment.zones.front(), kPlatformLag);
  store = std::make_unique<WeightStoreNode>(environment, deployment.zones.back(), deployment.store);
  addControllers(environment, deployment);
  addRouters(environment, deployment);
  addEngines(environment, deployment);
}

void Fleet::addControllers(Environment& environment, const Deployment& deployment) {
  for (std::size_t index = 0; index < deployment.controllers; ++index) {
    ControllerNodeOptions options;
    options.name = "controller-" + std::to_string(index + 1);
    options.zone = base::ZoneId{deployment.zones[index % deployment.zones.size()]};
    options.peerEndpoint = endpointOf("10.0.0.", index, kPeerPort);
    options.resourceEndpoint = endpointOf("10.0.0.", index, kResourcePort);
    options.logic.snapshotEveryEntries = kSnapshotEveryEntries;
    options.logic.snapshotKeepEntries = kSnapshotKeepEntries;
    options.logic.maxWatchChanges = kWatchKeepChanges;
    controllers.push_back(std::make_unique<ControllerNode>(
        environment, options, *platform,
        base::ServerId{environment.random().uniform(1, UINT64_MAX)}));
    controllers.back()->setClockOffset(drawClockOffset(environment));
  }
  consensus::Membership membership;
  for (const auto& controller : controllers) {
    membership.members.push_back(memberOf(*controller, consensus::MemberRole::voter));
  }
  for (const auto& controller : controllers) {
    controller->setBootstrap(membership);
  }
}

void Fleet::addRouters(Environment& environment, const Deployment& deployment) {
  for (std::size_t index = 0; index < deployment.routers; ++index) {
    routing::RouterOptions options;
    options.zone = base::ZoneId{deployment.zones[index % deployment.zones.size()]};
    options.maxQueuedPerTarget = kMaxQueuedPerTarget;
    options.maxQueued = kMaxQueued;
    for (const auto& controller : controllers) {
      options.controllers.push_back(controller->options().peerEndpoint);
    }
    routers.push_back(std::make_unique<RouterNode>(
        environment, "router-" + std::to_string(index + 1), options.zone.value, options));
    routers.back()->setClockOffset(drawClockOffset(environment));
  }
}

void Fleet::addEngines(Environment& environment, const Deployment& deployment) {
  std::size_t index = 0;
  for (const EngineGroup& group : deployment.engines) {
    for (std::size_t member = 0; member < group.count; ++member, ++index) {
      standin::EngineModelOptions options;
      options.acceleratorBytes = group.acceleratorBytes;
      if (index % 3 != 0) {
        options.firstTokenDelay = kOldFirstTokenDelay;
        options.tokenInterval = kOldTokenInterval;
      }
      // Checkpoints are cached unevenly: each engine has every third model's on its disk.
      for (std::size_t model = index % 3; model < deployment.models; model += 3) {
        options.cachedOnDisk.push_back(modelVersion(model, 0).checkpoint);
      }
      engines.push_back(std::make_unique<EngineNode>(
          environment, "engine-" + std::to_string(index + 1),
          deployment.zones[index % deployment.zones.size()],
          endpointOf("10.0.1.", index, kEnginePort), group.machineClass, options, *store));
      engines.back()->setClockOffset(drawClockOffset(environment));
    }
  }
}

void Fleet::startAll() {
  platform->start();
  store->start();
  for (const auto& engine : engines) {
    engine->start();
    platform->add(engine->platformEntry());
  }
  for (const auto& controller : controllers) {
    controller->start();
  }
  for (const auto& router : routers) {
    router->start();
  }
}

ControllerNode* Fleet::leader() const {
  ControllerNode* best = nullptr;
  for (const auto& controller : controllers) {
    if (!controller->running() || !controller->hasLogic()) {
      continue;
    }
    const consensus::RaftStatus status = controller->raftStatus();
    const bool leads = status.role == consensus::Role::leader;
    if (leads && (best == nullptr || best->raftStatus().term < status.term)) {
      best = controller.get();
    }
  }
  return best;
}

}  // namespace walnut::simulator
