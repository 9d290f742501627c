/// @file
/// Faults of the network: cuts, congestion, resets.

#include <algorithm>
#include <utility>

#include "simulator/fault_injector.h"

namespace walnut::simulator {

namespace {
constexpr base::Duration kCutMin = std::chrono::milliseconds(200);
constexpr base::Duration kCutMax = std::chrono::seconds(25);
constexpr base::Duration kLongCutMax = std::chrono::seconds(120);
constexpr double kLongCuts = 0.15;
constexpr base::Duration kCongestionMax = std::chrono::milliseconds(600);
}  // namespace

std::vector<HostIndex> FaultInjector::systemHosts() const {
  std::vector<HostIndex> hosts;
  for (const auto& controller : fleet_.controllers) {
    hosts.push_back(controller->host());
  }
  for (const auto& router : fleet_.routers) {
    hosts.push_back(router->host());
  }
  for (const auto& engine : fleet_.engines) {
    hosts.push_back(engine->host());
  }
  hosts.push_back(fleet_.platform->host());
  hosts.push_back(fleet_.store->host());
  return hosts;
}

void FaultInjector::cutBetween(const std::vector<HostIndex>& left,
                               const std::vector<HostIndex>& right, bool oneWay,
                               base::Duration duration) {
  std::vector<std::pair<HostIndex, HostIndex>> pairs;
  for (const HostIndex from : left) {
    for (const HostIndex to : right) {
      if (from == to) {
        continue;
      }
      pairs.emplace_back(from, to);
      if (!oneWay) {
        pairs.emplace_back(to, from);
      }
    }
  }
  for (const auto& [from, to] : pairs) {
    environment_.network.cut(from, to);
  }
  const auto name = [this](const std::vector<HostIndex>& hosts) {
    return hosts.size() == 1 ? environment_.network.hostName(hosts.front())
                             : std::to_string(hosts.size()) + " hosts";
  };
  environment_.note("FAULT", "cut " + name(left) + (oneWay ? " -> " : " <-> ") + name(right));
  during(duration, Severity::unplannedControl, [this, pairs] {
    for (const auto& [from, to] : pairs) {
      environment_.network.heal(from, to);
    }
    environment_.note("FAULT", "a cut is healed");
  });
}

bool FaultInjector::injectNetwork(FaultKind kind) {
  base::Random& random = environment_.random();
  const std::vector<HostIndex> hosts = systemHosts();
  const HostIndex one = hosts[random.uniform(0, hosts.size() - 1)];
  const HostIndex other = hosts[random.uniform(0, hosts.size() - 1)];
  const base::Duration duration = draw(kCutMin, random.chance(kLongCuts) ? kLongCutMax : kCutMax);
  switch (kind) {
    case FaultKind::cutPair:
    case FaultKind::cutPairOneWay:
      if (one == other) {
        return false;
      }
      cutBetween({one}, {other}, kind == FaultKind::cutPairOneWay, duration);
      return true;
    case FaultKind::cutHost:
      cutBetween({one}, hosts, false, duration);
      return true;
    case FaultKind::cutHostOneWay:
      if (random.chance(0.5)) {
        cutBetween({one}, hosts, true, duration);
      } else {
        cutBetween(hosts, {one}, true, duration);
      }
      return true;
    case FaultKind::cutZone: {
      std::vector<HostIndex> inside;
      std::vector<HostIndex> outside;
      for (const HostIndex host : hosts) {
        const bool same = environment_.network.hostZone(host) == environment_.network.hostZone(one);
        (same ? inside : outside).push_back(host);
      }
      cutBetween(inside, outside, false, duration);
      return true;
    }
    case FaultKind::congestion:
      environment_.network.setCongestion(draw(std::chrono::milliseconds(20), kCongestionMax));
      during(duration, Severity::unplannedControl,
             [this] { environment_.network.setCongestion(base::Duration{0}); });
      return true;
    case FaultKind::resetPeer: {
      ControllerNode* controller = anyRunning(fleet_.controllers);
      if (controller == nullptr || !controller->transport()->resetOne(random.uniform(0, 1000))) {
        return false;
      }
      during(base::Duration{1}, Severity::unplannedControl, [] {});
      return true;
    }
    case FaultKind::resetExchange:
      during(base::Duration{1}, Severity::unplanned, [] {});
      return environment_.exchanges.resetOne(random.uniform(0, 1000));
    default:
      return false;
  }
}

}  // namespace walnut::simulator
