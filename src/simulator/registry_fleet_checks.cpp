/// @file
/// The part of a registry fleet that sees whether gateways go by what was acknowledged.

#include <algorithm>
#include <utility>

#include "simulator/registry_fleet.h"

namespace walnut::simulator {

namespace {

constexpr base::Duration kCheckInterval = std::chrono::milliseconds(100);

}  // namespace

std::size_t RegistryFleet::leader() const {
  const auto found = std::find_if(servers_.begin(), servers_.end(),
                                  [](const auto& server) { return server->leading(); });
  return static_cast<std::size_t>(found - servers_.begin());
}

std::size_t RegistryFleet::gatewaysAdmitting() const {
  return static_cast<std::size_t>(
      std::count_if(gateways_.begin(), gateways_.end(), [](const auto& gateway) {
        return gateway->running() && gateway->admittingDocumentVersion() != 0;
      }));
}

std::size_t RegistryFleet::gatewaysUpToDate() const {
  return static_cast<std::size_t>(
      std::count_if(gateways_.begin(), gateways_.end(), [this](const auto& gateway) {
        return gateway->running() && gateway->documentVersion() >= acknowledgedVersion_;
      }));
}

/// @return the newest version that was acknowledged long enough ago to be in force.
std::uint64_t RegistryFleet::dueVersion(base::Duration within) const {
  std::uint64_t due = 0;
  for (const auto& [version, at] : acknowledgedAt_) {
    if (now() >= at + within) {
      due = version;
    }
  }
  return due;
}

bool RegistryFleet::cellAtRest() const {
  std::size_t connected = 0;
  for (std::size_t index = 0; index < servers_.size(); ++index) {
    connected += servers_[index]->running() && cutServers_.count(index) == 0 ? 1 : 0;
  }
  return now() >= cellRestsAt_ && slowServers_.empty() && 2 * connected > servers_.size();
}

/// A gateway at rest, beside a cell at rest, has the newest document some time after it was
/// acknowledged. One that has none serves nothing, which is as late.
void RegistryFleet::check() {
  const std::size_t leading = leader();
  if (leading < servers_.size() && leading != lastLeader_) {
    lastLeader_ = leading;
    ++leaderships_;
  }
  scheduler_.after(kCheckInterval, [this] { check(); });
  for (std::size_t index = 0; index < gateways_.size(); ++index) {
    checkRegression(index);
    checkKeys(index);
  }
  if (acknowledgedVersion_ == 0 || !cellAtRest()) {
    return;
  }
  const std::uint64_t due = dueVersion(options_.applyWithin);
  for (std::size_t index = 0; index < gateways_.size(); ++index) {
    const std::uint64_t served = gateways_[index]->documentVersion();
    if (gateways_[index]->running() && now() >= gatewayRestsAt_[index] && served < due) {
      violations_.push_back({now() - startedAt_, index, served, due});
    }
    if (gateways_[index]->running() && now() >= gatewayRestsAt_[index] && due > 0 &&
        gateways_[index]->admittingDocumentVersion() == 0) {
      violations_.push_back({now() - startedAt_, index, 0, due, true});
    }
  }
}

/// Holds at all times, disturbed or not: a key that was taken away opens nothing any more.
void RegistryFleet::checkKeys(std::size_t gateway) {
  const std::uint64_t keys = gateways_[gateway]->admittingDocumentVersion();
  const std::uint64_t due = dueVersion(options_.revokedWithin);
  if (keys != 0 && keys < due) {
    violations_.push_back({now() - startedAt_, gateway, keys, due, true});
  }
}

/// Holds at all times, disturbed or not.
void RegistryFleet::checkRegression(std::size_t gateway) {
  const Served now = {gateways_[gateway]->life(), gateways_[gateway]->documentVersion()};
  const Served before = std::exchange(served_[gateway], now);
  if (gateways_[gateway]->running() && now.life == before.life && now.version < before.version) {
    violations_.push_back({scheduler_.now() - startedAt_, gateway, now.version, before.version});
  }
}

std::size_t RegistryFleet::revokedKeysInForce() const {
  return static_cast<std::size_t>(std::count_if(
      violations_.begin(), violations_.end(),
      [](const FleetViolation& violation) { return violation.byKeys && violation.served != 0; }));
}

std::string RegistryFleet::describeViolations() const {
  constexpr std::size_t kMostLines = 10;
  std::string text = std::to_string(violations_.size()) + " violations";
  for (std::size_t index = 0; index < std::min(kMostLines, violations_.size()); ++index) {
    const FleetViolation& violation = violations_[index];
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(violation.at);
    text += "\n  " + std::to_string(millis.count()) + " ms: gateway " +
            std::to_string(violation.gateway) +
            (violation.byKeys ? " goes by keys of version " : " serves by version ") +
            std::to_string(violation.served) + ", acknowledged is " +
            std::to_string(violation.acknowledged);
  }
  return text;
}

base::Duration RegistryFleet::takeLongestServerTurn() {
  base::Duration longest{0};
  for (const auto& server : servers_) {
    longest = std::max(longest, server->processor().takeLongestTurn());
  }
  return longest;
}

}  // namespace walnut::simulator
