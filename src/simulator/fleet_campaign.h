#pragma once
/// @file
/// Runs of a registry fleet under changes and faults that a seed draws, in series and overlapping.

#include <map>
#include <string>

#include "simulator/registry_fleet.h"

namespace walnut::simulator {

struct FleetCampaignOptions {
  RegistryFleetOptions fleet;
  /// Of changes and faults; before it the fleet starts, after it everything heals.
  base::Duration duration = std::chrono::seconds(60);
};

struct FleetCampaignResult {
  std::map<std::string, std::uint64_t> events;  ///< Changes and faults by kind.
  std::size_t violations = 0;
  std::string description;        ///< Of the first violations.
  bool newestEverywhere = false;  ///< At the end, with the last change acknowledged.
  base::Duration longestTurn{0};  ///< Of a server's loop.

  bool passed() const { return violations == 0 && newestEverywhere; }
};

/// The same options give the same result.
FleetCampaignResult runFleetCampaign(const FleetCampaignOptions& options);

}  // namespace walnut::simulator
