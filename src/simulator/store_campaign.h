#pragma once
/// @file
/// Runs of a serving fleet whose weight store is slower than the demand for cold models.

#include <cstdint>
#include <string>
#include <vector>

#include "simulator/serving_fleet.h"

namespace walnut::simulator {

/// Pattern: 54 models, most of them asked for once in some seconds, of which 36 fit into all
/// workers; a store that takes 1.5 loads a second would need 36 s for each of them once.
ServingFleetOptions slowStoreFleet(std::uint64_t seed);

struct StoreCampaignResult {
  /// Models that were asked for often, over some time, and never served.
  std::vector<std::string> neverServed;
  double served = 0;  ///< Share of the requests.
  StoreAccount account;
  ForecastAccount forecasts;
  std::size_t leastNeverServed = 0;  ///< See ServingFleet::leastNeverServed.
  std::string description;           ///< With what became of each model that was never served.

  bool passed() const { return neverServed.empty(); }
};

/// The same load from callers that come back when they are told to.
struct HeedingCallersResult {
  std::vector<std::string> neverServed;
  double served = 0;
  ReturnAccount returns;
  ForecastAccount forecasts;
  std::string description;

  bool passed() const { return neverServed.empty(); }
};

/// The same seed gives the same result.
StoreCampaignResult runStoreCampaign(std::uint64_t seed);
HeedingCallersResult runHeedingCallersCampaign(std::uint64_t seed);

}  // namespace walnut::simulator
