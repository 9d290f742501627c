#pragma once
/// @file
/// What a calm fleet of a size costs its servers, and how long it takes to come to rest.

#include "simulator/registry_fleet.h"

namespace walnut::simulator {

struct FleetFigures {
  /// @name Of one core, in the mean of some seconds at rest
  /// @{
  double leaderShare = 0;
  double busiestOtherShare = 0;
  /// @}
  /// @name From the start, and from a kill of all, until all workers are acknowledged and all
  /// gateways have the document; the longest that is waited if they never are
  /// @{
  base::Duration started{0};
  base::Duration restarted{0};
  /// @}
  std::size_t leaderships = 0;  ///< Two are needed.
};

/// Starts the fleet, lets it rest, kills all its processes and starts them again.
FleetFigures measureFleet(const RegistryFleetOptions& options);

}  // namespace walnut::simulator
